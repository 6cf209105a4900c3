// Package cfvarch guards the layout: packages depend one way, each has its sentence, and
// no file grows large.
package cfvarch

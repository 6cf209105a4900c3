// Package cfvarch has tests of the source tree: the allowed imports between layers, package
// comments, the length of files, and names that may not occur.
package cfvarch

// Package cfvrollout carries out roll-outs of software versions on the hosting platform. Each entry reports
// the outcomes of its requests to the leader, which judges the version and records the progress.
package cfvrollout

// Package cfvrollout judges the software version that is rolled out on the hosting platform, and decides how
// much of the traffic it gets.
package cfvrollout

import "time"

// Evidence counts the requests that one entry sent to one software version on one route since the order of
// the roll-out. The counters only grow while the entry's process runs.
type Evidence struct {
	Service  string
	Order    int64 // revision of the order
	Version  string
	Route    string
	Requests uint64 // with an outcome
	Failures uint64
	Slow     uint64 // answered by a warm endpoint, but slower than the baseline for their size
}

// WarmUpTime is the time from the announcement of an endpoint until its times tell about its version.
const WarmUpTime = 3 * time.Second

// Report is all the evidence of one entry process about the roll-outs that are running.
type Report struct {
	Entry       string
	StartMillis int64 // when the entry's process started, Unix milliseconds
	Evidence    []Evidence
}

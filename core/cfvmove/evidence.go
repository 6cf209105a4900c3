package cfvmove

import "time"

// Evidence is what one node has seen of one version: counters that only grow during the
// life of its process.
type Evidence struct {
	Service  string
	Version  string
	Reporter string
	Started  uint64 // when the reporter's process started
	Requests uint64
	Failures uint64
	Slow     uint64 // requests slower than the service's latency target
	At       time.Time
}

// Verdict says that a version of one move is bad. It is never withdrawn: a new move of
// the same version has another start.
type Verdict struct {
	Service string
	Version string
	Start   time.Time
	Cause   string
}

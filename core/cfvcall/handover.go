package cfvcall

import "time"

// HandoverOptions is the metadata that an entry sends with a caller's request to another entry that serves it.
type HandoverOptions struct {
	TimeLeft     time.Duration // 0: neither the caller nor the route has a time limit
	PossibleRuns int           // attempts that an endpoint may have run
	ResumeAfter  string        // id of the last event that the caller received
}

// HandoverAnswer tells whether an entry took a request that another one handed over.
type HandoverAnswer int

// Values of HandoverAnswer.
const (
	HandoverUnknown       HandoverAnswer = iota // the response does not come from an entry that was asked
	HandoverTaken                               // the response is the one for the caller
	HandoverTakenStopping                       // likewise, and the entry stops soon, so that others are to be asked first
	HandoverRefused                             // the request did not run there, and another entry may be asked
)

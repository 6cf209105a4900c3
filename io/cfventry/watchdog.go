package cfventry

import "time"

// Limits for endpoints that send bytes which are no response.
const (
	rejectBodyTimeout  = 100 * time.Millisecond // for the body of a rejection, which carries no information
	stallMargin        = 500 * time.Millisecond // after which a caller that abandons a stream has closed its connection
	defaultStallLimit  = 10 * time.Second       // time without a complete event for routes that set no limit
	maxRejectBodyBytes = 64 << 10
)

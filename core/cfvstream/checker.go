// Package cfvstream checks that a caller gets the complete response to its own request: the
// right request ID, every token exactly once and in order, and the end of the stream.
package cfvstream

import "coltsfootvalve/common/cfverror"

// Checker checks one stream across all connections over which it is resumed.
type Checker struct {
	requestID  string
	nextOffset int
	ended      bool
}

// New returns a checker of the response stream of a request.
func New(requestID string) *Checker {
	return &Checker{requestID: requestID}
}

// NextOffset returns the offset of the next expected token, at which a resumed stream continues.
func (c *Checker) NextOffset() int { return c.nextOffset }

// Accept checks the chunk of a token and reports whether to pass it on to the caller. A chunk
// that was already passed on is dropped. A gap or the ID of another request is an error.
func (c *Checker) Accept(requestID string, offset int) (pass bool, err error) {
	if err := c.CheckID(requestID); err != nil {
		return false, err
	}
	if offset < c.nextOffset {
		return false, nil
	}
	if offset > c.nextOffset {
		return false, cfverror.Unknown(cfverror.ReasonResponseTruncated, "token %d came where token %d was due", offset, c.nextOffset)
	}
	c.nextOffset++
	return true, nil
}

// CheckID returns an error if a response has the ID of another request.
func (c *Checker) CheckID(requestID string) error {
	if requestID != c.requestID {
		return cfverror.Unknown(cfverror.ReasonResponseMismatch, "the answer carries the id of another request")
	}
	return nil
}

// End records the end of the stream.
func (c *Checker) End() { c.ended = true }

// Ended reports whether the end of the stream was received.
func (c *Checker) Ended() bool { return c.ended }

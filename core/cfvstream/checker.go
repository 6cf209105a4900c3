// Package cfvstream checks that a caller gets the whole answer to its own request: the
// right request id, every token once and in order, and the end mark.
package cfvstream

import "coltsfootvalve/common/cfverror"

// Checker follows one stream over all its connections.
type Checker struct {
	requestID  string
	nextOffset int
	ended      bool
}

// New returns a checker of the stream that answers the request.
func New(requestID string) *Checker {
	return &Checker{requestID: requestID}
}

// Next returns the offset of the next token, from which a resumed stream must go on.
func (c *Checker) NextOffset() int { return c.nextOffset }

// Accept takes a token's chunk. It reports whether to pass the chunk on; one that was
// passed already is dropped. A gap or another request's id is an error.
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

// CheckID returns an error if an answer carries another request's id.
func (c *Checker) CheckID(requestID string) error {
	if requestID != c.requestID {
		return cfverror.Unknown(cfverror.ReasonResponseMismatch, "the answer carries the id of another request")
	}
	return nil
}

// End takes the end mark.
func (c *Checker) End() { c.ended = true }

// Ended reports whether the end mark came.
func (c *Checker) Ended() bool { return c.ended }

// Package cfvnotice decides what follows from what endpoints say of themselves in their responses: how many
// requests they take, how many rejections they bear, that they are leaving, and that they want none from an entry for a while.
package cfvnotice

import "time"

// Notice is what an endpoint says of itself in one response.
type Notice struct {
	Limit        float64 // requests per second that it takes from all entries together; 0: any number
	LimitInvalid bool    // it names a limit that cannot be read, so the one before holds

	// Rejections for want of room in any second with which its process goes on; it ends with more. 0: any number.
	Brittle        float64
	BrittleInvalid bool // it names a number that cannot be read, so the one before holds

	Leaving    bool          // its process is about to end
	RetryAfter time.Duration // after a rejection: it wants no request from this entry for so long; 0: not said
}

// Limits of what a notice may say.
const (
	MaxLimit      = 1e6         // requests or rejections per second; a higher number is invalid
	MaxRetryAfter = time.Minute // a longer time is cut
)

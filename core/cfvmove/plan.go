// Package cfvmove moves a service's traffic from one version to another: by time while
// fresh evidence is good, and back for good on a verdict against the new version.
package cfvmove

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan is one accepted move.
type Plan struct {
	Service          string
	From             string
	To               string
	Start            time.Time
	Deadline         time.Time
	TakenBack        bool
	MaxUnprovenShare int // share in percent that an unproved version may get
	LoadsAtOnce      int // endpoints that may load weights at once
}

// Active reports whether the plan moves anything.
func (p Plan) Active() bool {
	return p.To != "" && p.To != p.From
}

// ID names the move: a later move of the same version has another start.
func (p Plan) ID() ID {
	return ID{p.Service, p.To, p.Start.UnixMilli()}
}

// ID names one move of one service.
type ID struct {
	Service     string
	To          string
	StartMillis int64 // since 1970
}

// Whole is the share of a move that is done, in percent.
const FullShare = 100

// lastStepAt is the part of the time to the deadline after which the last step is due.
const lastStepAt = 0.75

// steps returns the shares that a move goes through, in percent.
func (p Plan) steps() []int {
	out := []int{p.MaxUnprovenShare}
	for _, s := range []int{25, 50, FullShare} {
		if s > out[len(out)-1] {
			out = append(out, s)
		}
	}
	return out
}

// due returns the index of the step that time allows; -1 before the start.
func (p Plan) due(now time.Time) int {
	if now.Before(p.Start) {
		return -1
	}
	last := len(p.steps()) - 1
	span := time.Duration(float64(p.Deadline.Sub(p.Start)) * lastStepAt)
	if span <= 0 {
		return last
	}
	return min(last, int(float64(last)*float64(now.Sub(p.Start))/float64(span)))
}

// Version returns the version that serves a request at a share of the new version, in
// percent. A prompt that has moved stays moved while the share grows.
func (p Plan) Version(share int, key string) string {
	if p.Active() && int(xxhash.Sum64String(p.Service+"\x00"+p.To+"\x00"+key)%FullShare) < share {
		return p.To
	}
	return p.From
}

// Clearance is how far a move may go, as its judge last said.
type Clearance struct {
	Move  ID
	Share int // in percent
	At    time.Time
}

// Verdict says that a move is taken back. It is never withdrawn.
type Verdict struct {
	Move  ID
	Cause string
}

// Package cfvmove decides how a service's traffic moves from one version to another. The
// share of the new version grows with time while recent evidence is good. A verdict against
// the new version moves all traffic back permanently.
package cfvmove

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan describes one move that an operator has set.
type Plan struct {
	Service          string
	From             string
	To               string
	Start            time.Time
	Deadline         time.Time
	TakenBack        bool
	MaxUnprovenShare int // share of the first step, in percent, before there is evidence about the new version
	LoadsAtOnce      int // endpoints that may load weights at once
}

// Active reports whether the plan moves traffic between two different versions.
func (p Plan) Active() bool {
	return p.To != "" && p.To != p.From
}

// ID returns the identity of the move. A later move to the same version has another start.
func (p Plan) ID() ID {
	return ID{p.Service, p.To, p.Start.UnixMilli()}
}

// ID identifies one move of one service.
type ID struct {
	Service     string
	To          string
	StartMillis int64 // since 1970
}

// FullShare is the share of a completed move, in percent.
const FullShare = 100

// lastStepDueShare is the share of the time to the deadline after which the last step is due.
const lastStepDueShare = 0.75

// steps returns the shares of the steps of a move, in percent.
func (p Plan) steps() []int {
	out := []int{p.MaxUnprovenShare}
	for _, s := range []int{25, 50, FullShare} {
		if s > out[len(out)-1] {
			out = append(out, s)
		}
	}
	return out
}

// due returns the index of the last step that is due, or -1 before the start.
func (p Plan) due(now time.Time) int {
	if now.Before(p.Start) {
		return -1
	}
	last := len(p.steps()) - 1
	span := time.Duration(float64(p.Deadline.Sub(p.Start)) * lastStepDueShare)
	if span <= 0 {
		return last
	}
	return min(last, int(float64(last)*float64(now.Sub(p.Start))/float64(span)))
}

// Version returns the version that serves a request while the new version has the given
// share, in percent. It hashes the key, so a prompt that is sent to the new version stays
// there while the share grows.
func (p Plan) Version(share int, key string) string {
	if p.Active() && int(xxhash.Sum64String(p.Service+"\x00"+p.To+"\x00"+key)%FullShare) < share {
		return p.To
	}
	return p.From
}

// Clearance is the share that the judge of a move last allowed.
type Clearance struct {
	Move  ID
	Share int // in percent
	At    time.Time
}

// Verdict states that a move is taken back. It is never withdrawn.
type Verdict struct {
	Move  ID
	Cause string
}

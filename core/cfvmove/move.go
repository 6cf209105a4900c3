// Package cfvmove moves a service's traffic from one version to another: by time while
// fresh evidence is good, and back for good on a verdict against the new version.
package cfvmove

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan is one accepted move.
type Plan struct {
	Service   string
	From      string
	To        string
	Start     time.Time
	Deadline  time.Time
	TakenBack bool
	ProbeMost int // share in percent that an unproved version may get
}

// Active reports whether the plan moves anything.
func (p Plan) Active() bool {
	return p.To != "" && p.To != p.From
}

// Version returns the version that serves a request at the share, in percent, of the
// new version. A prompt that has moved stays moved while the share grows.
func (p Plan) Version(share int, key string) string {
	if !p.Active() || share <= 0 {
		return p.From
	}
	if int(xxhash.Sum64String(p.Service+"\x00"+p.To+"\x00"+key)%100) < share {
		return p.To
	}
	return p.From
}

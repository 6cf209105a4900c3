package cfvexchange

import (
	"time"

	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// applyState applies the records of the key-value store in a response to a pull that was sent at a time, and its age.
func (x *Exchange) applyState(addr string, sentAt time.Duration, msg *cfvwireentry.PullResponse) {
	h, known := x.peerHistory(msg.Era, msg.Untold)
	if !known {
		x.cfg.Count("exchange.eraUnknown", 1)
		return
	}
	asOf := h.Revision(msg.GetAsOf())
	if asOf > x.cfg.State.AsOf() {
		x.cfg.State.Apply(addr, recordsFromWire(h, msg.GetRecords()), asOf, msg.GetFull())
	}
	x.cfg.State.AddLostEndpoints(addr, lostFromWire(h, msg.GetLost()))
	if msg.GetAgeMillis() >= 0 {
		x.cfg.State.Confirm(addr, asOf, sentAt-time.Duration(msg.GetAgeMillis())*time.Millisecond)
	}
}

// peerHistory returns the history of the key-value store to which a peer's state belongs. A peer of an earlier release does not tell its
// era, or does not know of restores that the store did not tell. Its state may be from before a restore, or mix what was before and
// after, so its history is known only as long as this process has seen no such restore.
func (x *Exchange) peerHistory(era, untold *int64) (h cfvmirror.History, known bool) {
	own := x.cfg.State.AsOf().History()
	switch {
	case era == nil:
		return own, !x.cfg.State.Restored()
	case untold == nil:
		return cfvmirror.NewHistory(*era, 0), *era != own.Era() || own.Untold() == 0
	}
	return cfvmirror.NewHistory(*era, *untold), true
}

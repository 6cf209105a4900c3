package cfvlimit

import (
	"cmp"
	"slices"
	"time"
)

// peerProgress is how far a peer has been told of the changes.
type peerProgress struct {
	sent    uint64
	marked  uint64 // sent at markAt
	settled uint64 // sent at least resendTime ago
	resent  uint64
	markAt  time.Duration
	usedAt  time.Duration
	turn    int // place in the order of the part that was sent last in turn
}

// Update returns what a peer should know: the changes since the last update for this peer, about
// once a second the parts with several crashes, and of the other parts a few in turn. A change is sent twice, since an
// update may get lost.
func (q *PartQuarantine) Update(now time.Duration, peer string) PartUpdate {
	if len(q.parts) == 0 {
		return PartUpdate{}
	}
	p, due := q.progress(now, peer)
	var urgent, changed, repeated []PartKey
	for key, s := range q.parts {
		switch {
		case s.open >= q.cfg.Crashes && (due || s.change > p.sent):
			urgent = append(urgent, key)
		case s.change > p.sent:
			changed = append(changed, key)
		case s.change > p.resent && s.change <= p.settled:
			repeated = append(repeated, key)
		}
	}
	urgent, rest := q.mostCrashes(urgent, maxUrgentPerUpdate)
	changed, p.sent = q.firstChanged(append(changed, q.changedSince(rest, p.sent)...), maxChangedPerUpdate, q.changes)
	repeated, p.resent = q.firstChanged(repeated, maxRepeatsPerUpdate, p.settled)
	keys := slices.Concat(urgent, changed, repeated, q.rotate(p, maxRotatedPerUpdate))
	out := PartUpdate{Served: make(map[string]time.Duration)}
	for _, key := range keys {
		out.Suspicions = append(out.Suspicions, q.suspicion(now, key))
		if at, ok := q.lastServed(key.Service); ok {
			out.Served[key.Service] = now - at
		}
	}
	return out
}

// progress returns how far a peer has been told of the changes, and whether it is due to be told of the
// parts with several crashes again.
func (q *PartQuarantine) progress(now time.Duration, peer string) (p *peerProgress, due bool) {
	p = q.peers[peer]
	if p == nil {
		p = &peerProgress{markAt: now}
		q.peers[peer] = p
	}
	p.usedAt = now
	if due = now-p.markAt >= resendTime; due {
		p.settled, p.marked, p.markAt = p.marked, p.sent, now
	}
	return p, due
}

// rotate returns the next n parts of all, in turn for each peer. Cleared ones are among them, since their
// clearing may have got lost.
func (q *PartQuarantine) rotate(p *peerProgress, n int) (out []PartKey) {
	for range min(n, len(q.order)) {
		p.turn = (p.turn + 1) % len(q.order)
		if key := q.order[p.turn]; q.parts[key] != nil {
			out = append(out, key)
		}
	}
	return out
}

// firstChanged returns the n parts that changed first, and the last change up to which they are complete;
// last if all parts are among them.
func (q *PartQuarantine) firstChanged(keys []PartKey, n int, last uint64) ([]PartKey, uint64) {
	if len(keys) <= n {
		return keys, last
	}
	slices.SortFunc(keys, func(a, b PartKey) int { return cmp.Compare(q.parts[a].change, q.parts[b].change) })
	return keys[:n], q.parts[keys[n-1]].change
}

// changedSince returns the parts that changed after a change.
func (q *PartQuarantine) changedSince(keys []PartKey, change uint64) (out []PartKey) {
	for _, key := range keys {
		if q.parts[key].change > change {
			out = append(out, key)
		}
	}
	return out
}

// mostCrashes returns the n parts with most crashes, of these the ones that changed last, and the rest.
func (q *PartQuarantine) mostCrashes(keys []PartKey, n int) (most, rest []PartKey) {
	if len(keys) <= n {
		return keys, nil
	}
	slices.SortFunc(keys, func(a, b PartKey) int {
		x, y := q.parts[a], q.parts[b]
		return cmp.Or(cmp.Compare(y.open, x.open), cmp.Compare(y.change, x.change))
	})
	return keys[:n], keys[n:]
}

func compareKeys(a, b PartKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
}

// suspicion returns the evidence against a part, in the order of the endpoints.
func (q *PartQuarantine) suspicion(now time.Duration, key PartKey) PartSuspicion {
	s := q.parts[key]
	out := PartSuspicion{PartKey: key, Answered: s.answered}
	for e, c := range s.crashes {
		out.Crashes = append(out.Crashes, PartCrash{Endpoint: e, Age: now - c.at, Answering: c.answering, Cleared: c.cleared})
	}
	slices.SortFunc(out.Crashes, func(a, b PartCrash) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

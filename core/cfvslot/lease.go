package cfvslot

import "time"

// lease is one unbroken time during which a majority of the listed entries recognises
// this node as a group's owner.
type lease struct {
	since   time.Time
	until   time.Time
	unheard map[string]bool
}

// SetLease says until when a majority of the listed entries recognises this node as the
// group's owner. A lease that had lapsed starts anew: then each listed entry must tell
// what it has in flight before a cold endpoint gets anything.
func (t *Table) SetLease(now time.Time, group string, until time.Time, listed []string) []Decision {
	l := t.leases[group]
	if l == nil || !now.Before(l.until) {
		l = &lease{since: now, unheard: nameSet(listed)}
		t.leases[group] = l
	}
	if until.After(l.until) {
		l.until = until
	}
	return t.pump(now, group)
}

// covers reports whether a cold endpoint may get a slot that is used within UseWithin.
// Entries that stay unheard hold nothing once the longest request has passed.
func (l *lease) covers(now time.Time, longest time.Duration) bool {
	if l == nil || l.until.Before(now.Add(GrantTTL)) {
		return false
	}
	return len(l.unheard) == 0 || now.Sub(l.since) >= longest+GrantTTL
}

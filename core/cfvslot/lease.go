package cfvslot

import "time"

// lease is a continuous period during which a majority of the listed entries recognises
// this node as the owner of a group.
type lease struct {
	startedAt      time.Time
	until          time.Time
	missingEntries map[string]bool
}

// SetLease sets the time until which a majority of the listed entries recognises this node
// as the group's owner. If the lease had expired, a new one starts: each listed entry must
// then report its requests in flight before a cold endpoint gets a request.
func (t *Table) SetLease(now time.Time, group string, until time.Time, listed []string) []Decision {
	l := t.leases[group]
	if l == nil || !now.Before(l.until) {
		l = &lease{startedAt: now, missingEntries: nameSet(listed)}
		t.leases[group] = l
	}
	if until.After(l.until) {
		l.until = until
	}
	return t.grantQueued(now, group)
}

// allowsColdGrant reports whether a slot on a cold endpoint may be granted now: the lease
// must outlast the grant, and every entry must have sent its inventory. An entry that sends
// none holds no slots once the longest request has ended.
func (l *lease) allowsColdGrant(now time.Time, maxRequestDuration time.Duration) bool {
	if l == nil || l.until.Before(now.Add(GrantTTL)) {
		return false
	}
	return len(l.missingEntries) == 0 || now.Sub(l.startedAt) >= maxRequestDuration+GrantTTL
}

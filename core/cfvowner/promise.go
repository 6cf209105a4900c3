package cfvowner

import "time"

// Promises is the side of an entry VM in group leases. It records which owner of each group
// the entry has promised to recognise, at most one at a time.
type Promises struct {
	readyAt time.Time
	held    map[string]promise
}

type promise struct {
	owner string
	until time.Time
}

// NewPromises returns the promises of a node that started at now. It makes none for one lease
// duration, because the node may have made promises before a restart.
func NewPromises(now time.Time, lease time.Duration) *Promises {
	return &Promises{readyAt: now.Add(lease), held: make(map[string]promise)}
}

// Promise recognises owner as the group's owner for the lease duration and reports true,
// unless another owner is still recognised.
func (p *Promises) Promise(now time.Time, group, owner string, lease time.Duration) bool {
	if now.Before(p.readyAt) {
		return false
	}
	if held, ok := p.held[group]; ok && held.owner != owner && now.Before(held.until) {
		return false
	}
	p.held[group] = promise{owner, now.Add(lease)}
	return true
}

// Expire removes expired promises.
func (p *Promises) Expire(now time.Time) {
	for group, held := range p.held {
		if !now.Before(held.until) {
			delete(p.held, group)
		}
	}
}

// Lease is the side of an owner in a group lease. It records the promises of the entries for
// one group.
type Lease struct {
	promisedUntil map[string]time.Time
}

// NewLease returns a lease without promises.
func NewLease() *Lease {
	return &Lease{promisedUntil: make(map[string]time.Time)}
}

// Renew records an entry's promise. Its duration starts when the request for the promise was
// sent, so that the promise expires here no later than at the entry.
func (l *Lease) Renew(sent time.Time, entry string, length time.Duration) {
	if until := sent.Add(length); until.After(l.promisedUntil[entry]) {
		l.promisedUntil[entry] = until
	}
}

// Until returns the time until which a majority of the listed entries recognises the owner,
// or the zero time if no majority does.
func (l *Lease) Until(now time.Time, listed []string) time.Time {
	need := len(listed)/2 + 1
	var untils []time.Time
	for _, entry := range listed {
		if u := l.promisedUntil[entry]; u.After(now) {
			untils = append(untils, u)
		}
	}
	if len(untils) < need {
		return time.Time{}
	}
	return nthLatest(untils, need)
}

// nthLatest returns the n-th latest of the times, counted from 1.
func nthLatest(times []time.Time, n int) time.Time {
	for i := range times {
		later := 0
		for j := range times {
			if times[j].After(times[i]) || (times[j].Equal(times[i]) && j < i) {
				later++
			}
		}
		if later == n-1 {
			return times[i]
		}
	}
	return time.Time{}
}

// Allows reports whether a grant of the owner may be used, which requires that the entry
// recognises no other owner of the group.
func (p *Promises) Allows(now time.Time, group, owner string) bool {
	held, ok := p.held[group]
	return !ok || held.owner == owner || !now.Before(held.until)
}

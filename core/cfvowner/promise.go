package cfvowner

import "time"

// Promises is an entry VM's side of group leases: it recognises at most one owner of a
// group at a time.
type Promises struct {
	ready time.Time
	held  map[string]promise
}

type promise struct {
	owner string
	until time.Time
}

// NewPromises returns a table for a node that started at now. It promises nothing for
// one lease length, since the node may have promised before a restart.
func NewPromises(now time.Time, lease time.Duration) *Promises {
	return &Promises{ready: now.Add(lease), held: make(map[string]promise)}
}

// Promise recognises owner as the group's owner for the lease length, unless another
// owner is still recognised.
func (p *Promises) Promise(now time.Time, group, owner string, lease time.Duration) bool {
	if now.Before(p.ready) {
		return false
	}
	if held, ok := p.held[group]; ok && held.owner != owner && now.Before(held.until) {
		return false
	}
	p.held[group] = promise{owner, now.Add(lease)}
	return true
}

// Expire forgets promises that have run out.
func (p *Promises) Expire(now time.Time) {
	for group, held := range p.held {
		if !now.Before(held.until) {
			delete(p.held, group)
		}
	}
}

// Lease is an owner's side: the promises that it holds for one group.
type Lease struct {
	promised map[string]time.Time
}

// NewLease returns a lease without promises.
func NewLease() *Lease {
	return &Lease{promised: make(map[string]time.Time)}
}

// Renew records an entry's promise. The length counts from the time at which the request
// for it was sent, so that it ends here no later than there.
func (l *Lease) Renew(sent time.Time, entry string, length time.Duration) {
	if until := sent.Add(length); until.After(l.promised[entry]) {
		l.promised[entry] = until
	}
}

// Until returns the time up to which a majority of the listed entries recognises the
// owner; the zero time when none does.
func (l *Lease) Until(now time.Time, listed []string) time.Time {
	need := len(listed)/2 + 1
	var untils []time.Time
	for _, entry := range listed {
		if u := l.promised[entry]; u.After(now) {
			untils = append(untils, u)
		}
	}
	if len(untils) < need {
		return time.Time{}
	}
	return nthLatest(untils, need)
}

// nthLatest returns the n-th latest of the times.
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

// Allows reports whether a grant of the owner may be used: no other owner is recognised.
func (p *Promises) Allows(now time.Time, group, owner string) bool {
	held, ok := p.held[group]
	return !ok || held.owner == owner || !now.Before(held.until)
}

package cfvparts

import (
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvcall"
)

// Estimation of the transfers over a store's network link.
const (
	crossDomainFactor  = 2.0 // the platform's transfers between failure domains take twice as long
	slowdownSamples    = 3   // fetches whose fastest one tells how slow a link is; with fewer, it counts as having its configured rate
	latenessSamples    = 16  // prompts whose lateness tells how late the endpoints are
	minLatenessSamples = 4
	overdueRatio       = 1.5 // a fetch in progress tells something once it takes this many times longer than expected
	maxSlowdown        = 32.0
	slowdownHalfLife   = time.Second            // of a slowdown that no fetch confirms, so that the link is tried again
	slowdownFreshness  = 500 * time.Millisecond // time for which the last fetch tells the present state of a link
	minWatchedFetch    = 20 * time.Millisecond  // shorter fetches tell little about the link
	reportDelay        = 30 * time.Millisecond  // until an entry has its grant, and until its report of the prefill arrives
	overdueAfter       = 100 * time.Millisecond // lateness from which a prompt in progress counts
	maxWatched         = 256                    // prompts; older ones are forgotten
	watchPeriod        = 6 * time.Second        // a prompt whose prefill is not reported is forgotten after this time
)

// link is the estimated state of a store's network link. Transfers queue for it.
type link struct {
	backlog   time.Duration // of the planned transfers that are not done, at the configured rate
	backlogAt time.Duration // time to which backlog applies

	slowdown   float64       // last result of Catalog.slowdown
	slowdownAt time.Duration // time to which slowdown applies; 0: none
}

// WatchedPrompt is a prompt whose time to the first event tells how fast a store's link is.
type WatchedPrompt struct {
	Request string
	Prefill time.Duration // expected time of the prefill, including the wait at the endpoint
	Store   string        // store that parts are fetched from; empty: nothing is fetched
	Fetch   time.Duration // expected time of the fetch at the configured rate of the link, including the wait for earlier transfers
}

// watchedPrompt is a WatchedPrompt in progress or done.
type watchedPrompt struct {
	WatchedPrompt
	startedAt time.Duration
	doneAt    time.Duration // 0: in progress
}

// lateness returns how much later than expected the prompt's prefill was done, not counting the
// fetch, or how late it is so far.
func (p *watchedPrompt) lateness(now time.Duration) time.Duration {
	end := p.doneAt
	if end == 0 {
		end = now
	}
	return end - p.startedAt - p.Prefill - reportDelay
}

// endpointLateness returns by how much the endpoints are later than expected. In overload all prompts
// are late, also those that fetch nothing from the store at addr, so the earlier ones of these count.
func (c *Catalog) endpointLateness(now time.Duration, addr string) time.Duration {
	var known []time.Duration
	for i := len(c.watched) - 1; i >= 0 && len(known) < latenessSamples; i-- {
		p := &c.watched[i]
		if p.Store == addr {
			continue
		}
		late := p.lateness(now) - p.Fetch
		if p.doneAt > 0 || late > overdueAfter && now-p.startedAt < watchPeriod {
			known = append(known, late)
		}
	}
	if len(known) < minLatenessSamples {
		return 0
	}
	slices.Sort(known)
	return max(known[len(known)/4], 0)
}

// slowdown returns how many times longer than configured the transfers of a store take. Other delays
// lengthen single fetches, so the fastest of the last ones counts.
func (c *Catalog) slowdown(now time.Duration, addr string) float64 {
	l := c.linkOf(addr)
	if l.slowdownAt != now || now == 0 {
		l.slowdown, l.slowdownAt = c.measureSlowdown(now, addr), now
	}
	return l.slowdown
}

// measureSlowdown returns the slowdown by the prompts that are watched.
func (c *Catalog) measureSlowdown(now time.Duration, addr string) float64 {
	lateness := time.Duration(-1)
	slowest, n, lastAt := maxSlowdown, 0, time.Duration(0)
	for i := len(c.watched) - 1; i >= 0 && n < slowdownSamples; i-- {
		p := &c.watched[i]
		if p.Store != addr || p.doneAt == 0 && now-p.startedAt > watchPeriod {
			continue
		}
		if lateness < 0 {
			lateness = c.endpointLateness(now, addr)
		}
		r := max(float64(p.lateness(now)-lateness)/float64(p.Fetch), 0)
		if p.doneAt == 0 && r < overdueRatio {
			continue
		}
		slowest = min(slowest, r)
		n++
		lastAt = max(lastAt, p.startedAt)
	}
	if n < slowdownSamples {
		return 1
	}
	idle := max(now-lastAt-slowdownFreshness, 0)
	return max(slowest*math.Exp2(-float64(idle)/float64(slowdownHalfLife)), 1)
}

// StartWatch records that an endpoint begins with a prompt. A fetch that takes little of the time
// until the first event tells nothing about its link.
func (c *Catalog) StartWatch(now time.Duration, p WatchedPrompt) {
	if p.Fetch < max(p.Prefill, minWatchedFetch) {
		p.Store = ""
	}
	c.forgetSlowdowns()
	c.watched = append(c.watched, watchedPrompt{WatchedPrompt: p, startedAt: now})
	c.watched = c.watched[max(len(c.watched)-maxWatched, 0):]
}

// EndWatch records that the prefill of a prompt is done, or that its request ended before.
func (c *Catalog) EndWatch(now time.Duration, request string, prefilled bool) {
	c.forgetSlowdowns()
	i := slices.IndexFunc(c.watched, func(p watchedPrompt) bool { return p.Request == request && p.doneAt == 0 })
	switch {
	case i < 0:
	case prefilled:
		c.watched[i].doneAt = now
	default:
		c.watched = slices.Delete(c.watched, i, i+1)
	}
}

// forgetSlowdowns makes the next calls of slowdown measure again.
func (c *Catalog) forgetSlowdowns() {
	for _, l := range c.links {
		l.slowdownAt = 0
	}
}

// wait returns how long a new transfer of a store waits for earlier ones.
func (c *Catalog) wait(now time.Duration, addr string) time.Duration {
	l, slowdown := c.linkOf(addr), c.slowdown(now, addr)
	l.backlog = max(l.backlog-time.Duration(float64(now-l.backlogAt)/slowdown), 0)
	l.backlogAt = now
	return time.Duration(float64(l.backlog) * slowdown)
}

// linkOf returns the state of a store's link.
func (c *Catalog) linkOf(addr string) *link {
	l := c.links[addr]
	if l == nil {
		l = &link{}
		c.links[addr] = l
	}
	return l
}

// transferTime returns how long the link of a store is busy with a transfer to or from an endpoint
// in a failure domain at its configured rate, without the wait for earlier transfers. It is 0 if the
// store's rate is not known.
func (c *Catalog) transferTime(addr string, tokens int, domain string) time.Duration {
	s := c.states[addr]
	if s == nil || s.store.TokensPerMs <= 0 {
		return 0
	}
	ms := float64(tokens) / s.store.TokensPerMs
	if s.store.Domain != domain {
		ms *= crossDomainFactor
	}
	return time.Duration(ms*float64(time.Millisecond)) + s.store.FirstByteLatency
}

// startTransfer records that a transfer was added to the queue of a store's link.
func (c *Catalog) startTransfer(now time.Duration, addr string, tokens int, domain string) {
	c.wait(now, addr)
	c.linkOf(addr).backlog += c.transferTime(addr, tokens, domain)
}

// FetchEstimate is what fetching the stored parts of a prompt takes.
type FetchEstimate struct {
	Tokens   int           // tokens of the parts that stores hold
	Wait     time.Duration // until earlier transfers of the busiest store are done
	Transfer time.Duration
	Store    string  // the store that holds most of the tokens
	Slowdown float64 // how many times longer than configured transfers of that store take
}

// Configured returns the time of the fetch at the configured rate of the store's link.
func (f FetchEstimate) Configured() time.Duration {
	return time.Duration(float64(f.Wait+f.Transfer) / max(f.Slowdown, 1))
}

// EstimateFetch estimates a fetch of the stored parts of a prompt by an endpoint in a failure
// domain.
func (c *Catalog) EstimateFetch(now time.Duration, salt string, parts []cfvcall.Part, domain string) (f FetchEstimate) {
	most := 0
	for _, part := range parts {
		addr := c.Find(now, Key{Salt: salt, Part: part.ID}, part.Tokens, domain)
		if addr == "" {
			continue
		}
		f.Tokens += part.Tokens
		slowdown := c.slowdown(now, addr)
		f.Transfer += time.Duration(float64(c.transferTime(addr, part.Tokens, domain)) * slowdown)
		f.Wait = max(f.Wait, c.wait(now, addr))
		if part.Tokens > most {
			most, f.Store, f.Slowdown = part.Tokens, addr, slowdown
		}
	}
	return f
}

package cfvreach

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Limits of the choice of peers.
const (
	refusedPeriod  = time.Second // a peer that took no request is left out for this long
	stoppingPeriod = time.Second // a peer that stops is only asked if no other is left, for this long
	maxLoadFactor  = 3           // peers of the same failure domain serve its callers if their load grows by this factor at most
)

// Peers chooses the peers to which an entry that is cut off hands requests over. It is not safe for concurrent use.
type Peers struct {
	running    map[string]int           // requests that were handed over and have not ended, by peer
	leftOutFor map[string]time.Duration // by peer: until when it gets none
	stopping   map[string]time.Duration // by peer: until when others are asked first
}

// NewPeers returns a choice that knows nothing of the peers.
func NewPeers() *Peers {
	return &Peers{running: make(map[string]int), leftOutFor: make(map[string]time.Duration), stopping: make(map[string]time.Duration)}
}

// Start chooses a peer for a request, none of those that were tried, and counts the request there until Finish is called. It is the one with
// fewer requests of two that are drawn by the random numbers in [0, 1), in the same failure domain if enough peers of it are left to
// serve its callers. It returns false if there is none.
func (p *Peers) Start(now time.Duration, domain string, peers []cfvfleet.Entry, tried map[string]bool, random func() float64) (peer cfvfleet.Entry, ok bool) {
	var candidates, near, stopping []cfvfleet.Entry
	sameDomain := 1 // this entry
	for _, e := range peers {
		if e.Domain == domain {
			sameDomain++
		}
		switch {
		case tried[e.Name] || now < p.leftOutFor[e.Name]:
		case now < p.stopping[e.Name]:
			stopping = append(stopping, e)
		default:
			candidates = append(candidates, e)
			if e.Domain == domain {
				near = append(near, e)
			}
		}
	}
	switch {
	case len(candidates) == 0:
		candidates = stopping
	case len(near)*maxLoadFactor >= sameDomain:
		candidates = near
	}
	if len(candidates) == 0 {
		return peer, false
	}
	draw := func() cfvfleet.Entry {
		return candidates[min(int(random()*float64(len(candidates))), len(candidates)-1)]
	}
	peer = draw()
	if other := draw(); p.running[other.Name] < p.running[peer.Name] {
		peer = other
	}
	p.running[peer.Name]++
	return peer, true
}

// Result is what a peer did with a request.
type Result int

// Values of Result.
const (
	Taken         Result = iota
	TakenStopping        // the peer stops soon
	NotTaken             // the peer refused the request, or did not respond
)

// Finish records that a request has ended that was handed over. A peer that did not take it gets none for a while.
func (p *Peers) Finish(now time.Duration, peer string, r Result) {
	if p.running[peer]--; p.running[peer] <= 0 {
		delete(p.running, peer)
	}
	delete(p.leftOutFor, peer)
	switch r {
	case NotTaken:
		p.leftOutFor[peer] = now + refusedPeriod
	case TakenStopping:
		p.stopping[peer] = now + stoppingPeriod
	case Taken:
	}
}

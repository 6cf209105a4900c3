package cfvreach

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Limits of the choice of peers.
const (
	RefusedPeriod  = time.Second // a peer that took no request is left out for this long
	otherDomainSum = 1           // a peer in another failure domain counts as if it ran so many requests more
)

// Peers chooses the peers to which an entry that is cut off hands requests over. It is not safe for concurrent use.
type Peers struct {
	running    map[string]int           // requests that were handed over and have not ended, by peer
	leftOutFor map[string]time.Duration // by peer: until when it gets none
}

// NewPeers returns a choice that knows nothing of the peers.
func NewPeers() *Peers {
	return &Peers{running: make(map[string]int), leftOutFor: make(map[string]time.Duration)}
}

// Start chooses a peer for a request, none of those that were tried, and counts the request there until Finish is called. Of two that
// are drawn by the random numbers in [0, 1) it is the one with fewer requests; one in the same failure domain goes first. It
// returns false if there is none.
func (p *Peers) Start(now time.Duration, domain string, peers []cfvfleet.Entry, tried map[string]bool, random func() float64) (peer cfvfleet.Entry, ok bool) {
	candidates := make([]cfvfleet.Entry, 0, len(peers))
	for _, e := range peers {
		if !tried[e.Name] && now >= p.leftOutFor[e.Name] {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return peer, false
	}
	draw := func() cfvfleet.Entry {
		return candidates[min(int(random()*float64(len(candidates))), len(candidates)-1)]
	}
	peer = draw()
	if other := draw(); p.load(other, domain) < p.load(peer, domain) {
		peer = other
	}
	p.running[peer.Name]++
	return peer, true
}

func (p *Peers) load(e cfvfleet.Entry, domain string) int {
	n := p.running[e.Name]
	if e.Domain != domain {
		n += otherDomainSum
	}
	return n
}

// Finish records that a request has ended that was handed over. A peer that refused it or did not respond gets none for a while.
func (p *Peers) Finish(now time.Duration, peer string, taken bool) {
	if p.running[peer]--; p.running[peer] <= 0 {
		delete(p.running, peer)
	}
	delete(p.leftOutFor, peer)
	if !taken {
		p.leftOutFor[peer] = now + RefusedPeriod
	}
}

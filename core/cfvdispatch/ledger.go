package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Figures of the placement of long prompts.
const (
	endpointsPerGroup = 16               // endpoints whose long prompts one entry places
	grantLife         = 6 * time.Second  // a grant whose end nobody told is forgotten
	homeLife          = 20 * time.Second // an engine has dropped parts that were not used for longer
	maxHomes          = 20000
)

// Ledger answers a load of long prompts that arrive at many entries: each entry alone sees
// too little to keep two of them off one endpoint while others are idle. One entry places
// all long prompts of a group of endpoints and remembers in the ledger what it granted. A
// lost ledger costs balance, never a request. It is not safe for concurrent use.
type Ledger struct {
	grants map[string]map[string]grant // by endpoint and request
	homes  map[string]home             // by what prompts share
}

// home is where shared parts were read last.
type home struct {
	endpoint string
	at       time.Duration
}

type grant struct {
	tokens int
	at     time.Duration
	read   bool // the prompt has been read; its memory is still in use
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{grants: make(map[string]map[string]grant), homes: make(map[string]home)}
}

// Grant notes that a request was placed.
func (l *Ledger) Grant(now time.Duration, endpoint, request string, tokens int) {
	m := l.grants[endpoint]
	if m == nil {
		m = make(map[string]grant)
		l.grants[endpoint] = m
	}
	m[request] = grant{tokens: tokens, at: now}
}

// Read notes where shared parts are read.
func (l *Ledger) Read(now time.Duration, affinity, endpoint string) {
	if affinity == "" {
		return
	}
	if len(l.homes) >= maxHomes {
		for key, h := range l.homes {
			if now-h.at > homeLife {
				delete(l.homes, key)
			}
		}
		if len(l.homes) >= maxHomes {
			return
		}
	}
	l.homes[affinity] = home{endpoint, now}
}

// Home returns the endpoint that read shared parts last; empty: none did lately.
func (l *Ledger) Home(now time.Duration, affinity string) string {
	h, ok := l.homes[affinity]
	if !ok || now-h.at > homeLife {
		return ""
	}
	return h.endpoint
}

// Answered notes that the endpoint has read a prompt.
func (l *Ledger) Answered(endpoint, request string) {
	if g, ok := l.grants[endpoint][request]; ok {
		g.read = true
		l.grants[endpoint][request] = g
	}
}

// Settle notes that a request is over.
func (l *Ledger) Settle(endpoint, request string) {
	delete(l.grants[endpoint], request)
	if len(l.grants[endpoint]) == 0 {
		delete(l.grants, endpoint)
	}
}

// Load returns what an endpoint still has to read, and the tokens of memory in use.
func (l *Ledger) Load(now time.Duration, endpoint string) (unread Load, memory int) {
	for id, g := range l.grants[endpoint] {
		if now-g.at > grantLife {
			delete(l.grants[endpoint], id)
			continue
		}
		memory += g.tokens
		if !g.read {
			unread.Running++
			unread.Tokens += g.tokens
		}
	}
	return unread, memory
}

// Groups returns into how many groups n endpoints are cut.
func Groups(n int) int { return max(1, (n+endpointsPerGroup/2)/endpointsPerGroup) }

// GroupOf returns the group of a key: an endpoint's id, or what a request shares.
func GroupOf(key string, groups int) int {
	return int(xxhash.Sum64String(key) % uint64(max(groups, 1)))
}

// InGroup returns the endpoints of one group.
func InGroup(endpoints []*cfvfleet.Endpoint, group, groups int) []*cfvfleet.Endpoint {
	if groups <= 1 {
		return endpoints
	}
	var out []*cfvfleet.Endpoint
	for _, e := range endpoints {
		if GroupOf(e.ID, groups) == group {
			out = append(out, e)
		}
	}
	return out
}

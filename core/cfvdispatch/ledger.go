package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Figures of the placement of long prompts.
const (
	endpointsPerGroup = 64               // endpoints whose long prompts one entry places; smaller groups run full one by one
	grantLife         = 6 * time.Second  // a grant whose end nobody told is forgotten
	homeLife          = 20 * time.Second // an engine has dropped parts that were not used for longer
	maxHomes          = 20000
	maxEndpoints      = 4000 // endpoints that came and went; then the ledger learns anew
	keptShare         = 0.7  // of an engine's memory is filled anew before parts yield; the rest is in use by what runs
)

// Ledger answers a load of long prompts that arrive at many entries: each entry alone sees
// too little to keep two of them off one endpoint while others are idle. One entry places
// all long prompts of a group of endpoints and remembers in the ledger what it granted. A
// lost ledger costs balance, never a request. It is not safe for concurrent use.
type GrantTable struct {
	grants map[string]map[string]grant // by endpoint and request
	homes  map[string]home             // by what prompts share
	filled map[string]int              // tokens that an endpoint's prompts have put into its memory, ever
}

// home is where shared parts were read last.
type home struct {
	endpoint string
	at       time.Duration
	filled   int // of the endpoint, once the parts were there
}

// grant is one request at an endpoint.
type grant struct {
	tokens int // memory
	work   int // tokens to read
	at     time.Duration
	read   bool // the prompt has been read; its answer is being made
}

// Work is what an endpoint has under way.
type GrantedLoad struct {
	PendingPrompts int // prompts that have not been read
	PendingTokens  int // that they still have to read
	Streams        int // requests whose answer is not complete, with the unread ones
	MemoryTokens   int // tokens of memory in use
}

// NewLedger returns an empty ledger.
func NewGrantTable() *GrantTable {
	return &GrantTable{grants: make(map[string]map[string]grant), homes: make(map[string]home), filled: make(map[string]int)}
}

// Grant notes that a request was placed: how much memory it takes, and what it reads.
func (l *GrantTable) Add(now time.Duration, endpoint, request string, memory, work int) {
	m := l.grants[endpoint]
	if m == nil {
		m = make(map[string]grant)
		l.grants[endpoint] = m
	}
	m[request] = grant{tokens: memory, work: work, at: now}
}

// Read notes where shared parts are read, and how many tokens that adds to the endpoint's
// memory.
func (l *GrantTable) RecordCached(now time.Duration, affinity, endpoint string, added int) {
	if len(l.filled) >= maxEndpoints {
		clear(l.filled)
		clear(l.homes)
	}
	l.filled[endpoint] += added
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
	l.homes[affinity] = home{endpoint, now, l.filled[endpoint]}
}

// Home returns the endpoint that read shared parts last; empty: none did lately, or others
// have taken their place in its memory since. Memory is what an endpoint holds; 0: not known.
func (l *GrantTable) CachedOn(now time.Duration, affinity string, memory int) string {
	h, ok := l.homes[affinity]
	if !ok || now-h.at > homeLife {
		return ""
	}
	if memory > 0 && float64(l.filled[h.endpoint]-h.filled) > keptShare*float64(memory) {
		return ""
	}
	return h.endpoint
}

// Answered notes that the endpoint has read a prompt.
func (l *GrantTable) PrefillDone(endpoint, request string) {
	if g, ok := l.grants[endpoint][request]; ok {
		g.read = true
		l.grants[endpoint][request] = g
	}
}

// Settle notes that a request is over.
func (l *GrantTable) Release(endpoint, request string) {
	delete(l.grants[endpoint], request)
	if len(l.grants[endpoint]) == 0 {
		delete(l.grants, endpoint)
	}
}

// Load returns what an endpoint has under way.
func (l *GrantTable) Load(now time.Duration, endpoint string) (w GrantedLoad) {
	for id, g := range l.grants[endpoint] {
		if now-g.at > grantLife {
			delete(l.grants[endpoint], id)
			continue
		}
		w.MemoryTokens += g.tokens
		w.Streams++
		if !g.read {
			w.PendingPrompts++
			w.PendingTokens += g.work
		}
	}
	return w
}

// Groups returns into how many groups n endpoints are cut.
func GroupCount(n int) int { return max(1, (n+endpointsPerGroup/2)/endpointsPerGroup) }

// GroupOf returns the group of a key: an endpoint's id, or what a request shares.
func GroupOf(key string, groups int) int {
	return int(xxhash.Sum64String(key) % uint64(max(groups, 1)))
}

// InGroup returns the endpoints of one group.
func EndpointsInGroup(endpoints []*cfvfleet.Endpoint, group, groups int) []*cfvfleet.Endpoint {
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

package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Limits of the placement of long prompts.
const (
	endpointsPerGroup = 64               // endpoints whose long prompts one entry places; of smaller groups, some are full while others have room
	grantTTL          = 6 * time.Second  // a grant whose release was not received expires
	cachedTTL         = 20 * time.Second // engines evict parts that were not used for longer
	maxCachedKeys     = 20000
	maxEndpoints      = 4000                  // endpoints seen, including gone ones, before the records of cached parts are cleared
	reportDelay       = 30 * time.Millisecond // until an entry has its grant, and until its report of the prefill arrives
	evictionShare     = 0.7                   // share of an engine's memory that newer prompts fill before parts count as evicted; running requests use the rest
)

// GrantTable records where the long prompts of a group of endpoints were placed. Long prompts
// arrive at many entries, and each entry alone sees too few of them to avoid sending two to
// one endpoint while others are idle. So one entry places all long prompts of a group and
// records its grants here. If the table is lost, the load is less balanced, but no request
// fails. A GrantTable is not safe for concurrent use.
type GrantTable struct {
	grants      map[string]map[string]grant // by endpoint and request
	cached      map[string]cachedParts      // by Query.cacheKey
	addedTokens map[string]int              // by endpoint: total of the tokens that prompts have added to its memory
}

// cachedParts is where shared parts were prefilled or used last.
type cachedParts struct {
	endpoint    string
	usedAt      time.Duration
	addedTokens int // GrantTable.addedTokens of the endpoint at that time
}

// Grant is the placement of a prompt at an endpoint.
type Grant struct {
	MemoryTokens  int // memory that the request takes
	PrefillTokens int
	Prefill       time.Duration // expected time to prefill this prompt and those before it, at the configured speed
	Fetch         time.Duration // expected time to fetch stored parts
}

// grant is a Grant in force.
type grant struct {
	Grant
	grantedAt time.Duration
	prefilled bool // the prefill is done and the response is being generated
}

// GrantedLoad is the granted work in progress at an endpoint.
type GrantedLoad struct {
	PendingPrompts int // prompts whose prefill is not done
	PendingTokens  int // prefill tokens of these prompts
	Streams        int // requests whose response is not complete, including pending prompts
	MemoryTokens   int // memory in use
}

// NewGrantTable returns an empty grant table.
func NewGrantTable() *GrantTable {
	return &GrantTable{grants: make(map[string]map[string]grant), cached: make(map[string]cachedParts), addedTokens: make(map[string]int)}
}

// Add records that a request was placed at an endpoint.
func (t *GrantTable) Add(now time.Duration, endpoint, request string, g Grant) {
	m := t.grants[endpoint]
	if m == nil {
		m = make(map[string]grant)
		t.grants[endpoint] = m
	}
	m[request] = grant{Grant: g, grantedAt: now}
}

// RecordCached records at which endpoint shared parts are prefilled or used, and how many
// tokens that adds to the endpoint's memory.
func (t *GrantTable) RecordCached(now time.Duration, cacheKey, endpoint string, addedTokens int) {
	if len(t.addedTokens) >= maxEndpoints {
		clear(t.addedTokens)
		clear(t.cached)
	}
	t.addedTokens[endpoint] += addedTokens
	if cacheKey == "" {
		return
	}
	if len(t.cached) >= maxCachedKeys {
		for key, c := range t.cached {
			if now-c.usedAt > cachedTTL {
				delete(t.cached, key)
			}
		}
		if len(t.cached) >= maxCachedKeys {
			return
		}
	}
	t.cached[cacheKey] = cachedParts{endpoint, now, t.addedTokens[endpoint]}
}

// CachedOn returns the endpoint that most likely still caches shared parts. It returns "" if
// they were not used recently or if newer prompts have evicted them from memory. The argument
// memoryTokens is the capacity of an endpoint, or 0 if it is unknown.
func (t *GrantTable) CachedOn(now time.Duration, cacheKey string, memoryTokens int) string {
	c, ok := t.cached[cacheKey]
	if !ok || now-c.usedAt > cachedTTL {
		return ""
	}
	if memoryTokens > 0 && float64(t.addedTokens[c.endpoint]-c.addedTokens) > evictionShare*float64(memoryTokens) {
		return ""
	}
	return c.endpoint
}

// PrefillDone records that the endpoint has prefilled a prompt. It returns how long that was expected to
// take at the configured speed, and how long it took, without the fetch; false if there is no such grant.
func (t *GrantTable) PrefillDone(now time.Duration, endpoint, request string) (expected, took time.Duration, ok bool) {
	g, ok := t.grants[endpoint][request]
	if !ok || g.prefilled {
		return 0, 0, false
	}
	g.prefilled = true
	t.grants[endpoint][request] = g
	return g.Prefill, max(now-g.grantedAt-g.Fetch-reportDelay, 0), true
}

// Release deletes the grant of a request that has ended.
func (t *GrantTable) Release(endpoint, request string) {
	delete(t.grants[endpoint], request)
	if len(t.grants[endpoint]) == 0 {
		delete(t.grants, endpoint)
	}
}

// Load returns the granted work in progress at an endpoint. It deletes expired grants.
func (t *GrantTable) Load(now time.Duration, endpoint string) (w GrantedLoad) {
	for id, g := range t.grants[endpoint] {
		if now-g.grantedAt > grantTTL {
			delete(t.grants[endpoint], id)
			continue
		}
		w.MemoryTokens += g.MemoryTokens
		w.Streams++
		if !g.prefilled {
			w.PendingPrompts++
			w.PendingTokens += g.PrefillTokens
		}
	}
	return w
}

// GroupCount returns the number of groups that n endpoints are divided into.
func GroupCount(n int) int { return max(1, (n+endpointsPerGroup/2)/endpointsPerGroup) }

// GroupOf returns the group of a key, which is an endpoint's ID or a request's affinity key.
func GroupOf(key string, groups int) int {
	return int(xxhash.Sum64String(key) % uint64(max(groups, 1)))
}

// EndpointsInGroup returns the endpoints of one group.
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

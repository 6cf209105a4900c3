package cfvdispatch

import (
	"strconv"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Query describes a request and its service to Dispatcher.Choose.
type Query struct {
	Endpoints             []*cfvfleet.Endpoint          // usable endpoints of the service
	ColdUntil             func(id string) time.Duration // until when an endpoint is cold; may be nil
	ColdRequestsPerSecond float64                       // limit of a cold endpoint; 0: no limit
	Affinity              string                        // key of the shared parts; empty: none
	PromptTokens          int
	SharedTokens          int  // tokens of the shared parts
	Stored                bool // a store holds the shared parts
	Model                 string
	DesiredWeights        int64                // desired version; 0: not set
	RefuseOldWeights      bool                 // requests may no longer start on older weights
	PreferNewWeights      bool                 // responses on older weights lose value
	MayFetchOldParts      func(id string) bool // whether an endpoint may fetch parts of older weights; nil: none may
	Domain                string
	Exclude               map[string]bool // endpoints that rejected the request
	MaxPerEntry           int             // limit of this entry's requests at one endpoint; 0: no limit
	FetchMsPerToken       float64         // time to fetch one token of a shared part
	ShortPoolSize         int             // endpoints in the short-prompt pool; 0: no pools

	MemoryTokens int         // capacity of an engine; 0: unknown
	Grants       *GrantTable // set at the entry that places long prompts, nil elsewhere

	shortPool map[string]bool // endpoints of the short-prompt pool; nil: no pools, or not computed yet
}

// Restrict limits the choice to some of the endpoints. The pools are still computed over all
// of them.
func (q *Query) Restrict(endpoints []*cfvfleet.Endpoint) {
	if q.ShortPoolSize > 0 {
		q.shortPool = ShortPool(q.Endpoints, q.ShortPoolSize)
	}
	q.Endpoints = endpoints
}

// cacheKey identifies the shared parts as prefilled on the desired weights.
func (q *Query) cacheKey() string {
	return strconv.FormatInt(q.DesiredWeights, 10) + "\x00" + q.Affinity
}

// rankKey returns the key by which endpoints are ranked: the affinity key, or the random
// number u if there is none.
func (q *Query) rankKey(u float64) string {
	if q.Affinity != "" {
		return q.Affinity
	}
	return strconv.FormatFloat(u, 'g', -1, 64)
}

// RecordGrant records in the grant table that a request goes to an endpoint.
func (q *Query) RecordGrant(now time.Duration, request string, e *cfvfleet.Endpoint) {
	cached := q.Grants.CachedOn(now, q.cacheKey(), q.MemoryTokens) == e.ID
	addedTokens := q.PromptTokens
	if cached {
		addedTokens -= q.SharedTokens
	}
	q.Grants.Add(now, e.ID, request, q.PromptTokens, q.prefillTokens(cached))
	q.Grants.RecordCached(now, q.cacheKey(), e.ID, addedTokens)
}

// prefillTokens returns how many tokens of the prompt an endpoint has to prefill.
func (q *Query) prefillTokens(cached bool) int {
	if cached || q.Stored {
		return q.PromptTokens - q.SharedTokens
	}
	return q.PromptTokens
}

// Choice is the result of Dispatcher.Choose.
type Choice struct {
	Endpoint *cfvfleet.Endpoint
	CachedOn *cfvfleet.Endpoint // where the shared parts are most likely cached; may be nil
}

// Reason is the reason why no endpoint was chosen. If several apply, the highest is returned.
type Reason int

// Values of Reason.
const (
	Chosen          Reason = iota // an endpoint was chosen
	NoCandidates                  // there is no endpoint, or all are excluded
	AllAtColdLimit                // cold endpoints accept no more requests now
	AllAtEntryLimit               // all endpoints have reached MaxPerEntry
	AllOnOldWeights               // no endpoint runs the desired weights
)

// inWrongPool reports whether an endpoint is in the pool for prompts of the other length.
func (q *Query) inWrongPool(e *cfvfleet.Endpoint) bool {
	return q.shortPool != nil && q.shortPool[e.ID] != (q.PromptTokens < LongPromptTokens)
}

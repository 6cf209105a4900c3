package cfvdispatch

import (
	"strconv"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Query is what the choice depends on beside the dispatcher's own knowledge.
type Query struct {
	Endpoints             []*cfvfleet.Endpoint // usable ones of the service
	ColdUntil             func(id string) time.Duration
	ColdRequestsPerSecond float64 // what a cold endpoint bears; 0: no limit
	Affinity              string  // shared parts; empty: none
	PromptTokens          int     // of the prompt
	SharedTokens          int     // tokens of the shared parts
	Stored                bool    // a store holds the shared parts
	Model                 string
	DesiredWeights        int64                // newest weights; 0: not named
	RefuseOldWeights      bool                 // older weights may not begin any more
	PreferNewWeights      bool                 // older weights lose worth
	MayFetchOldParts      func(id string) bool // parts of older weights may be fetched at an endpoint; nil: at none
	Domain                string
	Exclude               map[string]bool // endpoints that rejected the request
	MaxPerEntry           int             // most requests of this entry at one endpoint; 0: no bound
	FetchMsPerToken       float64         // time to fetch a token of a shared part in milliseconds
	ShortPoolSize         int             // endpoints for short prompts; 0: no lanes

	MemoryTokens int         // tokens that an engine holds; 0: not known
	Grants       *GrantTable // what was granted, for the entry that places long prompts; nil elsewhere

	lane map[string]bool // endpoints of the lane for short prompts
}

// Narrow restricts the choice to some of the endpoints, with lanes over all of them.
func (q *Query) Restrict(endpoints []*cfvfleet.Endpoint) {
	if q.ShortPoolSize > 0 {
		q.lane = ShortPool(q.Endpoints, q.ShortPoolSize)
	}
	q.Endpoints = endpoints
}

// homeKey names the shared parts as read on the wanted weights.
func (q *Query) homeKey() string {
	return strconv.FormatInt(q.DesiredWeights, 10) + "\x00" + q.Affinity
}

// drawKey is what endpoints are ranked by: the shared parts, or a random number.
func (q *Query) drawKey(u float64) string {
	if q.Affinity != "" {
		return q.Affinity
	}
	return strconv.FormatFloat(u, 'g', -1, 64)
}

// Granted notes in the ledger that a request goes to an endpoint.
func (q *Query) RecordGrant(now time.Duration, request string, e *cfvfleet.Endpoint) {
	home := q.Grants.CachedOn(now, q.homeKey(), q.MemoryTokens) == e.ID
	added := q.PromptTokens
	if home {
		added -= q.SharedTokens
	}
	q.Grants.Add(now, e.ID, request, q.PromptTokens, q.work(home))
	q.Grants.RecordCached(now, q.homeKey(), e.ID, added)
}

// work returns the tokens that an endpoint reads of the prompt.
func (q *Query) work(home bool) int {
	if home || q.Stored {
		return q.PromptTokens - q.SharedTokens
	}
	return q.PromptTokens
}

// Choice is where a request goes.
type Choice struct {
	Endpoint *cfvfleet.Endpoint
	CachedOn *cfvfleet.Endpoint // where its shared parts are most likely cached; may be nil
}

// Reason says why no endpoint was chosen.
type Reason int

// The reasons for no choice.
const (
	Chosen Reason = iota
	NoCandidates
	AllAtColdLimit
	AllAtEntryLimit
	AllOnOldWeights
)

// away reports whether an endpoint is in the lane for other prompts.
func (q *Query) away(e *cfvfleet.Endpoint) bool {
	return q.lane != nil && q.lane[e.ID] != (q.PromptTokens < LongPromptTokens)
}

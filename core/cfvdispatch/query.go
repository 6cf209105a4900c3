package cfvdispatch

import (
	"math"
	"slices"
	"strconv"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Query describes a request and its service to Dispatcher.Choose.
type Query struct {
	Endpoints             []*cfvfleet.Endpoint          // usable endpoints of the service
	ColdUntil             func(id string) time.Duration // until when an endpoint is cold; may be nil
	ColdRequestsPerSecond float64                       // limit of a cold endpoint; 0: no limit
	Affinity              string                        // key of the shared parts; empty: none
	PromptTokens          int
	SharedTokens          int // tokens of the shared parts
	StoredTokens          int // tokens of those shared parts that a store holds
	Model                 string
	DesiredWeights        int64                               // desired version; 0: not set
	OldestWeights         int64                               // oldest version on which requests may start; 0: any
	PreferredWeights      int64                               // responses on older versions lose value; 0: none
	MayFetchOldParts      func(id string, version int64) bool // whether an endpoint may fetch parts of a replaced version; nil: none may
	Domain                string
	Exclude               map[string]bool // endpoints that rejected the request
	Blocked               map[string]bool // endpoints that want no request from this entry now
	IgnoreLoads           bool            // the sample is one endpoint: by late loads, the one that was idle would get twice its part
	MaxPerEntry           int             // limit of this entry's requests at one endpoint; 0: no limit
	Fetch                 FetchEstimator  // of the stored parts; nil: fetching takes no time
	ShortPoolSize         int             // endpoints in the short-prompt pool; 0: no pools
	LongTokens            int             // length from which a prompt is long; 0: LongPromptTokens

	MemoryTokens int         // capacity of an engine; 0: unknown
	Grants       *GrantTable // set at the entry that places long prompts, nil elsewhere
	Slowness     float64     // actual to configured time of prefills; 0: not known

	ShortPool map[string]bool // endpoints of the short-prompt pool; nil: no pools, or computed from ShortPoolSize

	Factors map[string]float64 // measured slowness of endpoints; 1 if an endpoint is missing; nil: all are 1
	UsualMs float64            // usual time of such a request; 0: the configured time of its prefill
}

// FetchEstimator estimates how long an endpoint in a failure domain waits until it can fetch the
// stored parts of a prompt, and how long it then takes.
type FetchEstimator func(domain string) (wait, transfer time.Duration)

// Restrict limits the choice to some of the endpoints. The pools are still computed over all
// of them.
func (q *Query) Restrict(endpoints []*cfvfleet.Endpoint) {
	if q.ShortPoolSize > 0 && q.ShortPool == nil {
		q.ShortPool = ShortPool(q.Endpoints, q.ShortPoolSize)
	}
	q.Endpoints = endpoints
}

// unblocked returns the query without the blocked endpoints.
func (q Query) unblocked() Query {
	q.Endpoints = slices.DeleteFunc(slices.Clone(q.Endpoints), func(e *cfvfleet.Endpoint) bool { return q.Blocked[e.ID] })
	return q
}

// cacheKey identifies the shared parts as prefilled on the desired weights.
func (q *Query) cacheKey() string {
	return strconv.FormatInt(q.DesiredWeights, 10) + "\x00" + q.Affinity
}

// rank returns the hash by which endpoints are ranked: of the affinity key, or of the random number u if
// there is none.
func (q *Query) rank(u float64) uint64 {
	if q.Affinity != "" {
		return xxhash.Sum64String(q.Affinity)
	}
	return mix(math.Float64bits(u), 0)
}

// RecordGrant records in the grant table that a request goes to an endpoint.
func (q *Query) RecordGrant(now time.Duration, request string, e *cfvfleet.Endpoint) {
	cached := q.Grants.CachedOn(now, q.cacheKey(), q.MemoryTokens) == e.ID
	addedTokens := q.PromptTokens
	if cached {
		addedTokens -= q.SharedTokens
	}
	g := Grant{MemoryTokens: q.PromptTokens, PrefillTokens: q.prefillTokens(e.Domain, cached)}
	g.Prefill = q.scaled(e, prefillTime(q.Grants.Load(now, e.ID).PendingTokens+g.PrefillTokens))
	if !cached && q.Fetches(e.Domain) {
		g.Fetch = q.fetchTime(e.Domain)
	}
	q.Grants.Add(now, e.ID, request, g)
	q.Grants.RecordCached(now, q.cacheKey(), e.ID, addedTokens)
}

// prefillTokens returns how many tokens of the prompt an endpoint in a failure domain has to
// prefill. The argument cached reports whether it holds the shared parts.
func (q *Query) prefillTokens(domain string, cached bool) int {
	switch {
	case cached:
		return q.PromptTokens - q.SharedTokens
	case q.Fetches(domain):
		return q.PromptTokens - q.StoredTokens
	}
	return q.PromptTokens
}

// Fetches reports whether an endpoint in a failure domain that does not hold the shared parts
// should fetch the stored ones. If the links of the stores are slow or busy, computing them costs
// less.
func (q *Query) Fetches(domain string) bool {
	return q.StoredTokens > 0 && q.fetchMs(domain) <= computeMs(q.StoredTokens)
}

// sharedPartsMs returns the cost of the shared parts at an endpoint that does not hold them, in
// milliseconds.
func (q *Query) sharedPartsMs(domain string) float64 {
	if !q.Fetches(domain) {
		return computeMs(q.SharedTokens)
	}
	return q.fetchMs(domain) + computeMs(q.SharedTokens-q.StoredTokens)
}

// fetchMs returns the cost of fetching the stored parts, in milliseconds.
func (q *Query) fetchMs(domain string) float64 {
	if q.Fetch == nil {
		return 0
	}
	wait, transfer := q.Fetch(domain)
	return milliseconds(wait) + milliseconds(transfer)*transferFactor
}

// fetchTime returns how long an endpoint takes to fetch the stored parts, waits included.
func (q *Query) fetchTime(domain string) time.Duration {
	if q.Fetch == nil {
		return 0
	}
	wait, transfer := q.Fetch(domain)
	return wait + transfer
}

// PrefillWait estimates how long the chosen endpoint takes to prefill its pending prompts and then
// this one, without the time to fetch stored parts.
func (q *Query) PrefillWait(now time.Duration, c Choice) time.Duration {
	tokens := q.Grants.Load(now, c.Endpoint.ID).PendingTokens + q.prefillTokens(c.Endpoint.Domain, c.CachedOn == c.Endpoint)
	return q.scaled(c.Endpoint, q.slowed(prefillTime(tokens)))
}

// Admission describes the chosen endpoint to Admission.Decide: when it begins with the prompt, how long
// it takes, and whether it has memory for it.
func (q *Query) Admission(now time.Duration, c Choice) (r AdmissionRequest) {
	e, cached := c.Endpoint, c.CachedOn == c.Endpoint
	w := q.Grants.Load(now, e.ID)
	r.Wait = q.scaled(e, q.slowed(prefillTime(w.PendingTokens)))
	r.Work = q.scaled(e, q.slowed(prefillTime(q.prefillTokens(e.Domain, cached))))
	if !cached && q.Fetches(e.Domain) {
		r.Work += q.fetchTime(e.Domain)
	}
	r.MemoryFull = q.MemoryTokens > 0 && w.MemoryTokens > 0 && w.MemoryTokens+q.PromptTokens > int(maxMemoryShare*float64(q.MemoryTokens))
	return r
}

// slowed returns an expected prefill time by the measured speed of the endpoints.
func (q *Query) slowed(d time.Duration) time.Duration {
	if q.Slowness <= 0 {
		return d
	}
	return time.Duration(float64(d) * q.Slowness)
}

// prefillTime returns how long an engine takes to prefill tokens at the configured speed.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}

// computeMs returns the cost of computing shared parts again, in milliseconds.
func computeMs(tokens int) float64 { return float64(tokens) / prefillTokensPerMs * missFactor }

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Choice is the result of Dispatcher.Choose.
type Choice struct {
	Endpoint *cfvfleet.Endpoint
	CachedOn *cfvfleet.Endpoint // where the shared parts are most likely cached; may be nil
	Cold     bool               // the endpoint is cold or may be, so the request counts against its limit
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
	AllBlocked                    // no endpoint wants a request from this entry now
)

// inWrongPool reports whether an endpoint is in the pool for prompts of the other length.
func (q *Query) inWrongPool(e *cfvfleet.Endpoint) bool {
	return q.ShortPool != nil && q.ShortPool[e.ID] == q.IsLong()
}

// IsLong reports whether the prompt belongs in the long-prompt pool.
func (q *Query) IsLong() bool {
	if q.LongTokens > 0 {
		return q.PromptTokens >= q.LongTokens
	}
	return q.PromptTokens >= LongPromptTokens
}

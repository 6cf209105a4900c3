// Package cfvdispatch chooses the endpoint of each request at one entry. The choice depends
// on cached prompt parts, on the load of the endpoints, on the request limit of cold
// endpoints and on recent failures.
package cfvdispatch

import (
	"math"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvspeed"

	"github.com/cespare/xxhash/v2"
)

// Weights of the choice. The score of an endpoint is the estimated time until its response
// starts, in milliseconds. Penalties that stand for lost value are converted to milliseconds.
const (
	prefillTokensPerMs    = 60.0  // prompt tokens prefilled per millisecond; the platform's engines reach 64 and 93
	runningRequestMs      = 6.0   // added for each running request
	meanRunningMs         = 6.0   // added for each request that ran there on average lately: a slow endpoint has many
	meanRunningWeight     = 0.1   // of the last report in that average
	queueingSlotShare     = 0.75  // share of the slots above which requests are assumed to queue; below 1 because load is reported late
	queuedRequestMs       = 15.0  // added for each running request above that share
	missFactor            = 4.0   // recomputing a shared part also delays all other requests at the endpoint
	oldWeightsPenaltyMs   = 100.0 // a response on replaced weights loses a fifth of its value, a late response four fifths
	loadingPenaltyMs      = 250.0 // an endpoint that loads weights accepts no new request for half a second
	failurePenaltyMs      = 400.0 // times the excess share of failures at an endpoint that passes its health checks
	coldPenaltyMs         = 60.0  // cold endpoint; warm endpoints go first
	otherDomainPenaltyMs  = 1.0   // endpoint in another failure domain
	shortInLongPoolMs     = 150.0 // a short prompt in the long-prompt pool waits for the rest of a long prefill
	longInShortPoolFactor = 3.0   // a long prompt in the short-prompt pool delays many short prompts by its prefill time
	pausingPrefillTokens  = 10000 // a prefill of this many tokens pauses the running streams for over 0.3 s: six steps with a chunk each
	pausePenaltyMs        = 250.0 // for each running stream: a paused stream loses most of its value, in one case of two
	maxMemoryShare        = 0.85  // share of an engine's memory above which no more prompts are admitted
	usableMemoryShare     = 0.7   // share of an engine's memory for long prompts; a request without memory is preempted and recomputed
	transferFactor        = 3.0   // a transfer also delays all later transfers of its store
)

// endpointState holds what this entry knows about one endpoint, from its own requests and
// from the load that its peers report.
type endpointState struct {
	incarnation      cfvfleet.Incarnation
	hash             uint64 // of the endpoint's ID
	running          int
	pendingTokens    int // prompt tokens of running requests whose prefill is not done
	peerLoad         Load
	meanRunning      float64       // mean of the peers' running requests over the last reports
	unavailableUntil time.Duration // until then the endpoint is only a fallback
	backoff          time.Duration
	failedAt         time.Duration // last failed connection; 0: none
	coldUntil        time.Duration
	signs            restartSigns
	recentSends      []time.Duration // start times within coldLimitWindow
	loadingUntil     time.Duration   // the endpoint is loading weights
	weights          map[string]int64
	outcomes         outcomes
	reportedBy       string // the peer that reported last that the endpoint did not take a request
	reportedAt       time.Duration
}

// Load is the work that one or more entries have in progress at an endpoint, and the speed that
// they measured there.
type Load struct {
	Running       int
	PendingTokens int // prompt tokens whose prefill is not done
	Speed         cfvspeed.Measure
}

// Dispatcher chooses endpoints for one entry. All times are readings of a clock that also
// advances while the VM is suspended. A Dispatcher is not safe for concurrent use.
type Dispatcher struct {
	self    string
	states  map[string]*endpointState
	entries []string // empty until they are known
}

// New returns a Dispatcher for the entry named self.
func New(self string) *Dispatcher {
	return &Dispatcher{self: self, states: make(map[string]*endpointState)}
}

// SetEntries sets the names of all entries that share the endpoints. An empty list is ignored.
func (d *Dispatcher) SetEntries(names []string) {
	if len(names) > 0 {
		d.entries = names
	}
}

// stateOf returns the state of an endpoint. A restart of the endpoint's process resets the
// state, except for the counts of requests in progress and of recent ones: what was sent just
// before the announcement may have reached the new process. What is recorded of an earlier process has no effect.
func (d *Dispatcher) stateOf(e *cfvfleet.Endpoint) *endpointState {
	s := d.states[e.ID]
	if s != nil && e.StartMillis > 0 && e.StartMillis < s.incarnation.StartMillis {
		return &endpointState{incarnation: e.Incarnation(), hash: s.hash, weights: make(map[string]int64)}
	}
	if s == nil || s.incarnation != e.Incarnation() {
		fresh := &endpointState{incarnation: e.Incarnation(), hash: xxhash.Sum64String(e.ID), weights: make(map[string]int64)}
		if s != nil {
			fresh.running, fresh.pendingTokens, fresh.recentSends = s.running, s.pendingTokens, s.recentSends
		}
		s = fresh
		d.states[e.ID] = s
	}
	return s
}

// Retain deletes the state of every endpoint that is not in the list and has got no request of
// this entry lately.
func (d *Dispatcher) Retain(now time.Duration, endpoints []*cfvfleet.Endpoint) {
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
	}
	for id, s := range d.states {
		if !keep[id] && s.running == 0 && s.sendsInWindow(now) == 0 {
			delete(d.states, id)
		}
	}
}

// Choose returns the endpoint with the lowest score, or the reason why there is none. The
// argument u is a random number in [0, 1). It selects the sample and breaks ties for requests
// without shared parts.
func (d *Dispatcher) Choose(now time.Duration, q Query, u float64) (c Choice, why Reason) {
	why = NoCandidates
	best, bestFallback := math.Inf(1), math.Inf(1)
	var fallback *cfvfleet.Endpoint // best of the unavailable endpoints, used if no other is left
	if q.ShortPoolSize > 0 && q.ShortPool == nil {
		q.ShortPool = ShortPool(q.Endpoints, q.ShortPoolSize)
	}
	rank := q.rank(u)
	if q.Factors != nil && explores(u) {
		q.Factors = nil
	}
	var sampled []*cfvfleet.Endpoint
	if q.Grants == nil {
		sampled = d.sample(now, q, rank)
	}
	c.CachedOn = d.cachedEndpoint(now, q, sampled)
	if q.Grants == nil && len(q.Blocked) > 0 {
		sampled = d.sample(now, q.unblocked(), rank) // otherwise all entries would choose the one endpoint with the lowest load
	}
	for _, e := range q.Endpoints {
		if q.Exclude[e.ID] {
			continue
		}
		if q.Blocked[e.ID] {
			why = max(why, AllBlocked)
			continue
		}
		s := d.stateOf(e)
		if d.WeightsVersion(e, q.Model) < q.OldestWeights {
			why = max(why, AllOnOldWeights)
			continue
		}
		if q.MaxPerEntry > 0 && s.running >= q.MaxPerEntry {
			why = max(why, AllAtEntryLimit)
			continue
		}
		if !d.belowColdLimit(now, e, s, q) {
			why = max(why, AllAtColdLimit)
			continue
		}
		score := d.score(now, e, s, q, c.CachedOn)
		if q.Grants == nil {
			score += sampleRankMs(sampled, e)
		}
		score += tieBreak(rank, s.hash)
		if now < s.unavailableUntil {
			if score < bestFallback {
				bestFallback, fallback = score, e
			}
			continue
		}
		if score < best {
			best, c.Endpoint = score, e
		}
	}
	if c.Endpoint == nil {
		c.Endpoint = fallback
	}
	if c.Endpoint == nil {
		return c, why
	}
	c.Cold = d.cold(now, c.Endpoint, d.stateOf(c.Endpoint), q)
	return c, Chosen
}

// cachedEndpoint returns the endpoint that most likely caches the shared parts of a prompt,
// or nil. With a grant table it is the endpoint that prefilled the parts last, otherwise the
// first sampled endpoint.
func (d *Dispatcher) cachedEndpoint(now time.Duration, q Query, sampled []*cfvfleet.Endpoint) *cfvfleet.Endpoint {
	if q.Affinity == "" {
		return nil
	}
	if q.Grants != nil {
		id := q.Grants.CachedOn(now, q.cacheKey(), q.MemoryTokens)
		for _, e := range q.Endpoints {
			if e.ID == id && now >= d.stateOf(e).unavailableUntil {
				return e
			}
		}
		return nil // no available endpoint caches the parts
	}
	if len(sampled) > 0 {
		return sampled[0]
	}
	return nil
}

// score estimates the milliseconds until the endpoint's response starts, penalties included.
func (d *Dispatcher) score(now time.Duration, e *cfvfleet.Endpoint, s *endpointState, q Query, cachedOn *cfvfleet.Endpoint) float64 {
	cached := cachedOn != nil && e.ID == cachedOn.ID
	var ms float64
	if q.Grants != nil {
		ms = q.grantedWait(now, e, cached)
	} else {
		load := s.load()
		ms = float64(load.PendingTokens)/prefillTokensPerMs + float64(load.Running)*runningRequestMs + s.meanRunning*meanRunningMs
		if queued := float64(load.Running) - queueingSlotShare*float64(e.Slots); queued > 0 {
			ms += queued * queuedRequestMs
		}
	}
	ms = q.scaledWait(e, cached, ms)
	if q.Affinity != "" && !cached && (cachedOn != nil || q.Grants != nil) {
		ms += q.sharedPartsMs(e.Domain)
	}
	if q.inWrongPool(e) {
		ms += q.wrongPoolMs(e.Domain, cached)
	}
	if d.WeightsVersion(e, q.Model) < q.PreferredWeights {
		ms += oldWeightsPenaltyMs
	}
	if now < s.loadingUntil {
		ms += loadingPenaltyMs
	}
	if d.cold(now, e, s, q) {
		ms += coldPenaltyMs
	}
	if e.Domain != q.Domain {
		ms += otherDomainPenaltyMs
	}
	return ms + s.outcomes.excess(now)*failurePenaltyMs
}

// grantedWait estimates the wait at an endpoint from the grants there, and the delay that the
// prompt causes to the streams that run there.
func (q *Query) grantedWait(now time.Duration, e *cfvfleet.Endpoint, cached bool) float64 {
	w := q.Grants.Load(now, e.ID)
	ms := milliseconds(q.slowed(prefillTime(w.PendingTokens))) + float64(w.PendingPrompts)*runningRequestMs
	if q.MemoryTokens > 0 {
		ms += max(0, float64(w.MemoryTokens+q.PromptTokens)-usableMemoryShare*float64(q.MemoryTokens)) / prefillTokensPerMs
	}
	if q.prefillTokens(e.Domain, cached) >= pausingPrefillTokens {
		ms += float64(w.Streams) * pausePenaltyMs
	}
	return ms
}

// wrongPoolMs returns the penalty for a prompt in the pool for prompts of the other length.
func (q *Query) wrongPoolMs(domain string, cached bool) float64 {
	if !q.IsLong() {
		return shortInLongPoolMs
	}
	return float64(q.prefillTokens(domain, cached)) / prefillTokensPerMs * longInShortPoolFactor
}

// WeightsVersion returns the newest version of a model's weights that the endpoint is known
// to run.
func (d *Dispatcher) WeightsVersion(e *cfvfleet.Endpoint, model string) int64 {
	return max(d.stateOf(e).weights[model], e.Weights[model])
}

// Start records that a request with the given number of prompt tokens was sent.
func (d *Dispatcher) Start(now time.Duration, e *cfvfleet.Endpoint, tokens int) {
	s := d.stateOf(e)
	s.running++
	s.pendingTokens += tokens
	s.recentSends = append(s.recentSends, now)
	s.sendsInWindow(now)
}

// PrefillDone records that the endpoint has prefilled a prompt.
func (d *Dispatcher) PrefillDone(e *cfvfleet.Endpoint, tokens int) {
	if s := d.states[e.ID]; s != nil {
		s.pendingTokens = max(s.pendingTokens-tokens, 0)
	}
}

// Finish records that a request has ended.
func (d *Dispatcher) Finish(e *cfvfleet.Endpoint) {
	if s := d.states[e.ID]; s != nil {
		s.running = max(s.running-1, 0)
	}
}

// RecordWeights records the version of a model's weights that an endpoint reported.
func (d *Dispatcher) RecordWeights(e *cfvfleet.Endpoint, model string, version int64) {
	s := d.stateOf(e)
	s.weights[model] = max(s.weights[model], version)
	s.loadingUntil = 0
}

// RecordMissingWeights records that an endpoint does not run the weights that were recorded
// for it.
func (d *Dispatcher) RecordMissingWeights(e *cfvfleet.Endpoint, model string) {
	delete(d.stateOf(e).weights, model)
}

// RecordWeightsLoading records that an endpoint refuses requests while it loads weights.
func (d *Dispatcher) RecordWeightsLoading(e *cfvfleet.Endpoint, until time.Duration) {
	d.stateOf(e).loadingUntil = until
}

// LocalLoad returns the load of this entry at an endpoint.
func (d *Dispatcher) LocalLoad(id string) Load {
	if s := d.states[id]; s != nil {
		return Load{Running: s.running, PendingTokens: s.pendingTokens}
	}
	return Load{}
}

// Loaded reports whether other requests at an endpoint, of this entry and its peers, explain that a
// request with the given number of prompt tokens is not answered within its latency objective. It
// is false for an endpoint that is unavailable.
func (d *Dispatcher) Loaded(now time.Duration, e *cfvfleet.Endpoint, tokens int, objective time.Duration) bool {
	s := d.states[e.ID]
	if s == nil || now < s.unavailableUntil {
		return false
	}
	if e.Slots > 0 && s.running+s.peerLoad.Running > e.Slots {
		return true
	}
	wait := float64(s.pendingTokens+s.peerLoad.PendingTokens-tokens) / prefillTokensPerMs
	return wait > milliseconds(objective)
}

// PrefillWait returns how long an endpoint prefills prompts of this entry and its peers, without a request of
// the given number of prompt tokens.
func (d *Dispatcher) PrefillWait(id string, tokens int) time.Duration {
	s := d.states[id]
	if s == nil {
		return 0
	}
	return prefillTime(max(s.pendingTokens+s.peerLoad.PendingTokens-tokens, 0))
}

package cfventry

import (
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvreserve"
)

// Place decides whether a prompt is sent now, chooses its endpoint for the entry that asks, and records the
// grant. It is called if this entry is the placer.
func (e *Entry) Place(req cfvreserve.Request) (p cfvreserve.Placement, ok bool) {
	now := e.cfg.Now()
	index := e.index()
	if index == nil || index.Service(req.Service) == nil {
		return p, false
	}
	exclude := make(map[string]bool, len(req.Exclude))
	for _, id := range req.Exclude {
		exclude[id] = true
	}
	q := e.baseQuery(now, index.Service(req.Service), req.Candidate, &cfvcall.Prompt{Model: req.Model})
	q.PromptTokens, q.SharedTokens, q.Affinity, q.Exclude, q.Domain = req.Tokens, req.SharedTokens, req.Affinity, exclude, req.Domain
	q.ColdRequestsPerSecond = 0 // the entry that sends the request enforces its own share of the limit
	scope := newCacheScope(now, index, index.CacheScope(""))
	if req.Isolated != "" {
		scope = newCacheScope(now, index, cfvfleet.IsolatedCacheScope(req.Isolated))
	}
	e.estimateFetch(now, &q, scope, req.Parts)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ep := range q.Endpoints {
		if exclude[ep.ID] {
			e.dispatcher.RecordPeerReport(now, ep, req.Entry)
		}
	}
	sizer := e.poolSizer(req.Service)
	q.LongTokens = sizer.LongTokens()
	if req.Candidate {
		q.ShortPool, _ = sizer.CandidatePool(q.Endpoints)
	} else {
		q.ShortPool = sizer.ShortPool(q.Endpoints)
	}
	q.Restrict(cfvdispatch.EndpointsInGroup(q.Endpoints, req.Group, req.GroupCount))
	q.Grants, q.Slowness = e.grantTable, e.admission(req.Service).Slowness()
	if engine := index.Service(req.Service).Engine; engine != nil {
		q.MemoryTokens = engine.CacheTokens
	}
	q.Blocked = e.limited(now, q.Endpoints) // the entry that sends the request may not use them
	choice, reason := e.dispatcher.Choose(now, q, e.cfg.Random())
	if reason != cfvdispatch.Chosen {
		return p, false
	}
	admission := q.Admission(now, choice)
	admission.Request, admission.Objective, admission.Elapsed, admission.Patience = req.RequestID, req.Objective, req.Elapsed, req.Patience
	switch verdict, after := e.admission(req.Service).Decide(now, admission); verdict {
	case cfvdispatch.Hold:
		return cfvreserve.Placement{Hold: after}, true
	case cfvdispatch.Reject:
		return cfvreserve.Placement{RetryAfter: after}, true
	}
	if !req.Candidate { // how long a new version takes tells nothing about the links of the stores
		e.watch(now, q, choice, scope, req)
	}
	q.RecordGrant(now, req.RequestID, choice.Endpoint)
	p = cfvreserve.Placement{Endpoint: choice.Endpoint.ID}
	p.Salt, p.Transfers = e.planTransfers(now, q, choice, scope, req.Parts)
	return p, true
}

// watch records a prompt that is about to be granted. The time until its prefill is done tells how
// fast the link of the store is that its endpoint fetches from.
func (e *Entry) watch(now time.Duration, q cfvdispatch.Query, choice cfvdispatch.Choice, scope cacheScope, req cfvreserve.Request) {
	if e.cfg.Parts == nil {
		return
	}
	ep := choice.Endpoint
	p := cfvparts.WatchedPrompt{Request: req.RequestID, Prefill: q.PrefillWait(now, choice)}
	fetches := choice.CachedOn != ep && q.Fetches(ep.Domain)
	salt := cfvcall.Salt{Model: q.Model, Version: max(q.DesiredWeights, 1), Scope: scope.name}.String()
	e.cfg.Parts.Do(func(c *cfvparts.Catalog) {
		if fetches {
			f := c.EstimateFetch(now, salt, req.Parts, ep.Domain)
			p.Store, p.Fetch = f.Store, f.Configured()
		}
		c.StartWatch(now, p)
	})
}

// estimateFetch sets which of the shared parts of a prompt stores hold, and how long endpoints
// take to fetch them.
func (e *Entry) estimateFetch(now time.Duration, q *cfvdispatch.Query, scope cacheScope, parts []cfvcall.Part) {
	if len(parts) == 0 || e.cfg.Parts == nil || scope.settling {
		return
	}
	salt := cfvcall.Salt{Model: q.Model, Version: max(q.DesiredWeights, 1), Scope: scope.name}.String()
	estimates := make(map[string]cfvparts.FetchEstimate)
	estimate := func(domain string) cfvparts.FetchEstimate {
		f, ok := estimates[domain]
		if !ok {
			e.cfg.Parts.Do(func(c *cfvparts.Catalog) { f = c.EstimateFetch(now, salt, parts, domain) })
			estimates[domain] = f
		}
		return f
	}
	here := estimate(q.Domain)
	q.StoredTokens = here.Tokens
	q.Fetch = func(domain string) (wait, transfer time.Duration) {
		f := estimate(domain)
		return f.Wait, f.Transfer
	}
}

// planTransfers plans which shared parts of a prompt an endpoint fetches from stores and which it
// saves there. It returns the cache salt that the plan is for. The caller must hold e.mu.
func (e *Entry) planTransfers(now time.Duration, q cfvdispatch.Query, choice cfvdispatch.Choice, scope cacheScope, parts []cfvcall.Part) (salt string, t cfvparts.Transfers) {
	version := max(e.dispatcher.WeightsVersion(choice.Endpoint, q.Model), 1)
	salt = cfvcall.Salt{Model: q.Model, Version: version, Scope: scope.name}.String()
	current := version >= q.DesiredWeights
	if len(parts) == 0 || e.cfg.Parts == nil || !current && (q.MayFetchOldParts == nil || !q.MayFetchOldParts(choice.Endpoint.ID, version)) {
		return salt, t
	}
	r := cfvparts.TransferRequest{
		Salt: salt, Parts: parts, Domain: choice.Endpoint.Domain, Save: current, Cached: choice.CachedOn == choice.Endpoint,
		SkipFetch: scope.settling || current && !q.Fetches(choice.Endpoint.Domain), // locks the catalog, so not inside Do
	}
	e.cfg.Parts.Do(func(c *cfvparts.Catalog) { t = c.PlanTransfers(now, r) })
	return salt, t
}

// Settle records for a prompt that was placed here that its prefill is done, or that its request
// is over.
func (e *Entry) Settle(endpoint, request string, over bool) {
	if e.cfg.Parts != nil {
		e.cfg.Parts.Do(func(c *cfvparts.Catalog) { c.EndWatch(e.cfg.Now(), request, !over) })
	}
	var ep *cfvfleet.Endpoint // read before e.mu is locked: the leader locks it while it reads the state
	candidate := false
	e.cfg.State.Read(func(v *cfvfleet.View) {
		if ep = v.Endpoint(endpoint); ep != nil {
			r := v.Rollout(ep.Service)
			candidate = r != nil && r.Progress.Phase == cfvfleet.RolloutRunning && ep.SoftwareVersion == r.Target
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if over {
		e.grantTable.Release(endpoint, request)
		return
	}
	expected, took, ok := e.grantTable.PrefillDone(e.cfg.Now(), endpoint, request)
	if ok && ep != nil && !candidate { // nor about the other endpoints
		e.admission(ep.Service).RecordPrefill(expected, took)
	}
}

// reserve requests the endpoint of a prompt from the placer, and restricts the query to it. Without a
// grant the query stays as it is. If all endpoints are too busy, it returns the time after which to ask
// again, or a refusal.
func (q *request) reserve(query *cfvdispatch.Query) (hold time.Duration, refusal *httpRefusal) {
	e := q.entry
	if e.cfg.Reserve == nil || query.PromptTokens < cfvdispatch.PlacedPromptTokens || len(query.Endpoints) == 0 {
		return 0, nil
	}
	if len(query.Endpoints) == 1 && !q.candidate { // a single candidate may be too busy, while others serve the request
		return 0, nil
	}
	req := cfvreserve.Request{
		RequestID: q.meta.ID, Service: q.service.Name, Model: query.Model, Affinity: query.Affinity, Tokens: query.PromptTokens,
		SharedTokens: query.SharedTokens, Domain: query.Domain, Entry: e.cfg.Name, Parts: q.meta.Prompt.SharedParts(), Candidate: q.candidate,
	}
	if q.workspace != nil && q.cacheScope().name == cfvfleet.IsolatedCacheScope(q.workspace.Name) {
		req.Isolated = q.workspace.Name
	}
	for id := range q.excluded {
		req.Exclude = append(req.Exclude, id)
	}
	key := query.Affinity
	if key == "" {
		key = q.meta.ID
	}
	req.Group, req.GroupCount = cfvreserve.GroupOf(key, len(query.Endpoints))
	if q.stream == nil { // a stream that has started goes on at once
		req.Objective, req.Elapsed, req.Patience = q.route.LatencyObjective, e.cfg.Now()-q.start, q.patience()
	}
	grant, ok := e.cfg.Reserve(q.r.Context(), req)
	switch {
	case !ok:
		return 0, nil
	case grant.Hold > 0:
		return grant.Hold, nil
	case grant.RetryAfter > 0:
		return 0, q.overloadRefusal(grant.RetryAfter)
	}
	q.grant = &grant
	for _, ep := range query.Endpoints {
		if ep.ID == grant.Endpoint {
			query.Restrict([]*cfvfleet.Endpoint{ep})
			break
		}
	}
	return 0, nil
}

// patience returns how long after its arrival the caller waits for the first event.
func (q *request) patience() time.Duration {
	patience := q.deadline - q.start
	if q.route.Patience > 0 {
		patience = min(patience, q.route.Patience)
	}
	return patience
}

// overloadRefusal refuses a request for which no endpoint has capacity before its caller gives up. The
// returned callers come back spread over time.
func (q *request) overloadRefusal(retryAfter time.Duration) *httpRefusal {
	spread := 0.5 + q.entry.cfg.Random()
	return q.retryLater(time.Duration(float64(retryAfter)*spread), cfverror.ReasonOverloaded, "the endpoints are overloaded")
}

// settle reports to the placer of the prompt that the prefill is done, or that the request is over.
func (q *request) settle(over bool) {
	if q.grant == nil {
		return
	}
	q.entry.cfg.Settle(*q.grant, q.meta.ID, over)
	if over {
		q.grant = nil
	}
}

// baseQuery returns the inputs to the choice that do not depend on the single request. The argument candidate
// selects the endpoints that serve the share of a roll-out.
func (e *Entry) baseQuery(now time.Duration, service *cfvfleet.Service, candidate bool, p *cfvcall.Prompt) cfvdispatch.Query {
	q := cfvdispatch.Query{ColdRequestsPerSecond: service.ColdRequestsPerSecond, Model: p.Model, Domain: e.cfg.Domain}
	cold := make(map[string]time.Duration)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		q.Endpoints = v.Serving(service.Name, candidate)
		if candidate {
			q.Endpoints = warmCandidates(now, v, service.Name)
		}
		for _, ep := range q.Endpoints {
			if until := v.ColdUntil(ep.ID); until > now {
				cold[ep.ID] = until
			}
		}
		if desired := v.Desired(p.Model); p.Model != "" && desired.Version > 0 {
			q.DesiredWeights = desired.Version
			q.PreferredWeights = desired.Oldest(func(w cfvfleet.WeightsVersion) bool { return !w.Certain || now-w.Since > preferNewWeightsAfter })
			q.MayFetchOldParts = oldPartsFetchable(now, v, desired, q.Endpoints)
			q.OldestWeights = e.oldestWeights(now, desired, p.Model, q.Endpoints)
		}
	})
	q.ColdUntil = func(id string) time.Duration { return cold[id] }
	if e.cfg.LearnedCapacity {
		q.Factors = e.speeds.of(service.Name)
	}
	return q
}

// oldPartsFetchable returns a function that reports whether an endpoint may still fetch the parts of a
// replaced version of the weights. The leader frees these parts once all endpoints that it knows of run
// newer weights, so an endpoint that appeared after the change may not fetch them.
func oldPartsFetchable(now time.Duration, v *cfvfleet.View, desired cfvfleet.DesiredVersion, endpoints []*cfvfleet.Endpoint) func(id string, version int64) bool {
	if now-desired.Since > cfvparts.ReplacedWeightsFetchPeriod {
		return nil
	}
	knownSince := make(map[string]time.Duration, len(endpoints))
	for _, ep := range endpoints {
		knownSince[ep.ID] = v.KnownSince(now, ep.ID)
	}
	return func(id string, version int64) bool {
		newer, ok := desired.ReplacedBy(version)
		if !ok || !newer.Certain || now-newer.Since > cfvparts.ReplacedWeightsFetchPeriod {
			return false
		}
		since, known := knownSince[id]
		return known && since <= newer.Since
	}
}

package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvreserve"
)

// Place chooses the endpoint of a long prompt for the entry that asks, and records the grant. It is
// called if this entry is the placer.
func (e *Entry) Place(req cfvreserve.Request) (endpoint string, ok bool) {
	now := e.cfg.Now()
	index := e.index()
	if index == nil || index.Service(req.Service) == nil {
		return "", false
	}
	exclude := make(map[string]bool, len(req.Exclude))
	for _, id := range req.Exclude {
		exclude[id] = true
	}
	q := e.baseQuery(now, index.Service(req.Service), &cfvcall.Prompt{Model: req.Model})
	q.PromptTokens, q.SharedTokens, q.Affinity, q.Stored, q.Exclude, q.Domain = req.Tokens, req.SharedTokens, req.Affinity, req.Stored, exclude, req.Domain
	q.ColdRequestsPerSecond = 0 // the entry that sends the request enforces its own share of the limit
	e.mu.Lock()
	defer e.mu.Unlock()
	q.ShortPoolSize = e.poolSizer(req.Service).ShortPoolSize(len(q.Endpoints))
	q.Restrict(cfvdispatch.EndpointsInGroup(q.Endpoints, req.Group, req.GroupCount))
	q.Grants = e.grantTable
	if engine := index.Service(req.Service).Engine; engine != nil {
		q.MemoryTokens = engine.CacheTokens
	}
	choice, reason := e.dispatcher.Choose(now, q, e.cfg.Random())
	if reason != cfvdispatch.Chosen {
		return "", false
	}
	q.RecordGrant(now, req.RequestID, choice.Endpoint)
	return choice.Endpoint.ID, true
}

// Settle records for a prompt that was placed here that its prefill is done, or that its request
// is over.
func (e *Entry) Settle(endpoint, request string, over bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if over {
		e.grantTable.Release(endpoint, request)
		return
	}
	e.grantTable.PrefillDone(endpoint, request)
}

// reserve requests the endpoint of a long prompt from the placer, and restricts the query to it.
// Without a grant the query stays as it is.
func (q *request) reserve(query *cfvdispatch.Query) {
	e := q.entry
	if e.cfg.Reserve == nil || query.PromptTokens < cfvdispatch.LongPromptTokens || len(query.Endpoints) < 2 {
		return
	}
	req := cfvreserve.Request{
		RequestID: q.meta.ID, Service: q.service.Name, Model: query.Model, Affinity: query.Affinity, Tokens: query.PromptTokens,
		SharedTokens: query.SharedTokens, Stored: query.Stored, Domain: query.Domain,
	}
	for id := range q.excluded {
		req.Exclude = append(req.Exclude, id)
	}
	key := query.Affinity
	if key == "" {
		key = q.meta.ID
	}
	req.Group, req.GroupCount = cfvreserve.GroupOf(key, len(query.Endpoints))
	grant, ok := e.cfg.Reserve(q.r.Context(), req)
	if !ok {
		return
	}
	q.grant = &grant
	for _, ep := range query.Endpoints {
		if ep.ID == grant.Endpoint {
			query.Restrict([]*cfvfleet.Endpoint{ep})
			return
		}
	}
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

// baseQuery returns the inputs to the choice that do not depend on the single request.
func (e *Entry) baseQuery(now time.Duration, service *cfvfleet.Service, p *cfvcall.Prompt) cfvdispatch.Query {
	q := cfvdispatch.Query{ColdRequestsPerSecond: service.ColdRequestsPerSecond, Model: p.Model, Domain: e.cfg.Domain}
	cold := make(map[string]time.Duration)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		q.Endpoints = v.Usable(service.Name)
		for _, ep := range q.Endpoints {
			cold[ep.ID] = v.ColdUntil(ep.ID)
		}
		if desired := v.Desired(p.Model); p.Model != "" && desired.Version > 0 {
			q.DesiredWeights = desired.Version
			q.PreferNewWeights = now-desired.Since > preferNewWeightsAfter
			q.MayFetchOldParts = oldPartsFetchable(now, v, desired, q.Endpoints)
			q.RefuseOldWeights = e.cfg.Limits.MaxVersionDelay > 0 && now-desired.Since > time.Duration(refuseOldWeightsShare*float64(e.cfg.Limits.MaxVersionDelay))
		}
	})
	q.ColdUntil = func(id string) time.Duration { return cold[id] }
	if engine := service.Engine; engine != nil && engine.LinkMbps > 0 {
		q.FetchMsPerToken = float64(engine.TokenBytes) * bitsPerByte / (engine.LinkMbps * bitsPerMsPerMbps)
	}
	return q
}

// oldPartsFetchable returns a function that reports whether an endpoint may still fetch parts of
// replaced weights. The leader frees these parts once all endpoints that it knows of run the new
// weights, so an endpoint that appeared after the change may not fetch them.
func oldPartsFetchable(now time.Duration, v *cfvfleet.View, desired cfvfleet.DesiredVersion, endpoints []*cfvfleet.Endpoint) func(id string) bool {
	if now-desired.Since > cfvparts.ReplacedWeightsFetchPeriod {
		return nil
	}
	knownBefore := make(map[string]bool, len(endpoints))
	for _, ep := range endpoints {
		knownBefore[ep.ID] = v.KnownSince(now, ep.ID) <= desired.Since
	}
	return func(id string) bool { return knownBefore[id] }
}

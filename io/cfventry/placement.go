package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvreserve"
)

// Place chooses an endpoint for a long prompt of any entry.
func (e *Entry) Place(a cfvreserve.Request) (endpoint string, ok bool) {
	now := e.cfg.Now()
	x := e.index()
	if x == nil || x.Service(a.Service) == nil {
		return "", false
	}
	exclude := make(map[string]bool, len(a.Exclude))
	for _, id := range a.Exclude {
		exclude[id] = true
	}
	q := e.query(now, x.Service(a.Service), &cfvcall.Prompt{Model: a.Model})
	q.PromptTokens, q.SharedTokens, q.Affinity, q.Stored, q.Exclude, q.Domain = a.Tokens, a.SharedTokens, a.Affinity, a.Stored, exclude, a.Domain
	q.ColdRequestsPerSecond = 0 // the entry that sends keeps to its share
	e.mu.Lock()
	defer e.mu.Unlock()
	q.ShortPoolSize = e.lanesOf(a.Service).ShortPoolSize(len(q.Endpoints))
	q.Restrict(cfvdispatch.EndpointsInGroup(q.Endpoints, a.Group, a.GroupCount))
	q.Grants = e.ledger
	if eng := x.Service(a.Service).Engine; eng != nil {
		q.MemoryTokens = eng.CacheTokens
	}
	c, why := e.dispatcher.Choose(now, q, e.cfg.Random())
	if why != cfvdispatch.Chosen {
		return "", false
	}
	q.RecordGrant(now, a.RequestID, c.Endpoint)
	return c.Endpoint.ID, true
}

// Settled notes that a prompt that was placed here has been read, or that its request is
// over.
func (e *Entry) Settle(endpoint, request string, over bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if over {
		e.ledger.Release(endpoint, request)
		return
	}
	e.ledger.PrefillDone(endpoint, request)
}

// reserve asks for the endpoint of a long prompt, and narrows the choice to it.
func (q *request) reserve(query *cfvdispatch.Query) {
	e := q.entry
	if e.cfg.Reserve == nil || query.PromptTokens < cfvdispatch.LongPromptTokens || len(query.Endpoints) < 2 {
		return
	}
	ask := cfvreserve.Request{
		RequestID: q.call.ID, Service: q.service.Name, Model: query.Model, Affinity: query.Affinity, Tokens: query.PromptTokens,
		SharedTokens: query.SharedTokens, Stored: query.Stored, Domain: query.Domain,
	}
	for id := range q.rejected {
		ask.Exclude = append(ask.Exclude, id)
	}
	key := query.Affinity
	if key == "" {
		key = q.call.ID
	}
	ask.Group, ask.GroupCount = cfvreserve.GroupOf(key, len(query.Endpoints))
	g, ok := e.cfg.Reserve(q.r.Context(), ask)
	if !ok {
		return
	}
	q.grant = &g
	for _, ep := range query.Endpoints {
		if ep.ID == g.Endpoint {
			query.Restrict([]*cfvfleet.Endpoint{ep})
			return
		}
	}
}

// settle tells the entry that placed the prompt that it has been read, or that the request
// is over.
func (q *request) settle(over bool) {
	if q.grant == nil {
		return
	}
	q.entry.cfg.Settle(*q.grant, q.call.ID, over)
	if over {
		q.grant = nil
	}
}

// query collects what a choice depends on beside the request.
func (e *Entry) query(now time.Duration, service *cfvfleet.Service, p *cfvcall.Prompt) cfvdispatch.Query {
	q := cfvdispatch.Query{ColdRequestsPerSecond: service.ColdRequestsPerSecond, Model: p.Model, Domain: e.cfg.Domain}
	cold := make(map[string]time.Duration)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		q.Endpoints = v.Usable(service.Name)
		for _, ep := range q.Endpoints {
			cold[ep.ID] = v.ColdUntil(ep.ID)
		}
		if w := v.Desired(p.Model); p.Model != "" && w.Version > 0 {
			q.DesiredWeights = w.Version
			q.PreferNewWeights = now-w.Since > oldWeightsIn
			q.MayFetchOldParts = oldParts(now, v, w, q.Endpoints)
			q.RefuseOldWeights = e.cfg.Limits.MaxVersionDelay > 0 && now-w.Since > time.Duration(oldWeightsEnd*float64(e.cfg.Limits.MaxVersionDelay))
		}
	})
	q.ColdUntil = func(id string) time.Duration { return cold[id] }
	if eng := service.Engine; eng != nil && eng.LinkMbps > 0 {
		q.FetchMsPerToken = float64(eng.TokenBytes) * bitsPerByte / (eng.LinkMbps * bitsPerMsOfMbps)
	}
	return q
}

// oldParts returns at which endpoints parts of replaced weights may still be fetched. The
// holder of the duty frees them once all endpoints that it knows run the new weights, so an
// endpoint that came later does not count.
func oldParts(now time.Duration, v *cfvfleet.View, w cfvfleet.DesiredVersion, endpoints []*cfvfleet.Endpoint) func(id string) bool {
	if now-w.Since > cfvparts.ReplacedWeightsFetchPeriod {
		return nil
	}
	before := make(map[string]bool, len(endpoints))
	for _, ep := range endpoints {
		before[ep.ID] = v.KnownSince(now, ep.ID) <= w.Since
	}
	return func(id string) bool { return before[id] }
}

package cfventry

import (
	"strings"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// choose chooses the endpoint of the next attempt and the options that are sent to it. A request that no
// candidate of a roll-out can take goes on at the stable endpoints.
func (q *request) choose() (choice cfvdispatch.Choice, opts cfvcall.ForwardOptions, refusal *httpRefusal) {
	choice, opts, refusal = q.chooseEndpoint()
	if refusal == nil || !q.candidate {
		return choice, opts, refusal
	}
	q.leaveCandidate("rollout.noCandidate")
	return q.chooseEndpoint()
}

// chooseEndpoint does the same among the stable endpoints or among the candidates. If a long prompt cannot
// go to the endpoint that the placer chose, all of these are considered.
func (q *request) chooseEndpoint() (choice cfvdispatch.Choice, opts cfvcall.ForwardOptions, refusal *httpRefusal) {
	e := q.entry
	query, restricted, refusal := q.awaitPlacement()
	if refusal != nil {
		return choice, opts, refusal
	}
	now := e.cfg.Now()
	rollout := e.rollout(q.service.Name)
	q.scope = q.cacheScope() // reads the state, so not under the entry's lock
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := q.partRefusalLocked(); refusal != nil { // a part may have been blocked while the request was held
		return choice, opts, refusal
	}
	query.Blocked = e.blocked(now, query.Endpoints, q.excluded)
	query.IgnoreLoads = e.notices.AnyBrittle(query.Endpoints)
	restricted.Blocked, restricted.IgnoreLoads = query.Blocked, query.IgnoreLoads
	choice, reason := e.dispatcher.Choose(now, restricted, e.cfg.Random())
	if reason != cfvdispatch.Chosen && q.grant != nil {
		choice, reason = e.dispatcher.Choose(now, query, e.cfg.Random())
	}
	if reason == cfvdispatch.AllBlocked {
		return choice, opts, q.noticeRefusal(now, query.Endpoints)
	}
	if reason != cfvdispatch.Chosen {
		return choice, opts, q.noEndpointRefusal(reason, len(query.Endpoints))
	}
	if q.candidate && (e.dispatcher.Unavailable(now, choice.Endpoint.ID) || q.tooBusy(choice.Endpoint)) {
		return choice, opts, q.noEndpointRefusal(cfvdispatch.AllAtEntryLimit, len(query.Endpoints))
	}
	if !q.takeExposure(now, rollout, choice.Endpoint) {
		if q.candidate {
			return choice, opts, q.noEndpointRefusal(cfvdispatch.AllAtEntryLimit, len(query.Endpoints))
		}
		query.Restrict(rollout.OtherVersions(query.Endpoints))
		if choice, reason = e.dispatcher.Choose(now, query, e.cfg.Random()); reason != cfvdispatch.Chosen {
			return choice, opts, q.exposureRefusal(now, rollout)
		}
	}
	q.mixed = q.sharesWithLongPrompts(query, choice)
	opts = q.forwardOptions(now, query, choice)
	e.notices.Take(now, choice.Endpoint.Incarnation())
	q.seen = e.dispatcher.TotalLoad(choice.Endpoint.ID)
	e.dispatcher.Start(now, choice.Endpoint, q.promptTokens())
	q.logPlacement(choice, opts, query)
	return choice, opts, nil
}

// awaitPlacement returns the inputs to the choice of an endpoint, and the same restricted to the endpoint
// that the placer chose. While all endpoints are too busy, it holds the request.
func (q *request) awaitPlacement() (query, restricted cfvdispatch.Query, refusal *httpRefusal) {
	e := q.entry
	for {
		query = q.dispatchQuery(e.cfg.Now())
		restricted = query
		hold, refusal := q.reserve(&restricted)
		if q.candidate && hold > 0 {
			q.leaveCandidate("rollout.candidatesBusy")
			continue
		}
		if hold == 0 || refusal != nil {
			return query, restricted, refusal
		}
		e.cfg.Metrics.Count("placement.held", 1)
		if !q.held {
			q.held = true
			e.cfg.Log.Infow("a request is held, since the endpoints are busy", q.logFields("tokens", query.PromptTokens, "askAgainMillis", hold.Milliseconds())...)
		}
		cfvclock.Sleep(q.r.Context(), hold)
		if refusal = q.checkHeld(); refusal != nil {
			return query, restricted, refusal
		}
	}
}

// checkHeld returns a refusal if a request that was held may no longer be sent: its caller left, its time
// is over, or its API key may have been removed meanwhile.
func (q *request) checkHeld() *httpRefusal {
	e := q.entry
	switch {
	case q.callerGone():
		return &httpRefusal{refusal: cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")}
	case q.stopRefusal() != nil:
		return q.stopRefusal()
	case q.timeLeft() < minTimeLeft:
		return q.retryLater(defaultRetryAfter, cfverror.ReasonOverloaded, "the endpoints are overloaded, and the time limit is reached")
	case q.workspace == nil:
		return nil
	}
	age, fresh := e.stateFresh()
	q.stateAge = age
	if index := e.index(); !fresh || index.Workspace(q.meta.APIKey) == nil {
		return q.retryLater(otherEntryRetryAfter, cfverror.ReasonSettings, "the key may have been removed while the request was held")
	}
	return nil
}

// logPlacement logs the chosen endpoint and what the choice was based on.
func (q *request) logPlacement(choice cfvdispatch.Choice, opts cfvcall.ForwardOptions, query cfvdispatch.Query) {
	e := q.entry
	if !e.cfg.Log.DebugEnabled() {
		return
	}
	cachedOn := ""
	if choice.CachedOn != nil {
		cachedOn = choice.CachedOn.ID
	}
	load := e.dispatcher.LocalLoad(choice.Endpoint.ID)
	e.cfg.Log.Debugw("a request was placed", q.logFields("endpoint", choice.Endpoint.ID, "primary", cachedOn, "candidates", len(query.Endpoints),
		"running", load.Running, "tokens", query.PromptTokens, "sharedTokens", query.SharedTokens, "storedTokens", query.StoredTokens,
		"fetch", strings.Join(opts.FetchFrom, ","), "save", strings.Join(opts.SaveTo, ","), "weights", opts.WeightVersion, "desiredWeights", query.DesiredWeights, "affinity", query.Affinity)...)
}

// promptTokens returns the tokens that the request adds to the prefill queue of an endpoint.
func (q *request) promptTokens() int { return q.meta.Prompt.Tokens }

// noEndpointRefusal returns the refusal of a request for which no endpoint was found among the
// known ones. It aborts a stream that has started.
func (q *request) noEndpointRefusal(reason cfvdispatch.Reason, candidates int) *httpRefusal {
	refusalReason, retryAfter := cfverror.ReasonNoEndpoint, defaultRetryAfter
	switch reason {
	case cfvdispatch.AllAtColdLimit:
		refusalReason = cfverror.ReasonEndpointsCold
	case cfvdispatch.AllAtEntryLimit:
		refusalReason = cfverror.ReasonEndpointsFull
	case cfvdispatch.AllOnOldWeights:
		refusalReason = cfverror.ReasonVersionMissing
	}
	if q.stream.hasStarted() {
		q.abortStream("no endpoint to go on at: " + string(refusalReason))
	}
	return q.retryLater(retryAfter, refusalReason, "none of %d endpoints can take the request", candidates)
}

// dispatchQuery returns the inputs to the choice of an endpoint.
func (q *request) dispatchQuery(now time.Duration) cfvdispatch.Query {
	e := q.entry
	if !e.entriesKnown.Load() {
		e.updateEntries()
	}
	p := &q.meta.Prompt
	query := e.baseQuery(now, q.service, q.usesCandidate(), p)
	query.PromptTokens, query.SharedTokens, query.Affinity, query.Exclude = p.Tokens, p.SharedTokens(), p.AffinityKey(), q.excluded
	if q.service.Engine != nil && p.Tokens > 0 {
		query.ShortPool, query.LongTokens = e.shortPool(now, q, query.Endpoints)
	}
	e.estimateFetch(now, &query, q.cacheScope(), p.SharedParts())
	q.setFactors(&query)
	return query
}

// shortPool returns the endpoints of the short-prompt pool, and the length from which a prompt is long. It
// counts the request in the demand once.
func (e *Entry) shortPool(now time.Duration, q *request, endpoints []*cfvfleet.Endpoint) (pool map[string]bool, longTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sizer := e.poolSizer(q.service.Name)
	if !q.counted {
		q.counted = true
		sizer.RecordRequest(now, q.route.Name, q.meta.Prompt.Tokens, q.service.Engine.Slots)
	}
	if q.candidate {
		pool, q.pools = sizer.CandidatePool(endpoints)
	} else {
		pool = sizer.ShortPool(endpoints)
		q.pools = pool != nil
	}
	return pool, sizer.LongTokens()
}

// forwardOptions returns the options that are sent to the endpoint with the request. The caller
// must hold the entry's lock.
func (q *request) forwardOptions(now time.Duration, query cfvdispatch.Query, choice cfvdispatch.Choice) cfvcall.ForwardOptions {
	e := q.entry
	opts := cfvcall.ForwardOptions{Endpoint: choice.Endpoint.ID, TimeLeft: q.timeLeft(), ResumeAfter: q.resumeAfter()}
	if q.meta.Timeout == 0 && q.route.Timeout == 0 {
		opts.TimeLeft = 0
	}
	if q.workspace != nil {
		opts.Workspace = q.workspace.Name
	}
	p := &q.meta.Prompt
	if p.Model == "" {
		return opts
	}
	opts.Priority, opts.HasPriority = q.priority(), true
	opts.WeightVersion = max(e.dispatcher.WeightsVersion(choice.Endpoint, p.Model), 1)
	opts.Salt = cfvcall.Salt{Model: p.Model, Version: opts.WeightVersion, Scope: q.scope.name}.String()
	var t cfvparts.Transfers
	if g := q.grant; g != nil && g.Endpoint == choice.Endpoint.ID && g.Salt == opts.Salt && !q.scope.settling {
		t = g.Transfers
	} else {
		_, t = e.planTransfers(now, query, choice, q.scope, p.SharedParts())
	}
	if len(t.Fetch)+len(t.Save) == 0 {
		return opts
	}
	opts.FetchUntilMillis = t.FetchDeadlineMillis
	opts.FetchFrom, opts.SaveTo = append(t.Fetch, ""), append(t.Save, "") // the last part of the prompt is not shared
	return opts
}

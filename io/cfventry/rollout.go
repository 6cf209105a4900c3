package cfventry

import (
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvrollout"
)

// Limits of roll-outs.
const (
	maxRolloutStateAge   = 3500 * time.Millisecond // an older state may lack the rollback; an entry in touch with the store or a relay has a newer one
	maxCandidateWaitPart = 2                       // of the latency objective that a request may wait for the prefills at a candidate
	minPacedBatches      = 4                       // batches of events from which their pace is measured
)

// pickVersion decides whether the request goes to the software version that is rolled out, once for all
// attempts.
func (q *request) pickVersion() {
	e := q.entry
	r, share := e.candidateShare(q.service.Name)
	if share <= 0 || !e.hasWarmCandidate(q.service.Name) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q.candidate = e.exposure.Due(r, e.seat, share, e.cfg.Random())
}

// takeExposure reports whether the request may be sent to an endpoint, as far as the exposure of its software version
// is bounded. The caller must hold the entry's lock.
func (q *request) takeExposure(now time.Duration, r *cfvfleet.Rollout, ep *cfvfleet.Endpoint) bool {
	if r == nil || ep.SoftwareVersion != r.Target || q.entry.exposure.Take(now, r, q.entry.seat) {
		return true
	}
	q.entry.cfg.Metrics.Count("rollout.exposureSpent", 1)
	return false
}

// recordArrival counts a request that has reached an endpoint since the order of a roll-out.
func (q *request) recordArrival() {
	e := q.entry
	r := e.rollout(q.service.Name)
	if r == nil || q.times.sentAt < r.LearnedAt {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exposure.CountArrival(r, e.seat)
}

// exposureRefusal refuses a request that only the new version of a completed roll-out could serve. Its exposure is
// bounded until the deadline of the roll-out.
func (q *request) exposureRefusal(now time.Duration, r *cfvfleet.Rollout) *httpRefusal {
	if q.stream.hasStarted() {
		q.abortStream("no endpoint to go on at: " + string(cfverror.ReasonExposureSpent))
	}
	return q.retryLater(max(r.Duration-r.Elapsed(now), 0), cfverror.ReasonExposureSpent, "version %s gets no more requests until its roll-out's deadline", r.Target)
}

// usesCandidate reports whether the next attempt goes to a candidate. Only the first attempt does, and only
// if the roll-out still allows it.
func (q *request) usesCandidate() bool {
	q.candidate = q.candidate && q.attempts == 0 && q.entry.mayUseCandidates(q.service.Name)
	return q.candidate
}

// leaveCandidate sends a request that no candidate can take to the stable endpoints.
func (q *request) leaveCandidate(counter string) {
	q.candidate = false
	q.settle(true)
	q.entry.cfg.Metrics.Count(counter, 1)
}

// tooBusy reports whether a candidate has so many prompts to prefill that the request is served sooner by a
// stable endpoint. The caches of candidates are empty, so they do more work for the same share. The caller must
// hold the entry's lock.
func (q *request) tooBusy(ep *cfvfleet.Endpoint) bool {
	objective := q.route.LatencyObjective
	return objective > 0 && q.meta.Prompt.Tokens > 0 && q.entry.dispatcher.PrefillWait(ep.ID, 0) > objective/maxCandidateWaitPart
}

// rollout returns the newest roll-out of a service; nil if there is none.
func (e *Entry) rollout(service string) (r *cfvfleet.Rollout) {
	e.cfg.State.Read(func(v *cfvfleet.View) { r = v.Rollout(service) })
	return r
}

// warmCandidates returns the candidates of a service's roll-out whose responses tell about their version. Before the
// target gets all requests, the others get none: a slow version could not be told from a cold one.
func warmCandidates(now time.Duration, v *cfvfleet.View, service string) []*cfvfleet.Endpoint {
	r := v.Rollout(service)
	if r == nil || r.Progress.Share >= 1 {
		return v.Serving(service, true)
	}
	return r.Candidates(v.Usable(service), func(ep *cfvfleet.Endpoint) bool { return isWarm(now, v, ep) })
}

// hasWarmCandidate reports whether a candidate of a service's roll-out may get requests.
func (e *Entry) hasWarmCandidate(service string) (ok bool) {
	now := e.cfg.Now()
	e.cfg.State.Read(func(v *cfvfleet.View) { ok = len(warmCandidates(now, v, service)) > 0 })
	return ok
}

// isWarm reports whether an endpoint has served for a while, so that its times tell about its version.
func isWarm(now time.Duration, v *cfvfleet.View, ep *cfvfleet.Endpoint) bool {
	return now-v.KnownSince(now, ep.ID) >= cfvrollout.WarmUpTime && v.ColdUntil(ep.ID) <= now
}

// mayUseCandidates reports whether requests may go to the candidates of a service's roll-out.
func (e *Entry) mayUseCandidates(service string) bool {
	_, share := e.candidateShare(service)
	return share > 0
}

// candidateShare returns the roll-out of a service, and the share of the requests that goes to its candidates.
func (e *Entry) candidateShare(service string) (r *cfvfleet.Rollout, share float64) {
	r = e.rollout(service)
	if r == nil || r.Progress.Phase != cfvfleet.RolloutRunning || r.Progress.Share <= 0 {
		return r, 0
	}
	if age, known := e.cfg.State.Age(); !known || age >= maxRolloutStateAge {
		e.cfg.Metrics.Count("rollout.stateOutdated", 1)
		return r, 0
	}
	if e.cfg.EvidenceCurrent != nil && !e.cfg.EvidenceCurrent() {
		e.cfg.Metrics.Count("rollout.evidenceUnreported", 1)
		return r, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rollouts.Rejected(service, r.Revision) || e.rollouts.Rejected(service, r.Formerly) {
		e.cfg.Metrics.Count("rollout.rejectedHere", 1)
		return r, 0
	}
	return r, r.Progress.Share
}

// attemptTimes are the times of an attempt at an endpoint.
type attemptTimes struct {
	work        int           // size of what the endpoint does until it answers
	behind      time.Duration // for which prompts of others are prefilled there
	mixed       bool          // the endpoint serves long prompts, this one is short
	startedAt   time.Duration // when the endpoint was chosen
	sentAt      time.Duration // when the attempt got a connection to the endpoint
	connectedAt time.Duration // when that connection was opened
	firstAt     time.Duration // when the first events arrived; 0: not yet
	lastAt      time.Duration // when the last events arrived
	pace        time.Duration // shortest time between two batches of events
	bytes       int           // of the events
	batches     int           // of events that arrived together

	seen         cfvdispatch.Load // at the endpoint when it was chosen
	cold         bool             // the endpoint was cold or may have been
	incomparable bool             // the response is an error, or its time depends on the caller
}

// startTimes starts to measure an attempt.
func (q *request) startTimes(choice cfvdispatch.Choice) {
	work := int(q.body.length())
	if p := &q.meta.Prompt; p.Tokens > 0 {
		work = p.Tokens
		if choice.CachedOn == choice.Endpoint {
			work -= p.SharedTokens()
		}
	}
	now := q.entry.cfg.Now()
	q.times = attemptTimes{work: work, mixed: q.mixed, startedAt: now, sentAt: now, seen: q.seen, cold: choice.Cold}
	q.recordPrefills(choice.Endpoint)
}

// sharesWithLongPrompts reports whether a short prompt goes to an endpoint that serves long ones besides. Where
// there are pools, most don't.
func (q *request) sharesWithLongPrompts(query cfvdispatch.Query, choice cfvdispatch.Choice) bool {
	return q.pools && !query.IsLong() && !query.ShortPool[choice.Endpoint.ID]
}

// recordPrefills records how long the endpoint is expected to prefill prompts of others, as far as is known here.
func (q *request) recordPrefills(ep *cfvfleet.Endpoint) {
	if q.meta.Prompt.Tokens == 0 {
		return
	}
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	q.times.behind = max(q.times.behind, e.dispatcher.PrefillWait(ep.ID, q.promptTokens()))
}

// recordEvents records that events of a stream arrived.
func (q *request) recordEvents(ep *cfvfleet.Endpoint, bytes int) {
	t := &q.times
	now := q.entry.cfg.Now()
	switch t.batches {
	case 0:
		t.firstAt = now
		q.recordPrefills(ep)
		q.recordSpeed(ep, now-t.sentAt, false)
	case 1:
		t.pace = now - t.lastAt
	default:
		t.pace = min(t.pace, now-t.lastAt)
	}
	t.lastAt = now
	t.bytes += bytes
	t.batches++
}

// recordSample counts the outcome of the attempt for the roll-out of the service.
func (q *request) recordSample(ep *cfvfleet.Endpoint, failed bool) {
	e, t := q.entry, &q.times
	if t.firstAt == 0 {
		q.recordPrefills(ep)
	}
	now := e.cfg.Now()
	s := cfvrollout.Sample{Service: q.service.Name, Route: q.route.Name, Version: ep.SoftwareVersion, Failed: failed, Work: t.work, Mixed: t.mixed, Behind: t.behind, First: now - t.sentAt}
	if t.firstAt > 0 {
		s.First = t.firstAt - t.sentAt
	} else {
		q.recordSpeed(ep, s.First, failed)
	}
	if t.batches >= minPacedBatches {
		s.Pace, s.Event = t.pace, t.bytes/t.batches
	}
	var r *cfvfleet.Rollout
	e.cfg.State.Read(func(v *cfvfleet.View) {
		r = v.Rollout(s.Service)
		s.Warm = isWarm(now, v, ep)
	})
	e.mu.Lock()
	cause := e.rollouts.Record(r, s)
	e.mu.Unlock()
	if cause == "" {
		return
	}
	e.cfg.Metrics.Count("rollout.rejected", 1)
	e.cfg.Log.Warnw("the version that is rolled out is worse, and gets no more requests from here", "service", r.Service, "target", r.Target, "order", r.Revision, "cause", cause)
}

// RolloutEvidence returns the evidence about the roll-outs that are running.
func (e *Entry) RolloutEvidence() []cfvrollout.Evidence {
	var rollouts []*cfvfleet.Rollout
	e.cfg.State.Read(func(v *cfvfleet.View) { rollouts = v.Rollouts() })
	if len(rollouts) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rollouts.Evidence(rollouts)
}

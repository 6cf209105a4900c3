package cfventry

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
)

// probeTimeout limits a health probe.
const probeTimeout = 1 * time.Second

// markUnavailable makes the dispatcher avoid an endpoint whose connection failed, and schedules a
// health probe after the backoff.
func (e *Entry) markUnavailable(ep *cfvfleet.Endpoint, service *cfvfleet.Service) {
	if e.CutOff() {
		return // the links failed, and other entries may reach the endpoint
	}
	now := e.cfg.Now()
	e.mu.Lock()
	alreadyUnavailable := e.dispatcher.Unavailable(now, ep.ID)
	retryAt := e.dispatcher.RecordConnectionFailure(now, ep)
	e.confirmDoubtfulEnds(ep)
	e.mu.Unlock()
	if alreadyUnavailable {
		return
	}
	e.connPools.closeIdle(ep.ID)
	e.cfg.Log.Infow("an endpoint is marked unavailable", "endpoint", ep.ID, "service", service.Name, "forMillis", (retryAt - now).Milliseconds())
	e.startProbes(ep, service, retryAt-now)
}

// suspectRestart handles the end of a connection to an endpoint that was not in use. The endpoint's process may have ended and
// started again, which its next health response tells. This does not make the endpoint unavailable, since an endpoint may close
// connections for reasons of its own.
func (e *Entry) suspectRestart(id cfvfleet.Incarnation) {
	var ep *cfvfleet.Endpoint
	var service *cfvfleet.Service
	e.cfg.State.Read(func(v *cfvfleet.View) {
		if ep = v.Endpoint(id.ID); ep != nil && v.Index() != nil {
			service = v.Index().Service(ep.Service)
		}
	})
	if service == nil || ep.Incarnation() != id || ep.Leaving || service.ColdRequestsPerSecond <= 0 || e.stopping.Load() {
		return
	}
	e.cfg.Metrics.Count("endpoints.restartsSuspected", 1)
	e.mu.Lock()
	e.dispatcher.SuspectRestart(e.cfg.Now(), ep)
	e.mu.Unlock()
	e.startProbes(ep, service, time.Duration(e.cfg.Random()*float64(maxProbeJitter)))
}

// Times between the health probes of an endpoint.
const (
	maxProbeJitter   = 50 * time.Millisecond // all entries notice at the same time that an endpoint has ended
	minProbeInterval = 250 * time.Millisecond
	doubtInterval    = 1 * time.Second // while the endpoint is available, and only not known to be warm; doubled with each probe
	maxDoubtInterval = 4 * time.Second
)

// startProbes probes the health of an endpoint after a delay, and again until it is available and known to be warm, or gone.
func (e *Entry) startProbes(ep *cfvfleet.Endpoint, service *cfvfleet.Service, delay time.Duration) {
	if service.HealthPath == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if id := ep.Incarnation(); !e.probed[id] {
		e.probed[id] = true
		time.AfterFunc(delay, func() { e.probe(ep, service, doubtInterval) })
	}
}

// probe probes an endpoint once and schedules the next probe. The interval is that after a probe that leaves the endpoint in doubt.
func (e *Entry) probe(ep *cfvfleet.Endpoint, service *cfvfleet.Service, interval time.Duration) {
	var current *cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { current = v.Endpoint(ep.ID) })
	gone := current == nil || current.Incarnation() != ep.Incarnation() || current.Leaving || e.stopping.Load()
	if !gone {
		e.probeOnce(ep, service)
	}
	now := e.cfg.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	wait, unavailable := e.dispatcher.UnavailableFor(now, ep.ID)
	inDoubt := service.ColdRequestsPerSecond > 0 && e.dispatcher.MayBeCold(now, ep.ID)
	switch {
	case gone || !unavailable && !inDoubt:
		delete(e.probed, ep.Incarnation())
	case unavailable:
		time.AfterFunc(max(wait, minProbeInterval), func() { e.probe(ep, service, doubtInterval) })
	case e.CutOff():
		time.AfterFunc(minProbeInterval, func() { e.probe(ep, service, doubtInterval) }) // nothing was sent
	default:
		time.AfterFunc(interval, func() { e.probe(ep, service, min(2*interval, maxDoubtInterval)) })
	}
}

// probeOnce sends one health probe, unless the endpoint wants none, and records its result.
func (e *Entry) probeOnce(ep *cfvfleet.Endpoint, service *cfvfleet.Service) {
	if e.CutOff() {
		return
	}
	sentAt := e.cfg.Now()
	e.mu.Lock()
	mayProbe := e.brittleWait(sentAt, ep, e.cfg.Random) == 0 && e.notices.Take(sentAt, ep.Incarnation())
	unavailable := e.dispatcher.Failing(ep.ID)
	e.mu.Unlock()
	if !mayProbe {
		e.cfg.Metrics.Count("endpoints.probesSkipped", 1) // a probe counts as a request
		return
	}
	healthy, coldFor, err := e.checkHealth(ep, service)
	now := e.cfg.Now()
	if err != nil && e.CutOff() {
		return
	}
	e.mu.Lock()
	// An endpoint in doubt that only takes long, or says that it is full, stays available.
	if healthy || unavailable || errors.Is(err, syscall.ECONNREFUSED) {
		e.dispatcher.RecordHealthCheck(now, sentAt, ep, healthy, coldFor)
	}
	e.mu.Unlock()
	fields := []any{"endpoint", ep.ID, "service", service.Name, "healthy", healthy, "coldMillis", coldFor.Milliseconds(), "wasUnavailable", unavailable}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	e.cfg.Log.Infow("an endpoint was probed", fields...)
}

// maxColdWait is how long an attempt at a cold endpoint may wait for a connection. After a longer wait, those that were chosen in
// different seconds would arrive in one.
const maxColdWait = 250 * time.Millisecond

// becameCold reports whether an attempt that had to wait for a connection may not be sent any more, because its endpoint is cold
// or may be, and the attempt was not chosen lately for a cold one.
func (q *request) becameCold(choice cfvdispatch.Choice) bool {
	e, ep := q.entry, choice.Endpoint
	now := e.cfg.Now()
	if choice.Cold && now-q.times.startedAt < maxColdWait || q.service.ColdRequestsPerSecond <= 0 {
		return false
	}
	var announced time.Duration
	e.cfg.State.Read(func(v *cfvfleet.View) { announced = v.ColdUntil(ep.ID) })
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Cold(now, ep.ID, announced)
}

// handleBecameCold handles an attempt that was not sent because its endpoint became cold while it waited. Nothing was sent, so it
// is no attempt, and the endpoint is chosen again if it takes the request.
func (q *request) handleBecameCold(ep *cfvfleet.Endpoint) outcome {
	q.entry.cfg.Metrics.Count("attempts.coldMeanwhile", 1)
	q.logAttempt(ep, "an endpoint became cold while a request waited for a connection")
	q.attempts--
	return outcomeNotRun
}

// checkHealth sends one health probe. An endpoint at the same address with another ID is not
// healthy.
func (e *Entry) checkHealth(ep *cfvfleet.Endpoint, service *cfvfleet.Service) (healthy bool, coldFor time.Duration, err error) {
	e.cfg.Metrics.Count("endpoints.probes", 1)
	req, err := http.NewRequest(http.MethodGet, "http://"+ep.Addr+service.HealthPath, nil)
	if err != nil {
		return false, 0, err
	}
	resp, err := e.probeClient.Do(req)
	if err != nil {
		return false, 0, err
	}
	defer resp.Body.Close()
	id, healthy, coldFor := e.cfg.Codec.ReadHealth(resp.StatusCode, resp.Header)
	return healthy && (id == "" || id == ep.ID), coldFor, nil
}

// hasRetryBudget reports whether the budget of a service allows a retry, without taking it.
func (e *Entry) hasRetryBudget(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).CanRetry(e.cfg.Now())
}

package cfventry

import (
	"net/http"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// probeTimeout bounds a question for an endpoint's health.
const probeTimeout = 1 * time.Second

// suspect spares an endpoint whose connection broke, and asks for its health after a pause.
func (e *Entry) suspect(ep *cfvfleet.Endpoint, service *cfvfleet.Service) {
	now := e.cfg.Now()
	e.mu.Lock()
	known := e.dispatcher.Unavailable(now, ep.ID)
	ask := e.dispatcher.RecordConnectionFailure(now, ep)
	e.mu.Unlock()
	if known {
		return
	}
	e.upstreams.drop(ep.ID)
	e.cfg.Log.Infow("an endpoint is spared", "endpoint", ep.ID, "service", service.Name, "forMillis", (ask - now).Milliseconds())
	if service.HealthPath != "" {
		time.AfterFunc(ask-now, func() { e.probe(ep, service) })
	}
}

// probe asks an endpoint for its health until it answers or is gone.
func (e *Entry) probe(ep *cfvfleet.Endpoint, service *cfvfleet.Service) {
	var current *cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { current = v.Endpoint(ep.ID) })
	if current == nil || current.Incarnation() != ep.Incarnation() || current.Leaving || e.stopping.Load() {
		return
	}
	healthy, coldFor, err := e.health(ep, service)
	now := e.cfg.Now()
	e.mu.Lock()
	if !e.dispatcher.Unavailable(now, ep.ID) && healthy {
		e.dispatcher.RecordHealthCheck(now, ep, true, coldFor)
		e.mu.Unlock()
		return
	}
	e.dispatcher.RecordHealthCheck(now, ep, healthy, coldFor)
	ask := now
	if !healthy {
		ask = e.dispatcher.RecordConnectionFailure(now, ep)
	}
	e.mu.Unlock()
	pairs := []any{"endpoint", ep.ID, "service", service.Name, "healthy", healthy, "coldMillis", coldFor.Milliseconds()}
	if err != nil {
		pairs = append(pairs, "error", err.Error())
	}
	e.cfg.Log.Infow("an endpoint was asked for its health", pairs...)
	if !healthy {
		time.AfterFunc(max(ask-now, firstProbePause), func() { e.probe(ep, service) })
	}
}

// firstProbePause is the least pause between two questions.
const firstProbePause = 250 * time.Millisecond

func (e *Entry) health(ep *cfvfleet.Endpoint, service *cfvfleet.Service) (healthy bool, coldFor time.Duration, err error) {
	e.cfg.Metrics.Count("endpoints.probes", 1)
	req, err := http.NewRequest(http.MethodGet, "http://"+ep.Addr+service.HealthPath, nil)
	if err != nil {
		return false, 0, err
	}
	resp, err := e.probes.Do(req)
	if err != nil {
		return false, 0, err
	}
	defer resp.Body.Close()
	id, healthy, coldFor := e.cfg.Codec.ReadHealth(resp.StatusCode, resp.Header)
	return healthy && (id == "" || id == ep.ID), coldFor, nil
}

// roomToRepeat reports whether the budget of a service has room, without taking from it.
func (e *Entry) roomToRepeat(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).CanRetry(e.cfg.Now())
}

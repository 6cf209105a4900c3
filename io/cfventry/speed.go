package cfventry

import (
	"sync"
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvspeed"
)

// Slowness from which an endpoint is logged and counted.
const (
	slowFactor      = 2.0              // logged as slow
	recoveredFactor = 1.5              // counted as slow above this
	recoveredAfter  = 10 * time.Second // below recoveredFactor; with few requests the evidence about a slow endpoint comes and goes
)

// speeds holds the speed of the endpoints as this entry and its peers measured it. It is safe for
// concurrent use.
type speeds struct {
	mu        sync.Mutex
	estimator *cfvspeed.Estimator
	factors   map[string]map[string]float64 // by service and endpoint; nil: not learned
	slow      map[string]time.Duration      // endpoints that were logged as slow, and when they were last
}

func newSpeeds() *speeds {
	return &speeds{estimator: cfvspeed.New(), slow: make(map[string]time.Duration)}
}

// record adds the time of an attempt.
func (s *speeds) record(now time.Duration, sample cfvspeed.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.Record(now, sample)
}

// measures returns what this entry measured lately, by endpoint.
func (s *speeds) measures(now time.Duration) map[string]cfvspeed.Measure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Measures(now)
}

// of returns the factors of a service's endpoints, nil if there are none.
func (s *speeds) of(service string) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.factors[service]
}

// usualMs returns the usual time of a request of a class, 0 if it is not known.
func (s *speeds) usualMs(class cfvspeed.Class) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.UsualMs(class)
}

// change is a factor that became slow or usual again.
type change struct {
	service, endpoint string
	factor            float64
	slow              bool
}

// update computes the factors from the own measures and those of the peers. It returns the slowest
// factor, the number of slow endpoints, and the changes since the last call.
func (s *speeds) update(now time.Duration, peers map[string]cfvdispatch.Load, services map[string][]string) (slowest float64, slow int, changes []change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.estimator.Measures(now)
	factors, marked := make(map[string]map[string]float64, len(services)), make(map[string]time.Duration)
	slowest = 1
	for service, ids := range services {
		joined := make(map[string]cfvspeed.Measure, len(ids))
		for _, id := range ids {
			joined[id] = cfvspeed.Join(own[id], peers[id].Speed)
		}
		factors[service] = cfvspeed.Factors(joined, ids)
		for _, id := range ids {
			f, ok := factors[service][id]
			if !ok {
				f = 1
			}
			slowest = max(slowest, f)
			if f > recoveredFactor {
				slow++
			}
			last, logged := s.slow[id]
			switch {
			case f > slowFactor || logged && f > recoveredFactor:
				marked[id] = now
			case logged && now-last < recoveredAfter:
				marked[id] = last
			}
			if _, is := marked[id]; is != logged {
				changes = append(changes, change{service, id, f, is})
			}
		}
	}
	s.factors, s.slow = factors, marked
	return slowest, slow, changes
}

// updateSpeeds updates the factors with the measures of the peers.
func (e *Entry) updateSpeeds(peers map[string]cfvdispatch.Load) {
	if !e.cfg.LearnedCapacity {
		return
	}
	services := make(map[string][]string)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, ep := range v.All() {
			services[ep.Service] = append(services[ep.Service], ep.ID)
		}
	})
	slowest, slow, changes := e.speeds.update(e.cfg.Now(), peers, services)
	e.cfg.Metrics.Gauge("speed.slowestPercent", int64(100*slowest))
	e.cfg.Metrics.Gauge("speed.slowEndpoints", int64(slow))
	for _, c := range changes {
		message := "an endpoint is as fast as usual again"
		if c.slow {
			message = "an endpoint is slower than the others of its service, and gets less work"
		}
		e.cfg.Log.Infow(message, "service", c.service, "endpoint", c.endpoint, "factor", c.factor)
	}
}

// speedClass returns the class of a request of this entry, by which times are compared.
func (q *request) speedClass() cfvspeed.Class {
	return cfvspeed.Class{Service: q.service.Name, Route: q.route.Name, Long: q.promptTokens() >= cfvdispatch.LongPromptTokens}
}

// setFactors sets what is known of the speed of the endpoints.
func (q *request) setFactors(query *cfvdispatch.Query) {
	if query.Factors != nil {
		query.UsualMs = q.entry.speeds.usualMs(q.speedClass())
	}
}

// recordSpeed records the time of the attempt until its first token or its response. If it was given up
// before, it would have taken longer. Requests at cold endpoints and at candidates of a roll-out don't count,
// since limits of their own apply to these; nor do errors, which take less work.
func (q *request) recordSpeed(ep *cfvfleet.Endpoint, took time.Duration, givenUp bool) {
	t := &q.times
	if !q.entry.cfg.LearnedCapacity || t.cold || q.candidate || t.incomparable && !givenUp {
		return
	}
	tokens := 0
	if q.promptTokens() > 0 {
		tokens = t.work
	}
	q.entry.speeds.record(q.entry.cfg.Now(), cfvspeed.Sample{
		Class: q.speedClass(), Endpoint: ep.ID, Took: took, Censored: givenUp,
		Running: t.seen.Running, PendingTokens: t.seen.PendingTokens, Tokens: tokens,
	})
}

package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// maxRolloutStateAge is the age from which a state may lack a rollback for too long.
const maxRolloutStateAge = 3 * time.Second

// pickVersion decides whether the request goes to the software version that is rolled out, once for all
// attempts.
func (q *request) pickVersion() {
	share := q.entry.candidateShare(q.service.Name)
	q.candidate = share > 0 && q.entry.cfg.Random() < share
}

// usesCandidate reports whether the next attempt goes to a candidate. Only the first attempt does, and only
// if the roll-out still allows it.
func (q *request) usesCandidate() bool {
	q.candidate = q.candidate && q.attempts == 0 && q.entry.candidateShare(q.service.Name) > 0
	return q.candidate
}

// leaveCandidate sends a request that no candidate can take to the stable endpoints.
func (q *request) leaveCandidate(counter string) {
	q.candidate = false
	q.settle(true)
	q.entry.cfg.Metrics.Count(counter, 1)
}

// candidateShare returns the share of a service's requests that go to the candidates of its roll-out.
func (e *Entry) candidateShare(service string) float64 {
	var r *cfvfleet.Rollout
	e.cfg.State.Read(func(v *cfvfleet.View) { r = v.Rollout(service) })
	if r == nil || r.Progress.Phase != cfvfleet.RolloutRunning || r.Progress.Share <= 0 {
		return 0
	}
	if age, known := e.cfg.State.Age(); !known || age >= maxRolloutStateAge {
		e.cfg.Metrics.Count("rollout.stateOutdated", 1)
		return 0
	}
	return r.Progress.Share
}

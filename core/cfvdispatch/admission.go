package cfvdispatch

import (
	"math"
	"time"
)

// Limits of the admission.
const (
	spareShare        = 0.2                   // share of the latency objective that an endpoint with spare capacity takes until it begins with a prompt
	holdInterval      = 40 * time.Millisecond // after which the entry of a held prompt asks again
	holdIntervalEach  = time.Millisecond      // added for each held prompt, so that asking costs the placer little
	maxHoldInterval   = 200 * time.Millisecond
	heldTTL           = 500 * time.Millisecond // a held prompt that is not asked for is forgotten
	admissionDecay    = 2 * time.Second        // time constant of the rate at which held prompts are admitted
	minAdmissionRate  = 4.0                    // held prompts per second that are expected to be admitted at least
	minRetryAfter     = 250 * time.Millisecond
	maxRetryAfter     = 4 * time.Second
	slownessDecay     = 0.95 // weight kept by earlier prefills at each new one
	minSlowness       = 0.5
	maxSlowness       = 5.0
	minObservedWait   = 50 * time.Millisecond // shorter expected waits tell little about the speed of the endpoints
	admissionHeadroom = 0.9                   // share of the latency objective that a prompt may be expected to take
)

// Admission decides whether a prompt is sent to its endpoint now. Engines begin with prompts in the
// order in which they arrive. If all prompts are sent at once while more arrive than the engines can
// prefill, every one of them is late, for as long as the backlog lasts. So a prompt whose first event
// would be late anyway waits until an endpoint has capacity to spare, and the others are in time. It is
// rejected if it would wait for longer than its caller does. An Admission is not safe for concurrent use.
type Admission struct {
	held     map[string]heldPrompt // by request
	rate     float64               // recently admitted prompts that had been held, per second
	rateAt   time.Duration
	slowness float64 // actual to expected time of prefills
}

// heldPrompt is a prompt that waits for an endpoint with capacity to spare.
type heldPrompt struct {
	since   time.Duration
	askedAt time.Duration // when its entry asked last
}

// NewAdmission returns an Admission that has held nothing.
func NewAdmission() *Admission {
	return &Admission{held: make(map[string]heldPrompt), slowness: 1}
}

// AdmissionRequest describes a prompt and the best endpoint for it.
type AdmissionRequest struct {
	Request    string
	Wait       time.Duration // expected time until the endpoint begins with the prompt
	Work       time.Duration // expected time of its fetch and prefill
	MemoryFull bool          // the endpoint has no memory for the prompt
	Objective  time.Duration // latency objective of the first event; 0: none
	Elapsed    time.Duration // since the request arrived
	Patience   time.Duration // how long after its arrival the caller waits for the first event
}

// Verdict is the result of Admission.Decide.
type Verdict int

// Values of Verdict.
const (
	Admit  Verdict = iota
	Hold           // ask again after the returned time
	Reject         // the caller may return after the returned time
)

// Decide decides about a prompt. It returns the time after which to ask or to return for Hold and Reject.
func (a *Admission) Decide(now time.Duration, r AdmissionRequest) (v Verdict, after time.Duration) {
	if r.Objective <= 0 {
		return Admit, 0
	}
	inTime := float64(r.Elapsed+r.Wait+r.Work) <= admissionHeadroom*float64(r.Objective)
	spare := float64(r.Wait) <= spareShare*float64(r.Objective)
	if !r.MemoryFull && (inTime || spare) {
		if _, ok := a.held[r.Request]; ok {
			delete(a.held, r.Request)
			a.rate = a.rateNow(now) + float64(time.Second)/float64(admissionDecay)
			a.rateAt = now
		}
		return Admit, 0
	}
	left := r.Patience - r.Elapsed - r.Work
	held, ok := a.held[r.Request]
	if !ok {
		held.since = now
	}
	expected := time.Duration(float64(a.heldBefore(now, held.since)) / max(a.rateNow(now), minAdmissionRate) * float64(time.Second))
	if left <= 0 || expected > left {
		delete(a.held, r.Request)
		return Reject, min(max(expected, minRetryAfter), maxRetryAfter)
	}
	held.askedAt = now
	a.held[r.Request] = held
	return Hold, min(holdInterval+time.Duration(len(a.held))*holdIntervalEach, maxHoldInterval)
}

// heldBefore returns how many prompts have been held since before the given time, and forgets those that
// nobody asked for lately.
func (a *Admission) heldBefore(now, since time.Duration) (n int) {
	for id, h := range a.held {
		switch {
		case now-h.askedAt > heldTTL:
			delete(a.held, id)
		case h.since < since:
			n++
		}
	}
	return n
}

// rateNow returns how many held prompts per second were admitted lately.
func (a *Admission) rateNow(now time.Duration) float64 {
	return a.rate * math.Exp(-float64(max(now-a.rateAt, 0))/float64(admissionDecay))
}

// Slowness returns how many times longer than by their configured speed the endpoints take to prefill.
func (a *Admission) Slowness() float64 { return a.slowness }

// RecordPrefill records how long an endpoint took until it had prefilled a prompt, and how long that
// should take at the configured speed.
func (a *Admission) RecordPrefill(expected, took time.Duration) {
	if expected < minObservedWait {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minSlowness), maxSlowness)
	a.slowness = a.slowness*slownessDecay + ratio*(1-slownessDecay)
}

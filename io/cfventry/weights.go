package cfventry

import (
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Limits for requests on replaced weights.
const (
	uncertainWeightsShare = 0.25        // share of MaxVersionDelay after which no request begins on weights that were replaced by a version of unknown age
	minWaitLeft           = time.Second // a request that has less time to begin is not sent, since its attempt would probably be cancelled
)

// oldestWeights returns the oldest version of a model's weights on which requests may start; 0 means any. Each
// replaced version has its own time limit. If this entry does not know for how long a version has been set, it
// uses older ones only for a short time, and only while no endpoint has loaded that version or a newer one.
func (e *Entry) oldestWeights(now time.Duration, desired cfvfleet.DesiredVersion, model string, endpoints []*cfvfleet.Endpoint) int64 {
	limit := e.cfg.Limits.MaxVersionDelay
	if limit <= 0 {
		return 0
	}
	return desired.Oldest(func(v cfvfleet.WeightsVersion) bool {
		return e.refusesReplaced(now, v, minWaitLeft) || !v.Certain && slices.ContainsFunc(endpoints, func(ep *cfvfleet.Endpoint) bool { return ep.Weights[model] >= v.Version })
	})
}

// refusesReplaced reports whether a version has been set for so long that no request starts on weights that it
// replaced, whatever the endpoints run, since less than minLeft remains for it to wait.
func (e *Entry) refusesReplaced(now time.Duration, v cfvfleet.WeightsVersion, minLeft time.Duration) bool {
	return e.waitLeft(now, v) < minLeft || now-v.Since > time.Duration(refuseOldWeightsShare*float64(e.cfg.Limits.MaxVersionDelay))
}

// waitLeft returns the time for which requests may still wait to begin on weights that a version replaced.
func (e *Entry) waitLeft(now time.Duration, v cfvfleet.WeightsVersion) time.Duration {
	limit := e.cfg.Limits.MaxVersionDelay
	if !v.Certain {
		return time.Duration(uncertainWeightsShare*float64(limit)) - (now - v.Since)
	}
	return limit - pendingMargin - (now - v.NotBefore)
}

// recordBegin counts a request that began on replaced weights, and logs it if requests should no longer
// have been sent there.
func (q *request) recordBegin(ep *cfvfleet.Endpoint, version int64) {
	e := q.entry
	model := q.meta.Prompt.Model
	if model == "" || version <= 0 {
		return
	}
	var desired cfvfleet.DesiredVersion
	e.cfg.State.Read(func(v *cfvfleet.View) { desired = v.Desired(model) })
	newer, replaced := desired.ReplacedBy(version)
	if !replaced {
		return
	}
	e.cfg.Metrics.Count("weights.replaced", 1)
	now := e.cfg.Now()
	if e.cfg.Limits.MaxVersionDelay > 0 && e.refusesReplaced(now, newer, 0) {
		e.cfg.Metrics.Count("weights.replacedLate", 1)
		q.logAttempt(ep, "a request began on weights that were replaced long ago", "model", model, "version", version,
			"replacedBy", newer.Version, "desired", desired.Version, "ageMillis", (now - newer.Since).Milliseconds(), "certain", newer.Certain)
	}
}

// handleWeightsMismatch handles an endpoint that does not run the expected weights and does not
// report which it runs. If older weights than the desired ones were expected, the endpoint must
// have loaded at least the next version by now.
func (q *request) handleWeightsMismatch(ep *cfvfleet.Endpoint, expected int64) {
	e, model := q.entry, q.meta.Prompt.Model
	var desired cfvfleet.DesiredVersion
	e.cfg.State.Read(func(v *cfvfleet.View) { desired = v.Desired(model) })
	e.mu.Lock()
	defer e.mu.Unlock()
	if next, ok := desired.ReplacedBy(expected); ok {
		e.dispatcher.RecordWeights(ep, model, next.Version)
		delete(q.excluded, ep.ID)
		return
	}
	e.dispatcher.RecordMissingWeights(ep, model)
}

package cfventry

import (
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// uncertainWeightsShare is the share of MaxVersionDelay after which no request starts on weights that were
// replaced by a version of unknown age.
const uncertainWeightsShare = 0.25

// oldestWeights returns the oldest version of a model's weights on which requests may start; 0 means any. Each
// replaced version has its own time limit. If this entry does not know for how long a version has been set, it
// uses older ones only for a short time, and only while no endpoint has loaded that version or a newer one.
func (e *Entry) oldestWeights(now time.Duration, desired cfvfleet.DesiredVersion, model string, endpoints []*cfvfleet.Endpoint) int64 {
	limit := e.cfg.Limits.MaxVersionDelay
	if limit <= 0 {
		return 0
	}
	return desired.Oldest(func(v cfvfleet.WeightsVersion) bool {
		return e.refusesReplaced(now, v) || !v.Certain && slices.ContainsFunc(endpoints, func(ep *cfvfleet.Endpoint) bool { return ep.Weights[model] >= v.Version })
	})
}

// refusesReplaced reports whether a version has been set for so long that no request starts on weights that it
// replaced, whatever the endpoints run.
func (e *Entry) refusesReplaced(now time.Duration, v cfvfleet.WeightsVersion) bool {
	return e.boundNear(now, v) || now-v.Since > time.Duration(refuseOldWeightsShare*float64(e.cfg.Limits.MaxVersionDelay))
}

// boundNear reports whether the bound on requests that begin on weights that a version replaced may pass soon.
func (e *Entry) boundNear(now time.Duration, v cfvfleet.WeightsVersion) bool {
	limit := e.cfg.Limits.MaxVersionDelay
	if !v.Certain {
		return now-v.Since > time.Duration(uncertainWeightsShare*float64(limit))
	}
	return now-v.NotBefore > limit-pendingMargin
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
	if e.cfg.Limits.MaxVersionDelay > 0 && e.refusesReplaced(now, newer) {
		e.cfg.Metrics.Count("weights.replacedLate", 1)
		q.logAttempt(ep, "a request began on weights that were replaced long ago", "model", model, "version", version,
			"replacedBy", newer.Version, "desired", desired.Version, "ageMillis", (now - newer.Since).Milliseconds(), "certain", newer.Certain)
	}
}

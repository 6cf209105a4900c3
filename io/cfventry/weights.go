package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

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
	age := e.cfg.Now() - newer.Since
	if limit := e.cfg.Limits.MaxVersionDelay; limit > 0 && age > time.Duration(refuseOldWeightsShare*float64(limit)) {
		e.cfg.Metrics.Count("weights.replacedLate", 1)
		q.logAttempt(ep, "a request began on weights that were replaced long ago", "model", model, "version", version,
			"replacedBy", newer.Version, "desired", desired.Version, "ageMillis", age.Milliseconds(), "certain", newer.Certain)
	}
}

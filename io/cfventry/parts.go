package cfventry

import (
	"coltsfootvalve/core/cfvfleet"
)

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may have.
func (q *request) sharedPartIDs() []string {
	parts := q.meta.Prompt.SharedParts()
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.ID)
	}
	return out
}

// logCrash logs and counts that an endpoint went down while it ran the request.
func (q *request) logCrash(ep *cfvfleet.Endpoint, incarnation string) {
	q.entry.cfg.Metrics.Count("endpoints.crashes", 1)
	batches := 0
	if q.stream != nil {
		batches = q.stream.batches
	}
	q.logAttempt(ep, "an endpoint went down while it ran a request",
		"service", q.service.Name, "incarnation", incarnation, "parts", q.sharedPartIDs(), "batches", batches)
}

package cfvrollout

import (
	"coltsfootvalve/core/cfvrollout"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// encodeReport returns the message of a report.
func encodeReport(r cfvrollout.Report) *cfvwireentry.ReportRequest {
	m := &cfvwireentry.ReportRequest{Entry: r.Entry, Started: r.StartMillis}
	for _, e := range r.Evidence {
		m.Evidence = append(m.Evidence, &cfvwireentry.RolloutEvidence{
			Service: e.Service, Order: e.Order, Version: e.Version, Route: e.Route, Requests: e.Requests, Failures: e.Failures, Slow: e.Slow,
		})
	}
	return m
}

// decodeReport returns the report in a message.
func decodeReport(m *cfvwireentry.ReportRequest) cfvrollout.Report {
	r := cfvrollout.Report{Entry: m.GetEntry(), StartMillis: m.GetStarted()}
	for _, e := range m.GetEvidence() {
		r.Evidence = append(r.Evidence, cfvrollout.Evidence{
			Service: e.GetService(), Order: e.GetOrder(), Version: e.GetVersion(), Route: e.GetRoute(),
			Requests: e.GetRequests(), Failures: e.GetFailures(), Slow: e.GetSlow(),
		})
	}
	return r
}

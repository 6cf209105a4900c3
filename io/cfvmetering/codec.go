package cfvmetering

import (
	"coltsfootvalve/core/cfvusage"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// encodeReport returns the message of a report.
func encodeReport(r cfvusage.Report) *cfvwireentry.UsageReportRequest {
	m := &cfvwireentry.UsageReportRequest{Entry: r.Process.Entry, Started: r.Process.StartMillis, TrueMillis: r.TrueMillis}
	for _, w := range r.Windows {
		m.Windows = append(m.Windows, &cfvwireentry.UsageWindow{Window: w.Number, Counts: w.Counts})
	}
	return m
}

// decodeReport returns the report in a message.
func decodeReport(m *cfvwireentry.UsageReportRequest) cfvusage.Report {
	r := cfvusage.Report{Process: cfvusage.Process{Entry: m.GetEntry(), StartMillis: m.GetStarted()}, TrueMillis: m.GetTrueMillis()}
	for _, w := range m.GetWindows() {
		r.Windows = append(r.Windows, cfvusage.Window{Number: w.GetWindow(), Counts: w.GetCounts()})
	}
	return r
}

package cfvrollout

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvrollout"

	"gotest.tools/v3/assert"
)

// reports is a reporter with the leaders that it reports to, by address.
type reports struct {
	mu       sync.Mutex
	leader   Leader
	known    bool // there is a leader
	evidence []cfvrollout.Evidence
	entries  int
	silent   map[string]bool // leaders that do not respond
	refusing map[string]bool
	got      map[string][]cfvrollout.Report
	sent     int
	reporter *Reporter
}

// run runs the reporter for some time, and calls change at times in between.
func (r *reports) run(t *testing.T, d time.Duration, changes map[time.Duration]func()) {
	r.got, r.known, r.entries = make(map[string][]cfvrollout.Report), true, max(r.entries, 3)
	if r.evidence == nil {
		r.evidence = []cfvrollout.Evidence{{Service: "s", Order: 7, Version: "v2", Route: "ask", Requests: 1}}
	}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		for after, change := range changes {
			time.AfterFunc(after, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				change()
			})
		}
		start := time.Now()
		r.reporter = NewReporter(ReporterConfig{
			Now:  func() time.Duration { return time.Since(start) },
			Self: "entry", StartMillis: 5, Log: cfvlog.Discard(), Count: func(string, int64) {}, Entries: func() int { return r.entries },
			Evidence: r.currentEvidence, Leader: r.currentLeader, Send: r.send,
		})
		r.reporter.Run(ctx)
	})
}

func (r *reports) currentEvidence() []cfvrollout.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.evidence)
}

func (r *reports) currentLeader() (Leader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.known
}

func (r *reports) send(ctx context.Context, addr string, report cfvrollout.Report) error {
	r.mu.Lock()
	silent := r.silent[addr]
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if r.refusing[addr] {
		return errors.New("refused")
	}
	r.got[addr] = append(r.got[addr], report)
	return nil
}

// count counts n more requests.
func (r *reports) count(n uint64) func() { return func() { r.evidence[0].Requests += n } }

func requests(reports []cfvrollout.Report) (out []uint64) {
	for _, r := range reports {
		out = append(out, r.Evidence[0].Requests)
	}
	return out
}

func TestReporterReportsWhatChanged(t *testing.T) {
	r := &reports{leader: Leader{Name: "a", Addr: "a", Term: 1}}
	r.run(t, 10*time.Second, map[time.Duration]func(){
		1200 * time.Millisecond: r.count(1), 1300 * time.Millisecond: r.count(1), 4200 * time.Millisecond: r.count(5),
		6100 * time.Millisecond: func() { r.evidence = r.evidence[:0] }, // the roll-out has ended
	})
	assert.DeepEqual(t, requests(r.got["a"]), []uint64{1, 3, 8})
	assert.Equal(t, r.got["a"][0].Entry, "entry")
	assert.Equal(t, r.got["a"][0].StartMillis, int64(5))
}

// Failure: a new leader knew nothing of the evidence that its predecessor had got, and judged without it.
func TestNewLeaderGetsAllEvidence(t *testing.T) {
	r := &reports{leader: Leader{Name: "a", Addr: "a", Term: 1}}
	r.run(t, 10*time.Second, map[time.Duration]func(){
		2100 * time.Millisecond: func() { r.leader = Leader{Name: "b", Addr: "b", Term: 2} },
		4100 * time.Millisecond: func() { r.known = false },
		5100 * time.Millisecond: r.count(1),
		6100 * time.Millisecond: func() { r.leader, r.known = Leader{Name: "b", Addr: "b", Term: 3}, true }, // restarted
	})
	assert.DeepEqual(t, requests(r.got["a"]), []uint64{1})
	assert.DeepEqual(t, requests(r.got["b"]), []uint64{1, 2})
}

// Guards against a reporter that waits for a leader which is gone, or loses what it could not deliver.
func TestReporterGoesOnWhileTheLeaderFails(t *testing.T) {
	tests := map[string]func(r *reports) map[string]bool{
		"silent":   func(r *reports) map[string]bool { r.silent = map[string]bool{"a": true}; return r.silent },
		"refusing": func(r *reports) map[string]bool { r.refusing = map[string]bool{"a": true}; return r.refusing },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			r := &reports{leader: Leader{Name: "a", Addr: "a", Term: 1}}
			failing := fail(r)
			r.run(t, 10*time.Second, map[time.Duration]func(){
				2100 * time.Millisecond: r.count(4),
				5100 * time.Millisecond: func() { failing["a"] = false },
			})
			assert.DeepEqual(t, requests(r.got["a"]), []uint64{5})
			assert.Assert(t, r.sent <= 12, "sent %d", r.sent)
		})
	}
}

// Guards against a leader that is flooded with reports on a large fleet.
func TestReportsOfLargeFleetsAreSlower(t *testing.T) {
	for entries, want := range map[int]time.Duration{1: 500 * time.Millisecond, 150: 500 * time.Millisecond, 300: time.Second, 1200: 4 * time.Second} {
		r := NewReporter(ReporterConfig{Entries: func() int { return entries }})
		assert.Equal(t, r.interval(), want)
	}
}

// Failure: entries went on sending to a version while its leader was lost, and nobody judged what they saw.
func TestReporterIsCurrentWhileTheLeaderHasTheEvidence(t *testing.T) {
	r := &reports{leader: Leader{Name: "a", Addr: "a", Term: 1}, refusing: make(map[string]bool)}
	want := map[time.Duration]bool{
		2100 * time.Millisecond: true,
		3100 * time.Millisecond: true,  // nothing new since the last report
		5100 * time.Millisecond: true,  // the leader was lost less than 1.5 s ago
		6100 * time.Millisecond: false, // it was lost with evidence unreported
		8100 * time.Millisecond: false, // another leader has the evidence since a moment ago
		9600 * time.Millisecond: true,  // and the time to judge it
	}
	got := make(map[time.Duration]bool)
	changes := map[time.Duration]func(){
		4050 * time.Millisecond: func() { r.refusing["a"] = true; r.evidence[0].Requests++ },
		7050 * time.Millisecond: func() { r.leader = Leader{Name: "b", Addr: "b", Term: 2} },
	}
	for at := range want {
		changes[at] = func() { got[at] = r.reporter.Current() }
	}
	r.run(t, 10*time.Second, changes)
	assert.DeepEqual(t, got, want)
}

package cfvrollout

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvrollout"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	errConflict = errors.New("conflict")
	errNoAnswer = errors.New("no answer")
)

const (
	callTimeout  = 1500 * time.Millisecond
	storeLatency = 10 * time.Millisecond
	watchDelay   = 100 * time.Millisecond // until a leader learns of a record
)

// answer is how the store treats a write.
type answer int

const (
	prompt answer = iota
	lost          // it is carried out, and the answer is lost
	late          // likewise, and it is carried out after the caller has given up
	dropped
)

// store simulates the key-value store with the orders and the progress of roll-outs.
type store struct {
	mu      sync.Mutex
	rev     cfvmirror.Revision
	fence   int64
	orders  map[string]orderRecord
	records map[string][]progressRecord // all records of a service, in order
	removed cfvmirror.Revision          // of a record that a restore removed; 0: none
	answers func() answer
	hang    bool // writes of the running phase get no answer
	pending sync.WaitGroup
}

type orderRecord struct {
	cfvfleet.RolloutOrder
	revision cfvmirror.Revision
	at       time.Time
}

type progressRecord struct {
	cfvfleet.RolloutProgress
	revision cfvmirror.Revision
	fence    int64
	at       time.Time
}

func newStore() *store {
	return &store{orders: make(map[string]orderRecord), records: make(map[string][]progressRecord), answers: func() answer { return prompt }}
}

// elect makes another leader and returns its fencing token.
func (s *store) elect() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.fence = int64(s.rev)
	return s.fence
}

func (s *store) order(o cfvfleet.RolloutOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.orders[o.Service] = orderRecord{o, s.rev, time.Now()}
}

// record is the Record function of a controller.
func (s *store) record(ctx context.Context, w Write) (cfvmirror.Revision, error) {
	s.mu.Lock()
	a := s.answers()
	if s.hang && w.Progress.Phase == cfvfleet.RolloutRunning {
		a = dropped
	}
	s.mu.Unlock()
	switch a {
	case dropped:
		time.Sleep(callTimeout)
		return 0, errNoAnswer
	case late:
		s.pending.Go(func() {
			time.Sleep(callTimeout + 2*time.Second)
			s.commit(w)
		})
		time.Sleep(callTimeout)
		return 0, errNoAnswer
	case lost:
		s.commit(w)
		time.Sleep(callTimeout)
		return 0, errNoAnswer
	}
	time.Sleep(storeLatency)
	revision, ok := s.commit(w)
	if !ok {
		return 0, errConflict
	}
	return revision, ctx.Err()
}

func (s *store) commit(w Write) (revision cfvmirror.Revision, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := w.Progress.Service
	if w.FencingToken != s.fence || w.Order != s.orders[service].revision.Number() || w.Record != s.last(service).revision {
		return 0, false
	}
	s.rev++
	s.records[service] = append(s.records[service], progressRecord{w.Progress, s.rev, w.FencingToken, time.Now()})
	return s.rev, true
}

// last returns the last record of a service; zero if there is none. The caller must hold the lock.
func (s *store) last(service string) progressRecord {
	if all := s.records[service]; len(all) > 0 {
		return all[len(all)-1]
	}
	return progressRecord{}
}

// leader is an entry with a controller and its view of the store.
type leader struct {
	store      *store
	controller *Controller
	view       *cfvfleet.View
	mu         sync.Mutex
	start      time.Time
	seen       cfvmirror.Revision // the view is complete up to it
	clock      time.Duration
	fence      int64
	counts     map[string]int64
}

const (
	bootTime  = time.Hour
	dayMillis = 1_800_000_000_000
)

// newLeader returns an entry that has just become the leader. clock is the error of its clock.
func (s *store) newLeader(start time.Time, clock time.Duration) *leader {
	l := &leader{store: s, view: cfvfleet.NewView(), start: start, clock: clock, counts: make(map[string]int64)}
	l.controller = NewController(ControllerConfig{
		View: func(f func(*cfvfleet.View)) {
			l.mu.Lock()
			defer l.mu.Unlock()
			f(l.view)
		},
		Record: s.record, Conflict: errConflict, Limits: Limits{ExposureShare: 0.1, ExposureSlack: 50},
		Now: l.now, Millis: func() int64 { return dayMillis + (time.Since(start) + l.clock).Milliseconds() }, Log: cfvlog.Discard(),
		Count: func(name string, n int64) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.counts[name] += n
		},
	})
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		e := &cfvfleet.Endpoint{ID: string(rune('a' + i)), Service: "assistant", SoftwareVersion: version, Addr: "x"}
		l.view.Apply(l.now(), cfvfleet.Change{Endpoint: &cfvfleet.EndpointChange{ID: e.ID, Endpoint: e}})
	}
	l.fence = s.elect()
	return l
}

func (l *leader) now() time.Duration { return time.Since(l.start) + bootTime }

// learn applies what was written to the store until the watch delay.
func (l *leader) learn() {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	until := time.Now().Add(-watchDelay)
	for _, o := range l.store.orders {
		if o.revision > l.seen && o.at.Before(until) {
			l.view.Apply(l.now(), cfvfleet.Change{Revision: o.revision, RolloutOrder: &o.RolloutOrder})
		}
	}
	seen := l.seen
	if l.store.removed > l.seen {
		l.view.Apply(l.now(), cfvfleet.Change{Revision: l.store.removed, RolloutProgress: &cfvfleet.RolloutProgress{Service: testOrder.Service}})
		seen = l.store.removed
	}
	for _, records := range l.store.records {
		for _, p := range records {
			if p.revision > l.seen && p.at.Before(until) {
				l.view.Apply(l.now(), cfvfleet.Change{Revision: p.revision, RolloutProgress: &p.RolloutProgress})
				seen = max(seen, p.revision)
			}
		}
	}
	l.seen = seen
}

// traffic counts the requests of one entry.
type traffic struct {
	version map[string]*cfvrollout.Evidence
	order   int64
}

// count adds requests for a span of time at the recorded share.
func (tr *traffic) count(requests, share, failures float64) {
	tr.version["v1"].Requests += uint64(requests * (1 - share))
	tr.version["v2"].Requests += uint64(requests * share)
	tr.version["v2"].Failures += uint64(requests * share * failures)
}

func newTraffic(order int64) *traffic {
	tr := &traffic{version: make(map[string]*cfvrollout.Evidence), order: order}
	for _, v := range []string{"v1", "v2"} {
		tr.version[v] = &cfvrollout.Evidence{Service: "assistant", Order: order, Version: v, Route: "chat"}
	}
	return tr
}

func (tr *traffic) report() cfvrollout.Report {
	r := cfvrollout.Report{Entry: "entry"}
	for _, e := range tr.version {
		r.Evidence = append(r.Evidence, *e)
	}
	return r
}

const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	perReport      = 200 // requests
)

// carryOut runs a leader for some time. failures is the share of bad responses of the target version.
func (l *leader) carryOut(span time.Duration, tr *traffic, failures float64) {
	for at := time.Duration(0); at < span; at += tickInterval {
		l.learn()
		if at%reportInterval == 0 {
			l.store.mu.Lock()
			p := l.store.last("assistant")
			l.store.mu.Unlock()
			if p.OrderRevision == tr.order {
				tr.count(perReport, p.Share, failures)
			}
			l.controller.AddReport(tr.report())
		}
		l.controller.Tick(context.Background(), l.fence)
		time.Sleep(tickInterval)
	}
}

// phases returns the phases in the records of an order, without repetitions.
func (s *store) phases(order int64) (out []cfvfleet.RolloutPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.records["assistant"] {
		if p.OrderRevision == order && (len(out) == 0 || out[len(out)-1] != p.Phase) {
			out = append(out, p.Phase)
		}
	}
	return out
}

func (s *store) orderRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders["assistant"].revision.Number()
}

var testOrder = cfvfleet.RolloutOrder{Service: "assistant", Target: "v2", Duration: 15 * time.Second}

// play carries out one order with a version of which a share of the responses is bad.
func play(s *store, failures float64, leaders ...time.Duration) {
	start := time.Now()
	s.order(testOrder)
	tr := newTraffic(s.orderRevision())
	for _, span := range append(leaders, 40*time.Second) {
		s.newLeader(start, 0).carryOut(span, tr, failures)
	}
	s.pending.Wait()
	time.Sleep(time.Minute)
}

// Guards against orders that nobody carries out, and against bad versions that are kept.
func TestLeadersRecordTheEndOfARollout(t *testing.T) {
	running, completed, rolledBack := cfvfleet.RolloutRunning, cfvfleet.RolloutCompleted, cfvfleet.RolloutRolledBack
	every := func(n int, a answer) func() answer {
		calls := 0
		return func() answer {
			if calls++; calls%n == 0 {
				return a
			}
			return prompt
		}
	}
	tests := map[string]struct {
		failures float64
		leaders  []time.Duration
		answers  func() answer
		want     []cfvfleet.RolloutPhase
	}{
		"good":                    {0, nil, nil, []cfvfleet.RolloutPhase{running, completed}},
		"bad":                     {0.5, nil, nil, []cfvfleet.RolloutPhase{running, rolledBack}},
		"good, answers lost":      {0, nil, every(2, lost), []cfvfleet.RolloutPhase{running, completed}},
		"bad, answers lost":       {0.5, nil, every(2, lost), []cfvfleet.RolloutPhase{running, rolledBack}},
		"good, writes late":       {0, nil, every(3, late), []cfvfleet.RolloutPhase{running, completed}},
		"bad, writes late":        {0.5, nil, every(3, late), []cfvfleet.RolloutPhase{running, rolledBack}},
		"good, writes dropped":    {0, nil, every(2, dropped), []cfvfleet.RolloutPhase{running, completed}},
		"good, three leaders":     {0, []time.Duration{4 * time.Second, 5 * time.Second}, nil, []cfvfleet.RolloutPhase{running, completed}},
		"bad, three leaders":      {0.5, []time.Duration{time.Second, time.Second}, nil, []cfvfleet.RolloutPhase{running, rolledBack}},
		"late, lost, two leaders": {0.5, []time.Duration{1700 * time.Millisecond}, every(2, late), []cfvfleet.RolloutPhase{running, rolledBack}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				if tt.answers != nil {
					s.answers = tt.answers
				}
				play(s, tt.failures, tt.leaders...)
				assert.DeepEqual(t, s.phases(s.orderRevision()), tt.want)
			})
		})
	}
}

// Guards against a rollback that is undone, or a completion that is, by a late write or a new leader.
func TestEndOfARolloutIsFinal(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		failures := rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "failures")
		var leaders []time.Duration
		for range rapid.IntRange(0, 3).Draw(t, "leaders") {
			leaders = append(leaders, time.Duration(rapid.IntRange(5, 60).Draw(t, "ticks"))*tickInterval)
		}
		answers := rapid.SliceOfN(rapid.SampledFrom([]answer{prompt, prompt, lost, late, dropped}), 8, 8).Draw(t, "answers")
		s, calls := newStore(), 0
		synctest.Test(test, func(*testing.T) {
			s.answers = func() answer {
				calls++
				return answers[calls%len(answers)]
			}
			play(s, failures, leaders...)
		})
		checkRecords(t, s)
	})
}

// checkRecords checks that no record of an order follows its end, and that fencing tokens rise.
func checkRecords(t *rapid.T, s *store) {
	ended, fence := make(map[int64]bool), int64(0)
	for _, p := range s.records["assistant"] {
		if ended[p.OrderRevision] {
			t.Fatalf("order %d went on after its end: %+v", p.OrderRevision, p)
		}
		if p.fence < fence {
			t.Fatalf("fencing token %d was used after %d", p.fence, fence)
		}
		fence = p.fence
		ended[p.OrderRevision] = p.Phase != cfvfleet.RolloutRunning
	}
}

// Guards against an order that goes on with the progress or the evidence of the one before.
func TestAnotherOrderBeginsAnew(t *testing.T) {
	tests := map[string]cfvfleet.RolloutOrder{
		"the same target":   testOrder,
		"another duration":  {Service: "assistant", Target: "v2", Duration: 20 * time.Second},
		"the other version": {Service: "assistant", Target: "v1", Duration: 15 * time.Second},
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.order(testOrder)
				l := s.newLeader(time.Now(), 0)
				l.carryOut(6*time.Second, newTraffic(s.orderRevision()), 0.5)
				assert.Equal(t, s.last("assistant").Phase, cfvfleet.RolloutRolledBack)
				s.order(second)
				l.carryOut(2*time.Second, newTraffic(s.orderRevision()), 0)
				got := s.last("assistant")
				assert.Equal(t, got.OrderRevision, s.orderRevision())
				assert.Equal(t, got.Phase, cfvfleet.RolloutRunning)
				assert.Assert(t, got.Share < 1 && got.Elapsed < 2*time.Second, "%+v", got)
			})
		})
	}
}

// Guards against a new leader that counts the time of an order from its own start.
func TestNewLeaderKeepsTheTimeOfTheOrder(t *testing.T) {
	for name, clock := range map[string]time.Duration{"same clock": 0, "clock behind": -3 * time.Second, "clock ahead": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, start := newStore(), time.Now()
				s.order(testOrder)
				tr := newTraffic(s.orderRevision())
				s.newLeader(start, 0).carryOut(7*time.Second, tr, 0)
				s.newLeader(start.Add(time.Second), clock).carryOut(9*time.Second, tr, 0)
				got := s.last("assistant")
				assert.Equal(t, got.Phase, cfvfleet.RolloutCompleted)
				assert.Assert(t, got.at.Sub(start) <= testOrder.Duration, "completed after %v", got.at.Sub(start))
			})
		})
	}
}

// Guards against a leader that acts after another one was elected.
func TestFormerLeaderRecordsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.order(testOrder)
		former := s.newLeader(time.Now(), 0)
		s.elect()
		former.carryOut(5*time.Second, newTraffic(s.orderRevision()), 0)
		assert.Equal(t, len(s.records), 0)
		assert.Assert(t, former.counts["rollout.writeConflict"] > 0)
	})
}

// Guards against two services whose roll-outs share their evidence.
func TestServicesAreRolledOutIndependently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.order(testOrder)
		other := testOrder
		other.Service = "desk"
		s.order(other)
		l := s.newLeader(time.Now(), 0)
		l.carryOut(6*time.Second, newTraffic(s.orderRevision()), 0.5)
		assert.Equal(t, s.last("assistant").Phase, cfvfleet.RolloutRolledBack)
		assert.Equal(t, s.last("desk").Phase, cfvfleet.RolloutRunning)
		assert.Equal(t, s.last("desk").Share, 0.0, "no endpoint runs the target")
	})
}

// Guards against a rollback that waits for an answer to an earlier write.
func TestRollbackDoesNotWaitForAnotherWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.order(testOrder)
		l := s.newLeader(time.Now(), 0)
		tr := newTraffic(s.orderRevision())
		l.carryOut(1500*time.Millisecond, tr, 0)
		s.hang = true
		l.carryOut(time.Second, tr, 0) // the elapsed time is due to be recorded
		assert.Equal(t, l.counts["rollout.writeFailed"], int64(0))
		l.carryOut(time.Second, tr, 1)
		s.mu.Lock()
		got := s.last("assistant").Phase
		s.mu.Unlock()
		assert.Equal(t, got, cfvfleet.RolloutRolledBack)
		time.Sleep(callTimeout)
	})
}

// Guards against a rollback that takes several timeouts where the store loses answers and carries writes out late.
func TestRollbackIsWrittenAgainBeforeItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.order(testOrder)
		l := s.newLeader(time.Now(), 0)
		tr := newTraffic(s.orderRevision())
		l.carryOut(1500*time.Millisecond, tr, 0)
		calls := 0
		s.answers = func() answer {
			if calls++; calls <= 2 {
				return late
			}
			return prompt
		}
		l.carryOut(2500*time.Millisecond, tr, 1)
		s.mu.Lock()
		got := s.last("assistant")
		s.mu.Unlock()
		assert.Equal(t, got.Phase, cfvfleet.RolloutRolledBack)
		assert.Assert(t, time.Since(got.at) > 500*time.Millisecond, "recorded %v ago", time.Since(got.at))
		s.pending.Wait()
		time.Sleep(callTimeout)
		assert.DeepEqual(t, s.phases(s.orderRevision()), []cfvfleet.RolloutPhase{cfvfleet.RolloutRunning, cfvfleet.RolloutRolledBack})
	})
}

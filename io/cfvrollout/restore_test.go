package cfvrollout

import (
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"

	"gotest.tools/v3/assert"
)

// restore restores the store from a copy that holds only the first records of a service and no later revision. The order is
// written again if it was later.
func (s *store) restore(service string, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.rev.Era() + 1
	kept := s.records[service][:min(records, len(s.records[service]))]
	s.rev = cfvmirror.NewRevision(era, 1)
	for i := range kept {
		kept[i].revision = cfvmirror.NewRevision(era, kept[i].revision.Number())
		s.rev = max(s.rev, kept[i].revision)
	}
	o := s.orders[service]
	if number := o.revision.Number(); number <= s.rev.Number() {
		o.revision = cfvmirror.NewRevision(era, number)
	} else {
		s.rev++
		o.revision = s.rev
	}
	s.orders[service], s.records[service] = o, kept
	s.rev++
	s.fence = 0
	if len(kept) == 0 {
		s.removed = s.rev
	}
}

// Guards against an end of a roll-out that operators have read and that is gone: a store that was restored from an older copy has
// a running roll-out again. The leader records the end again, under the order's new revision.
func TestEndThatTheStoreLostIsRecordedAgain(t *testing.T) {
	tests := map[string]struct {
		failures  float64
		kept      int  // records in the copy
		newLeader bool // which knew the end as well
		phase     cfvfleet.RolloutPhase
	}{
		"rolled back":                      {0.5, 1, false, cfvfleet.RolloutRolledBack},
		"rolled back, nothing in the copy": {0.5, 0, false, cfvfleet.RolloutRolledBack},
		"rolled back, another leader":      {0.5, 1, true, cfvfleet.RolloutRolledBack},
		"completed":                        {0, 1, false, cfvfleet.RolloutCompleted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, start := newStore(), time.Now()
				s.elect()
				s.order(testOrder)
				tr := newTraffic(s.orderRevision())
				l := s.newLeader(start, 0)
				l.carryOut(20*time.Second, tr, tt.failures)
				assert.Equal(t, s.last(testOrder.Service).Phase, tt.phase)
				if tt.newLeader {
					l = s.newLeader(start, 0)
					l.learn()
				}
				s.restore(testOrder.Service, tt.kept)
				l.fence = s.elect()
				tr.order = s.orderRevision()
				for range 30 {
					l.carryOut(tickInterval, tr, tt.failures)
					l.mu.Lock()
					phase := l.view.Rollout(testOrder.Service).Progress.Phase
					l.mu.Unlock()
					assert.Equal(t, phase, tt.phase, "it goes on as it ended")
				}
				last := s.last(testOrder.Service)
				assert.Equal(t, last.Phase, tt.phase)
				assert.Equal(t, last.OrderRevision, s.orderRevision())
				assert.Equal(t, last.revision.Era(), int64(1))
				recorded := len(s.records[testOrder.Service])
				l.carryOut(2*time.Second, tr, tt.failures)
				assert.Equal(t, len(s.records[testOrder.Service]), recorded, "it is recorded once")
				s.pending.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

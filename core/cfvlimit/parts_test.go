package cfvlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A part that is answered has no crash older than the begin of that answer left, so it is
// not blocked, whatever was merged before or after and in whichever order.
func TestAnsweredPartIsNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewPartQuarantine(DefaultPartConfig())
		now := time.Minute
		for range rapid.IntRange(0, 40).Draw(t, "crashes") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * ms
			endpoint := fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint"))
			q.RecordCrash(now, "s", []string{"p"}, endpoint, rapid.Bool().Draw(t, "answering"))
			q.RecordAnswer(now, now, "s", []string{"other"})
		}
		report := q.Update(now, "peer")
		now += ms
		q.RecordAnswer(now, now, "s", []string{"p"})
		_, blocked := q.Blocked(now, "s", []string{"p"})
		assert.Assert(t, !blocked)
		q.Merge(now+ms, report)
		_, blocked = q.Blocked(now+ms, "s", []string{"p"})
		assert.Assert(t, !blocked, "blocked by an old report")
	})
}

// Any order of merges of the same reports, each any number of times, leads to the same evidence.
func TestMergesOfPartsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Hour
		var reports []PartUpdate
		for i := range rapid.IntRange(1, 5).Draw(t, "entries") {
			q := NewPartQuarantine(DefaultPartConfig())
			at := now - time.Minute
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * ms
				parts := []string{fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "part"))}
				if rapid.IntRange(0, 3).Draw(t, "answer") == 0 {
					q.RecordAnswer(at, at, "s", parts)
					continue
				}
				q.RecordCrash(at, "s", parts, fmt.Sprint("e", rapid.IntRange(0, 7).Draw(t, "endpoint")), i%2 == 0)
			}
			reports = append(reports, q.Update(now, "peer"))
		}
		merge := func(order []PartUpdate) PartUpdate {
			q := NewPartQuarantine(DefaultPartConfig())
			for _, r := range order {
				q.Merge(now, r)
			}
			return q.Update(now, "peer")
		}
		want := merge(reports)
		shuffled := append(rapid.Permutation(reports).Draw(t, "order"), rapid.SliceOfN(rapid.SampledFrom(reports), 0, 4).Draw(t, "again")...)
		assert.DeepEqual(t, sortedUpdate(merge(shuffled)), sortedUpdate(want))
	})
}

// sortedUpdate returns the evidence by part, since updates are in the order of their urgency.
func sortedUpdate(u PartUpdate) map[PartKey]PartSuspicion {
	out := make(map[PartKey]PartSuspicion)
	for _, s := range u.Suspicions {
		out[s.PartKey] = s
	}
	return out
}

// crashAt records crashes of endpoints at the given times, and an answer of the service without the part after
// the first.
func crashAt(q *PartQuarantine, part string, times ...time.Duration) {
	for i, at := range times {
		q.RecordCrash(at, "s", []string{part}, fmt.Sprint("e", at), false)
		if i == 0 {
			q.RecordAnswer(at+ms, at+ms, "s", []string{"other"})
		}
	}
}

func TestWhenPartIsBlocked(t *testing.T) {
	const begin = time.Minute
	blockTime := DefaultPartConfig().BlockTime
	at := func(d ...time.Duration) (out []time.Duration) {
		for _, x := range d {
			out = append(out, begin+x)
		}
		return out
	}
	tests := map[string]struct {
		setUp func(q *PartQuarantine)
		now   time.Duration // after begin
		parts []string      // of the request; p by default
		want  bool
	}{
		"two crashes":   {now: 5 * time.Second, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, 2*time.Second)...) }},
		"three crashes": {now: 5 * time.Second, want: true, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, time.Second, 2*time.Second)...) }},
		"a mass failure": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			q.RecordAnswer(begin-time.Second, begin-time.Second, "s", []string{"p"})
			crashAt(q, "p", at(0, ms, 2*ms, 300*ms, 600*ms, 900*ms)...)
		}},
		"a mass failure, the part was never answered":  {now: 5 * time.Second, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, ms, 2*ms, 50*ms, 100*ms, 200*ms)...) }},
		"crashes in turn, the part was never answered": {now: 5 * time.Second, want: true, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, 100*ms, 200*ms, 300*ms)...) }},
		"outages of the service, answered before and after": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			q.RecordAnswer(begin-time.Second, begin-time.Second, "s", []string{"p"})
			for i, d := range []time.Duration{0, ms, 2 * ms, 3100 * ms, 3101 * ms} {
				q.RecordCrash(begin+d, "s", []string{"p"}, fmt.Sprint("e", i), false)
			}
			q.RecordAnswer(begin+4*time.Second, begin+4*time.Second, "s", []string{"other"})
		}},
		"outages, others answered in between": {now: 12 * time.Second, setUp: func(q *PartQuarantine) {
			q.RecordAnswer(begin-time.Second, begin-time.Second, "s", []string{"p"})
			for outage := range 3 {
				at := begin + time.Duration(outage)*3300*ms
				q.RecordAnswer(at-100*ms, at-100*ms, "s", []string{"other"})
				for i := range 6 {
					q.RecordCrash(at+time.Duration(i)*ms, "s", []string{"p"}, fmt.Sprint("e", outage, i), false)
				}
			}
			q.RecordAnswer(begin+11*time.Second, begin+11*time.Second, "s", []string{"other"})
		}},
		"one endpoint thrice": {now: 5 * time.Second, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, 0, 0)...) }},
		"nothing is answered": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			for i := range 5 {
				q.RecordCrash(begin+time.Duration(i)*time.Second, "s", []string{"p"}, fmt.Sprint("e", i), false)
			}
		}},
		"four under answers in progress": {now: 9 * time.Second, setUp: func(q *PartQuarantine) {
			for i := range 4 {
				q.RecordCrash(begin+time.Duration(i)*time.Second, "s", []string{"p"}, fmt.Sprint("e", i), true)
			}
			q.RecordAnswer(begin+ms, begin+ms, "s", nil)
		}},
		"five under answers in progress": {now: 9 * time.Second, want: true, setUp: func(q *PartQuarantine) {
			for i := range 5 {
				q.RecordCrash(begin+time.Duration(i)*time.Second, "s", []string{"p"}, fmt.Sprint("e", i), true)
			}
			q.RecordAnswer(begin+ms, begin+ms, "s", nil)
		}},
		"answered in between": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			q.RecordAnswer(begin+3*time.Second, begin+ms, "s", []string{"p"})
		}},
		"an answer begun earlier": {now: 5 * time.Second, want: true, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			q.RecordAnswer(begin+3*time.Second, begin, "s", []string{"p"})
		}},
		"the block has ended": {now: 2*time.Second + blockTime, setUp: func(q *PartQuarantine) { crashAt(q, "p", at(0, time.Second, 2*time.Second)...) }},
		"a crash on probation": {now: 3*blockTime - time.Second, want: true, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second, 3*time.Second+blockTime)...)
		}},
		"the doubled block has ended": {now: 3*time.Second + 3*blockTime, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second, 3*time.Second+blockTime)...)
		}},
		"two parts in each crash, both in the request": {now: 5 * time.Second, parts: []string{"o", "p"}, want: true, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			crashAt(q, "o", at(0, time.Second, 2*time.Second)...)
		}},
		"two parts in each crash, the request has the one that was answered before": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			q.RecordAnswer(begin-time.Second, begin-time.Second, "s", []string{"p"})
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			crashAt(q, "o", at(0, time.Second, 2*time.Second)...)
		}},
		"two parts in each crash, the request has the one that was never answered": {now: 5 * time.Second, want: true, setUp: func(q *PartQuarantine) {
			q.RecordAnswer(begin-time.Second, begin-time.Second, "s", []string{"o"})
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			crashAt(q, "o", at(0, time.Second, 2*time.Second)...)
		}},
		"another part in all crashes and more": {now: 5 * time.Second, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second)...)
			crashAt(q, "o", at(0, time.Second, 2*time.Second, 3*time.Second)...)
		}},
		"another part in most crashes": {now: 5 * time.Second, want: true, setUp: func(q *PartQuarantine) {
			crashAt(q, "p", at(0, time.Second, 2*time.Second, 2500*ms)...)
			crashAt(q, "o", at(0, time.Second, 2*time.Second, 3*time.Second)...)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewPartQuarantine(DefaultPartConfig())
			tt.setUp(q)
			q.Expire(begin + tt.now)
			parts := tt.parts
			if parts == nil {
				parts = []string{"p"}
			}
			_, blocked := q.Blocked(begin+tt.now, "s", parts)
			assert.Equal(t, blocked, tt.want)
			_, blocked = q.Blocked(begin+tt.now, "another service", parts)
			assert.Assert(t, !blocked)
		})
	}
}

func TestUpdatesOfPartsAreBounded(t *testing.T) {
	q := NewPartQuarantine(DefaultPartConfig())
	now := time.Minute
	for i := range 5000 {
		now += 10 * ms
		q.RecordCrash(now, "s", []string{fmt.Sprint("p", i%1000)}, fmt.Sprint("e", i), false)
		q.RecordAnswer(now, now, "s", []string{fmt.Sprint("answered", i)})
	}
	u := q.Update(now, "peer")
	assert.Assert(t, len(u.Suspicions) <= maxUrgentPerUpdate+maxChangedPerUpdate+maxRepeatsPerUpdate+maxRotatedPerUpdate)
	for _, s := range u.Suspicions {
		assert.Assert(t, len(s.Crashes) <= maxCrashesPerPart)
	}
	assert.Assert(t, len(q.parts) <= maxSuspectParts)
	assert.Assert(t, len(q.answered)+len(q.older) <= 2*maxAnsweredParts)
	q.Expire(now + 3*time.Hour)
	assert.Equal(t, len(q.parts), 0)
}

// Failure: after a storm of crashes, updates held only the parts with most crashes, the same ones again and
// again, and peers never learned of the others.
func TestPeersLearnOfAllParts(t *testing.T) {
	const updates, lost = 30, 3
	q, peer := NewPartQuarantine(DefaultPartConfig()), NewPartQuarantine(DefaultPartConfig())
	now := time.Minute
	for i := range 800 {
		part := fmt.Sprint("rare", i)
		if i%2 == 0 {
			part = fmt.Sprint("frequent", i%60)
		}
		q.RecordCrash(now, "s", []string{part}, fmt.Sprint("e", i), false)
		now += ms
	}
	for i := range 3 {
		q.RecordCrash(now, "s", []string{"deadly"}, fmt.Sprint("d", i), false)
	}
	for i := range updates {
		u := q.Update(now, "peer")
		if i >= lost {
			peer.Merge(now, u)
		}
		now += 200 * ms
	}
	for key, s := range q.parts {
		assert.Assert(t, peer.parts[key] != nil, "%s is not known", key.Part)
		assert.Equal(t, peer.parts[key].open, s.open, "crashes with %s", key.Part)
	}
}

// Failure: entries that knew more crashes with a part than they keep told each other of the ones that the other
// had just deleted, without end.
func TestExchangeOfManyCrashesEnds(t *testing.T) {
	for _, cleared := range []int{0, 5, 20} {
		t.Run(fmt.Sprint(cleared, " cleared"), func(t *testing.T) {
			q, peer := NewPartQuarantine(DefaultPartConfig()), NewPartQuarantine(DefaultPartConfig())
			now := time.Minute
			for i := range 40 {
				side := q
				if i%3 == 0 {
					side = peer
				}
				side.RecordCrash(now, "s", []string{"p"}, fmt.Sprint("e", i), false)
				if i < cleared {
					q.RecordAnswer(now+ms, now+ms, "s", []string{"p"})
				}
				now += 100 * ms
			}
			exchange := func(rounds int) {
				for range rounds {
					peer.Merge(now+3*ms, q.Update(now, "peer"))
					q.Merge(now+8*ms, peer.Update(now+5*ms, "q"))
					now += 200 * ms
				}
			}
			exchange(20)
			before := q.changes + peer.changes
			exchange(20)
			assert.Equal(t, q.changes+peer.changes, before)
		})
	}
}

// An answer that began before the crashes with its part clears none, but makes the part less suspect, also at peers.
func TestPeersLearnThatPartWasAnswered(t *testing.T) {
	q, peer := NewPartQuarantine(DefaultPartConfig()), NewPartQuarantine(DefaultPartConfig())
	now := time.Minute
	q.RecordCrash(now, "s", []string{"p"}, "e", false)
	for range 5 {
		peer.Merge(now, q.Update(now, "peer"))
		now += time.Second
	}
	q.RecordAnswer(now, time.Minute-time.Second, "s", []string{"p"})
	peer.Merge(now, PartUpdate{Suspicions: changedParts(q, "peer", now)})
	assert.Equal(t, peer.parts[PartKey{"s", "p"}].open, 1)
	assert.Assert(t, peer.parts[PartKey{"s", "p"}].answered)
}

// changedParts returns what an update holds beside the parts that are sent in turn.
func changedParts(q *PartQuarantine, peer string, now time.Duration) []PartSuspicion {
	q.order = nil
	return q.Update(now, peer).Suspicions
}

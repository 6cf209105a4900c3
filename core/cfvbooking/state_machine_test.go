package cfvbooking

import (
	"fmt"
	"os"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

// fakeStore is a key-value store with the tail and the segments of one journal.
type fakeStore struct {
	revision int64
	value    []byte
	segments map[string][]byte
}

func (s *fakeStore) swap(expected int64, value []byte) bool {
	if s.revision != expected {
		return false
	}
	s.revision++
	s.value = value
	return true
}

// fakeWriter is a node that writes the journal, with its step in progress.
type fakeWriter struct {
	journal *Journal
	action  Action
	paused  bool
}

// attempt is one caller's attempt to claim a key.
type attempt struct {
	key     string
	writer  int
	waiting bool
}

// stateMachine drives several concurrent writers of one journal, with lost responses, delayed
// writes, pauses and restarts. It counts the runs of each request to check that there is at
// most one.
type stateMachine struct {
	now       time.Time
	store     *fakeStore
	writers   []*fakeWriter
	delayed   []Action // writes in progress whose writer no longer waits for them
	attempts  map[string]*attempt
	order     []string
	nextID    int
	runs      map[string]int // by key, since the key could last be claimed
	totalRuns int
}

var testConfig = Config{Window: time.Hour, MinWriteInterval: 0, RollBytes: 900}

func newStateMachine() *stateMachine {
	m := &stateMachine{
		now:      time.Unix(3_000_000, 0),
		store:    &fakeStore{segments: make(map[string][]byte)},
		attempts: make(map[string]*attempt),
		runs:     make(map[string]int),
	}
	for range 3 {
		m.writers = append(m.writers, &fakeWriter{journal: New(testConfig)})
	}
	return m
}

func (m *stateMachine) drawWriter(t *rapid.T) (*fakeWriter, int) {
	i := rapid.IntRange(0, len(m.writers)-1).Draw(t, "writer")
	return m.writers[i], i
}

// claim lets a caller claim a key, possibly one that was claimed before.
func (m *stateMachine) claim(t *rapid.T) {
	w, i := m.drawWriter(t)
	m.nextID++
	key := fmt.Sprintf("k%d", rapid.IntRange(m.nextID/8, m.nextID/4+1).Draw(t, "key"))
	id := fmt.Sprintf("a%d", m.nextID)
	m.attempts[id] = &attempt{key, i, true}
	m.order = append(m.order, id)
	c := Claim{Key: key, Fingerprint: "f", Attempt: id, Entry: "n", StartMillis: 1}
	m.handleResults(t, i, w.journal.Claim(m.now, c))
}

// handleResults sends the requests whose claims are won, as an entry does.
func (m *stateMachine) handleResults(t *rapid.T, writer int, results []Result) {
	for _, r := range results {
		a := m.attempts[r.Attempt]
		if r.Written || a == nil || !a.waiting || a.writer != writer {
			continue
		}
		a.waiting = false
		if r.Won {
			m.send(t, a, r.Attempt)
		}
	}
}

func (m *stateMachine) send(t *rapid.T, a *attempt, id string) {
	m.totalRuns++
	m.runs[a.key]++
	if m.runs[a.key] > 1 {
		t.Fatalf("key %s ran %d times", a.key, m.runs[a.key])
	}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0: // the entry crashes: the claim stays pending
	case 1: // no byte was sent: the key may be claimed again
		m.runs[a.key]--
		m.writeConclusion(t, id, StateNotRun)
	default:
		m.writeConclusion(t, id, StateDone)
	}
}

// writeConclusion passes the conclusion to a random writer, since the shard may have moved to
// another node in the meantime.
func (m *stateMachine) writeConclusion(t *rapid.T, id string, state State) {
	w, i := m.drawWriter(t)
	c := Conclusion{Key: m.attempts[id].key, Attempt: id, State: state, Response: Response{Status: 201, Body: []byte(id), Kept: true}}
	m.handleResults(t, i, w.journal.Conclude(m.now, c))
}

// giveUp lets a caller stop waiting for a claim. The request is refused as not run.
func (m *stateMachine) giveUp(t *rapid.T) {
	for _, id := range m.order {
		if a := m.attempts[id]; a.waiting {
			a.waiting = false
			m.writers[a.writer].journal.CancelClaim(id)
			m.writeConclusion(t, id, StateNotRun)
			return
		}
	}
}

// startStep starts a writer's next step.
func (m *stateMachine) startStep(t *rapid.T) {
	w, _ := m.drawWriter(t)
	if w.action.Step == StepNone && !w.paused {
		w.action = w.journal.Next(m.now)
	}
}

// endStep ends a writer's step with a success, an outage, a lost response or a delayed write.
func (m *stateMachine) endStep(t *rapid.T) {
	w, i := m.drawWriter(t)
	action := w.action
	if action.Step == StepNone || w.paused {
		return
	}
	w.action = Action{}
	switch rapid.SampledFrom([]string{"good", "good", "good", "outage", "answer lost", "late"}).Draw(t, "how") {
	case "good":
		m.succeed(t, w, i, action)
	case "outage":
		w.journal.Invalidate()
	case "answer lost":
		m.applyWrite(action)
		w.journal.Invalidate()
	case "late":
		m.delayed = append(m.delayed, action)
		w.journal.Invalidate()
	}
}

func (m *stateMachine) succeed(t *rapid.T, w *fakeWriter, i int, action Action) {
	switch action.Step {
	case StepLoad:
		m.load(t, w, i)
	case StepRoll:
		m.nextID++
		name := fmt.Sprintf("seg%d", m.nextID)
		m.store.segments[name] = EncodeSegment(action.Records)
		w.journal.Rolled(m.now, name)
	case StepWrite:
		if !m.store.swap(action.ExpectedRevision, action.Tail) {
			w.journal.Invalidate()
			return
		}
		results, err := w.journal.Written(m.now, m.store.revision, action.Tail)
		if err != nil {
			t.Fatal(err)
		}
		m.handleResults(t, i, results)
	}
}

func (m *stateMachine) load(t *rapid.T, w *fakeWriter, i int) {
	tail, err := DecodeTail(m.store.value)
	if err != nil {
		t.Fatal(err)
	}
	var segments [][]Record
	for _, s := range tail.Segments {
		records, err := DecodeSegment(m.store.segments[s.Name])
		if err != nil {
			t.Fatalf("segment %s: %v", s.Name, err)
		}
		segments = append(segments, records)
	}
	m.handleResults(t, i, w.journal.Loaded(m.now, tail, m.store.revision, segments))
}

// runSteps lets one writer perform up to four steps, all successfully.
func (m *stateMachine) runSteps(t *rapid.T) {
	w, i := m.drawWriter(t)
	for range 4 {
		if w.paused || w.action.Step != StepNone {
			return
		}
		if action := w.journal.Next(m.now); action.Step != StepNone {
			m.succeed(t, w, i, action)
		}
	}
}

// applyWrite applies a write to the store if its expected revision still matches.
func (m *stateMachine) applyWrite(action Action) {
	if action.Step == StepWrite {
		m.store.swap(action.ExpectedRevision, action.Tail)
	}
}

// applyDelayed applies a delayed write.
func (m *stateMachine) applyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	m.applyWrite(m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// pause pauses or resumes a writer.
func (m *stateMachine) pause(t *rapid.T) {
	w, _ := m.drawWriter(t)
	w.paused = !w.paused
}

// restart replaces a writer's process by a new one with an empty journal.
func (m *stateMachine) restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	w, i := m.drawWriter(t)
	if w.action.Step == StepWrite {
		m.delayed = append(m.delayed, w.action)
	}
	m.writers[i] = &fakeWriter{journal: New(testConfig)}
	for _, id := range m.order {
		if a := m.attempts[id]; a.writer == i {
			a.waiting = false
		}
	}
}

func (m *stateMachine) advanceTime(*rapid.T) { m.now = m.now.Add(20 * time.Millisecond) }

// countPending returns the number of keys in the store that are claimed without a conclusion.
// A resent request with such a key gets the reply that the outcome is unknown.
func (m *stateMachine) countPending() int {
	tail, err := DecodeTail(m.store.value)
	if err != nil {
		return 0
	}
	latest := make(map[string]State)
	for _, s := range tail.Segments {
		records, _ := DecodeSegment(m.store.segments[s.Name])
		for _, r := range records {
			latest[r.Key] = r.State
		}
	}
	for _, r := range tail.Records {
		latest[r.Key] = r.State
	}
	n := 0
	for _, s := range latest {
		if s == StatePending {
			n++
		}
	}
	return n
}

// TestKeyRunsAtMostOnce lets three concurrent writers of one journal compete for its keys and
// fails if a request runs twice.
func TestKeyRunsAtMostOnce(t *testing.T) {
	total, pending := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"claim2":  m.claim,
			"giveUp":  m.giveUp,
			"step":    m.startStep,
			"step2":   m.startStep,
			"step3":   m.startStep,
			"end":     m.endStep,
			"end2":    m.endStep,
			"end3":    m.endStep,
			"work":    m.runSteps,
			"work2":   m.runSteps,
			"work3":   m.runSteps,
			"arrive":  m.applyDelayed,
			"pause":   m.pause,
			"restart": m.restart,
			"pass":    m.advanceTime,
		})
		total += m.totalRuns
		pending += m.countPending()
	})
	if total == 0 {
		t.Fatal("no request was sent")
	}
	t.Logf("sent %d requests; %d keys stay pending", total, pending)
}

func FuzzDecodeTail(f *testing.F) {
	f.Add(EncodeTail(Tail{Segments: []Segment{{"s", time.Unix(1, 0)}}, Records: []Record{{Key: "k", At: time.Unix(1, 0)}}}))
	f.Add([]byte(`{"records":[{"state":9}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tail, err := DecodeTail(data)
		if err != nil {
			return
		}
		if _, err := DecodeTail(EncodeTail(tail)); err != nil {
			t.Fatalf("a decoded tail cannot be encoded and decoded again: %v", err)
		}
	})
}

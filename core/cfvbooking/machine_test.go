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

// fakeKey is the one key of the key-value service that a journal is written to.
type fakeKey struct {
	revision int64
	value    []byte
	segments map[string][]byte
}

func (k *fakeKey) swap(expected int64, value []byte) bool {
	if k.revision != expected {
		return false
	}
	k.revision++
	k.value = value
	return true
}

// fakeWriter is a node that writes the journal, with the step that it waits for.
type fakeWriter struct {
	journal *Journal
	work    Action
	paused  bool
}

// attempt is one caller's try at a key.
type attempt struct {
	key     string
	writer  int
	waiting bool
}

// machine drives several writers of one journal at once, with lost answers, late writes,
// pauses and new processes. Its oracle counts the requests that were sent.
type machine struct {
	now      time.Time
	store    *fakeKey
	writers  []*fakeWriter
	late     []Action // writes on the way that nobody waits for
	attempts map[string]*attempt
	order    []string
	next     int
	sent     map[string]int // runs by key since it was last free
	total    int
}

var testConfig = Config{Window: time.Hour, MinWriteInterval: 0, RollBytes: 900}

func newMachine() *machine {
	m := &machine{
		now:      time.Unix(3_000_000, 0),
		store:    &fakeKey{segments: make(map[string][]byte)},
		attempts: make(map[string]*attempt),
		sent:     make(map[string]int),
	}
	for range 3 {
		m.writers = append(m.writers, &fakeWriter{journal: New(testConfig)})
	}
	return m
}

func (m *machine) drawWriter(t *rapid.T) (*fakeWriter, int) {
	i := rapid.IntRange(0, len(m.writers)-1).Draw(t, "writer")
	return m.writers[i], i
}

// claim has a caller try a key, perhaps one that was tried before.
func (m *machine) claim(t *rapid.T) {
	w, i := m.drawWriter(t)
	m.next++
	key := fmt.Sprintf("k%d", rapid.IntRange(m.next/8, m.next/4+1).Draw(t, "key"))
	id := fmt.Sprintf("a%d", m.next)
	m.attempts[id] = &attempt{key, i, true}
	m.order = append(m.order, id)
	c := Claim{Key: key, Fingerprint: "f", Attempt: id, Entry: "n", StartMillis: 1}
	m.take(t, i, w.journal.Claim(m.now, c))
}

// take acts on results as an entry does: a claim that is won is sent.
func (m *machine) take(t *rapid.T, writer int, results []Result) {
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

func (m *machine) send(t *rapid.T, a *attempt, id string) {
	m.total++
	m.sent[a.key]++
	if m.sent[a.key] > 1 {
		t.Fatalf("key %s ran %d times", a.key, m.sent[a.key])
	}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0: // the entry dies: the claim stays pending
	case 1: // no byte left: the key is free again
		m.sent[a.key]--
		m.conclude(t, id, StateNotRun)
	default:
		m.conclude(t, id, StateDone)
	}
}

// conclude has some writer write the end, since the shard may have moved meanwhile.
func (m *machine) conclude(t *rapid.T, id string, state State) {
	w, i := m.drawWriter(t)
	c := Conclusion{Key: m.attempts[id].key, Attempt: id, State: state, Response: Response{Status: 201, Body: []byte(id), Kept: true}}
	m.take(t, i, w.journal.Conclude(m.now, c))
}

// giveUp has a caller stop waiting for a claim: it is refused as not run.
func (m *machine) giveUp(t *rapid.T) {
	for _, id := range m.order {
		if a := m.attempts[id]; a.waiting {
			a.waiting = false
			m.writers[a.writer].journal.CancelClaim(id)
			m.conclude(t, id, StateNotRun)
			return
		}
	}
}

// step starts a writer's next step.
func (m *machine) step(t *rapid.T) {
	w, _ := m.drawWriter(t)
	if w.work.Step == StepNone && !w.paused {
		w.work = w.journal.Next(m.now)
	}
}

// end ends a writer's step in one of the ways that the key-value service allows.
func (m *machine) end(t *rapid.T) {
	w, i := m.drawWriter(t)
	work := w.work
	if work.Step == StepNone || w.paused {
		return
	}
	w.work = Action{}
	switch rapid.SampledFrom([]string{"good", "good", "good", "outage", "answer lost", "late"}).Draw(t, "how") {
	case "good":
		m.good(t, w, i, work)
	case "outage":
		w.journal.Invalidate()
	case "answer lost":
		m.perform(work)
		w.journal.Invalidate()
	case "late":
		m.late = append(m.late, work)
		w.journal.Invalidate()
	}
}

func (m *machine) good(t *rapid.T, w *fakeWriter, i int, work Action) {
	switch work.Step {
	case StepLoad:
		m.load(t, w, i)
	case StepRoll:
		m.next++
		name := fmt.Sprintf("seg%d", m.next)
		m.store.segments[name] = EncodeSegment(work.Records)
		w.journal.Rolled(m.now, name)
	case StepWrite:
		if !m.store.swap(work.ExpectedRevision, work.Tail) {
			w.journal.Invalidate()
			return
		}
		results, err := w.journal.Written(m.now, m.store.revision, work.Tail)
		if err != nil {
			t.Fatal(err)
		}
		m.take(t, i, results)
	}
}

func (m *machine) load(t *rapid.T, w *fakeWriter, i int) {
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
	m.take(t, i, w.journal.Loaded(m.now, tail, m.store.revision, segments))
}

// work lets one writer do all its steps, each with a good end.
func (m *machine) work(t *rapid.T) {
	w, i := m.drawWriter(t)
	for range 4 {
		if w.paused || w.work.Step != StepNone {
			return
		}
		if work := w.journal.Next(m.now); work.Step != StepNone {
			m.good(t, w, i, work)
		}
	}
}

// perform has a write take effect, if it still can.
func (m *machine) perform(work Action) {
	if work.Step == StepWrite {
		m.store.swap(work.ExpectedRevision, work.Tail)
	}
}

// arrive lets a write that is on the way take effect.
func (m *machine) arrive(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	m.perform(m.late[i])
	m.late = append(m.late[:i], m.late[i+1:]...)
}

// pause freezes a writer or lets it go on.
func (m *machine) pause(t *rapid.T) {
	w, _ := m.drawWriter(t)
	w.paused = !w.paused
}

// restart replaces a writer's process by a new one that knows nothing.
func (m *machine) restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	w, i := m.drawWriter(t)
	if w.work.Step == StepWrite {
		m.late = append(m.late, w.work)
	}
	m.writers[i] = &fakeWriter{journal: New(testConfig)}
	for _, id := range m.order {
		if a := m.attempts[id]; a.writer == i {
			a.waiting = false
		}
	}
}

func (m *machine) pass(*rapid.T) { m.now = m.now.Add(20 * time.Millisecond) }

// unknown returns how many keys stay claimed without an end once every write is made: a
// resend of them hears that the outcome is unknown.
func (m *machine) unknown() int {
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

// TestKeyRunsAtMostOnce drives three writers of one journal against each other.
func TestKeyRunsAtMostOnce(t *testing.T) {
	total, unknown := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"claim2":  m.claim,
			"giveUp":  m.giveUp,
			"step":    m.step,
			"step2":   m.step,
			"step3":   m.step,
			"end":     m.end,
			"end2":    m.end,
			"end3":    m.end,
			"work":    m.work,
			"work2":   m.work,
			"work3":   m.work,
			"arrive":  m.arrive,
			"pause":   m.pause,
			"restart": m.restart,
			"pass":    m.pass,
		})
		total += m.total
		unknown += m.unknown()
	})
	if total == 0 {
		t.Fatal("no request was ever sent")
	}
	t.Logf("sent %d requests; %d keys end unknown", total, unknown)
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
			t.Fatalf("a tail that was read can't be read again: %v", err)
		}
	})
}

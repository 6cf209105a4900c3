package cfvbooking

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// Config configures a journal.
type Config struct {
	Window           time.Duration // how long a key is remembered
	MinWriteInterval time.Duration // least time between two writes
	RollBytes        int           // size at which the tail becomes a segment
}

// Claim asks for the right to send the request of a key once.
type Claim struct {
	Key         string
	Fingerprint string
	Attempt     string
	Entry       string
	StartMillis uint64
}

// Conclusion says how a claimed request ended.
type Conclusion struct {
	Key      string
	Attempt  string
	State    State
	Response Response
}

// Result answers a claim or a conclusion.
type Result struct {
	Attempt string
	Won     bool // the claim is written and this attempt may send
	Record  Record
	Reason  cfverror.Reason
	Written bool // the conclusion is written, or no longer matters
}

// Step is what the journal needs done next.
type Step int

// The steps.
const (
	StepNone  Step = iota
	StepLoad       // read the tail and its segments, then call Loaded
	StepWrite      // swap the tail, then call Wrote, Conflicted or Doubtful
	StepRoll       // put the segment, then call Rolled
)

// Work is one step with its data.
type Action struct {
	Step             Step
	ExpectedRevision int64 // revision at which the tail must stand
	Tail             []byte
	Records          []Record // of the segment to put
}

// Journal is the state of one shard at the node that writes it. Every write is fenced by
// the tail's revision, so a second writer costs time, never a second run. It is not safe
// for concurrent use.
type Journal struct {
	cfg      Config
	loaded   bool
	busy     bool
	revision int64
	tail     Tail
	bytes    int
	index    map[string]Record
	queue    []op
	flight   []op
	wrote    time.Time
}

// op is a claim or a conclusion that waits to be written.
type op struct {
	claim      *Claim
	conclusion *Conclusion
}

// New returns a journal that has read nothing.
func New(cfg Config) *Journal {
	return &Journal{cfg: cfg, index: make(map[string]Record)}
}

// Claim takes a claim. Its result may come at once, or from a later call.
func (j *Journal) Claim(now time.Time, c Claim) []Result {
	if j.loaded {
		if r, known := j.answer(now, c); known {
			return []Result{r}
		}
	}
	j.queue = append(j.queue, op{claim: &c})
	return nil
}

// answer returns the result of a claim whose key is already recorded.
func (j *Journal) answer(now time.Time, c Claim) (Result, bool) {
	r, ok := j.live(now, c.Key)
	switch {
	case !ok:
		return Result{}, false
	case r.Attempt == c.Attempt:
		return Result{Attempt: c.Attempt, Won: r.State == StatePending, Record: r}, true
	case r.State == StateNotRun:
		return Result{}, false
	case r.Fingerprint != c.Fingerprint:
		return Result{Attempt: c.Attempt, Reason: cfverror.ReasonKeyReused, Record: r}, true
	default:
		return Result{Attempt: c.Attempt, Record: r}, true
	}
}

// live returns the record of a key that is still remembered.
func (j *Journal) live(now time.Time, key string) (Record, bool) {
	r, ok := j.index[key]
	if !ok || now.Sub(r.At) >= j.cfg.Window {
		return Record{}, false
	}
	return r, true
}

// Conclude takes the end of a claimed request.
func (j *Journal) Conclude(now time.Time, c Conclusion) []Result {
	if len(c.Response.Body) > MaxResponseBytes {
		c.Response.Body = nil
		c.Response.Kept = false
	}
	j.queue = append(j.queue, op{conclusion: &c})
	return nil
}

// Forget drops a claim that nobody waits for any more, if it is not being written.
func (j *Journal) CancelClaim(attempt string) {
	for i, o := range j.queue {
		if o.claim != nil && o.claim.Attempt == attempt {
			j.queue = append(j.queue[:i], j.queue[i+1:]...)
			return
		}
	}
}

// Next returns what to do now. After each step but StepNone the journal waits for the
// step's end.
func (j *Journal) Next(now time.Time) Action {
	if j.busy || len(j.queue) == 0 {
		return Action{}
	}
	if !j.loaded {
		j.busy = true
		return Action{Step: StepLoad}
	}
	if now.Sub(j.wrote) < j.cfg.MinWriteInterval {
		return Action{}
	}
	if j.bytes >= j.cfg.RollBytes {
		j.busy = true
		return Action{Step: StepRoll, Records: j.tail.Records}
	}
	return j.write(now)
}

// write takes every queued op into one new tail.
func (j *Journal) write(now time.Time) Action {
	j.busy = true
	j.wrote = now
	j.flight, j.queue = j.queue, nil
	next := Tail{Segments: j.liveSegments(now), Records: append([]Record(nil), j.tail.Records...)}
	batch := make(map[string]Record)
	for _, o := range j.flight {
		if r, changes := j.apply(now, o, batch); changes {
			batch[r.Key] = r
			next.Records = append(next.Records, r)
		}
	}
	return Action{Step: StepWrite, ExpectedRevision: j.revision, Tail: EncodeTail(next)}
}

func (j *Journal) liveSegments(now time.Time) []Segment {
	var out []Segment
	for _, s := range j.tail.Segments {
		if now.Before(s.Expires) {
			out = append(out, s)
		}
	}
	return out
}

// apply returns the record that an op writes, if it changes anything after the batch so
// far.
func (j *Journal) apply(now time.Time, o op, batch map[string]Record) (Record, bool) {
	key := o.key()
	r, ok := batch[key]
	if !ok {
		r, ok = j.live(now, key)
	}
	if o.claim != nil {
		if ok && (r.State != StateNotRun || r.Attempt == o.claim.Attempt) {
			return Record{}, false
		}
		c := o.claim
		return Record{c.Key, c.Fingerprint, c.Attempt, c.Entry, c.StartMillis, StatePending, Response{}, now}, true
	}
	if !ok || r.Attempt != o.conclusion.Attempt || r.State != StatePending {
		return Record{}, false
	}
	r.State = o.conclusion.State
	r.Response = o.conclusion.Response
	return r, true
}

func (o op) key() string {
	if o.claim != nil {
		return o.claim.Key
	}
	return o.conclusion.Key
}

// Loaded takes the tail, its revision and the records of its segments. Ops that were
// being written are judged anew by what was read.
func (j *Journal) Loaded(now time.Time, tail Tail, revision int64, segments [][]Record) []Result {
	j.busy = false
	j.loaded = true
	j.adopt(now, tail, revision, segments)
	j.queue = append(j.flight, j.queue...)
	j.flight = nil
	return j.settle(now)
}

func (j *Journal) adopt(now time.Time, tail Tail, revision int64, segments [][]Record) {
	j.revision = revision
	j.tail = tail
	j.bytes = len(EncodeTail(tail))
	j.index = make(map[string]Record)
	for _, records := range segments {
		j.indexAll(now, records)
	}
	j.indexAll(now, tail.Records)
}

func (j *Journal) indexAll(now time.Time, records []Record) {
	for _, r := range records {
		if now.Sub(r.At) < j.cfg.Window {
			j.index[r.Key] = r
		}
	}
}

// settle answers the queued ops that the index already decides.
func (j *Journal) settle(now time.Time) []Result {
	var out []Result
	var rest []op
	for _, o := range j.queue {
		if r, known := j.decide(now, o); known {
			out = append(out, r)
		} else {
			rest = append(rest, o)
		}
	}
	j.queue = rest
	return out
}

func (j *Journal) decide(now time.Time, o op) (Result, bool) {
	if o.claim != nil {
		return j.answer(now, *o.claim)
	}
	c := o.conclusion
	r, ok := j.live(now, c.Key)
	if ok && r.Attempt == c.Attempt && r.State == StatePending {
		return Result{}, false
	}
	return Result{Attempt: c.Attempt, Written: true}, true
}

// Wrote says that the write took effect at the revision.
func (j *Journal) Written(now time.Time, revision int64, tail []byte) ([]Result, error) {
	j.busy = false
	t, err := DecodeTail(tail)
	if err != nil {
		return nil, err
	}
	j.revision = revision
	j.indexAll(now, t.Records[min(len(j.tail.Records), len(t.Records)):])
	j.tail = t
	j.bytes = len(tail)
	j.queue = append(j.flight, j.queue...)
	j.flight = nil
	return j.settle(now), nil
}

// Doubtful says that the step failed or its outcome is unknown: the journal is read anew
// before anything else.
func (j *Journal) Invalidate() {
	j.busy = false
	j.loaded = false
}

// Rolled says that the tail's records stand in the named segment. The tail that names it
// is written at once with the next ops.
func (j *Journal) Rolled(now time.Time, name string) {
	j.busy = false
	j.tail.Segments = append(j.tail.Segments, Segment{name, now.Add(j.cfg.Window)})
	j.tail.Records = nil
	j.bytes = 0
}

// Waiting returns the number of ops that are not written yet.
func (j *Journal) Pending() int { return len(j.queue) + len(j.flight) }

// Keys returns the number of keys remembered.
func (j *Journal) KeyCount() int { return len(j.index) }

// Expire forgets keys past the window.
func (j *Journal) Expire(now time.Time) {
	for key, r := range j.index {
		if now.Sub(r.At) >= j.cfg.Window {
			delete(j.index, key)
		}
	}
}

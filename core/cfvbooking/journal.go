package cfvbooking

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// Config configures a Journal.
type Config struct {
	Window           time.Duration // how long a key is kept
	MinWriteInterval time.Duration // minimum time between two writes
	RollBytes        int           // size of the tail at which its records are moved to a segment
}

// Claim requests the right to send the request of a key once.
type Claim struct {
	Key         string
	Fingerprint string
	Attempt     string
	Entry       string
	StartMillis uint64
}

// Conclusion reports how a claimed request ended.
type Conclusion struct {
	Key      string
	Attempt  string
	State    State
	Response Response
}

// Result is the result of a claim or a conclusion.
type Result struct {
	Attempt string
	Won     bool // the claim is written and this attempt may send the request
	Record  Record
	Reason  cfverror.Reason
	Written bool // the conclusion is written, or the key has no pending record of this attempt
}

// Step is the kind of work that a journal needs next.
type Step int

// The steps.
const (
	StepNone  Step = iota
	StepLoad       // read the tail and its segments, then call Loaded or Invalidate
	StepWrite      // compare-and-swap the tail, then call Written or Invalidate
	StepRoll       // store the segment, then call Rolled or Invalidate
)

// Action is one step with its data.
type Action struct {
	Step             Step
	ExpectedRevision int64 // revision that the stored tail must have
	Tail             []byte
	Records          []Record // of the segment to store
}

// Journal is the state of one shard on the node that writes it. Every write is fenced by the
// tail's revision, so a second writer causes delays but never a second run of a request. A
// Journal is not safe for concurrent use.
type Journal struct {
	cfg         Config
	loaded      bool
	stepRunning bool
	revision    int64
	tail        Tail
	tailBytes   int
	index       map[string]Record
	queue       []op
	inFlight    []op
	lastWrite   time.Time
}

// op is a claim or a conclusion that is not written yet. Exactly one of the fields is set.
type op struct {
	claim      *Claim
	conclusion *Conclusion
}

// New returns a journal that must load its shard before it can write.
func New(cfg Config) *Journal {
	return &Journal{cfg: cfg, index: make(map[string]Record)}
}

// Claim adds a claim. It returns the result if the key is already recorded. Otherwise a later
// call returns it.
func (j *Journal) Claim(now time.Time, c Claim) []Result {
	if j.loaded {
		if r, known := j.recordedResult(now, c); known {
			return []Result{r}
		}
	}
	j.queue = append(j.queue, op{claim: &c})
	return nil
}

// recordedResult returns the result of a claim whose key is already recorded.
func (j *Journal) recordedResult(now time.Time, c Claim) (Result, bool) {
	r, ok := j.lookUp(now, c.Key)
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

// lookUp returns the record of a key, unless it is older than the window.
func (j *Journal) lookUp(now time.Time, key string) (Record, bool) {
	r, ok := j.index[key]
	if !ok || now.Sub(r.At) >= j.cfg.Window {
		return Record{}, false
	}
	return r, true
}

// Conclude adds the conclusion of a claimed request. A later call returns its result.
func (j *Journal) Conclude(now time.Time, c Conclusion) []Result {
	if len(c.Response.Body) > MaxResponseBytes {
		c.Response.Body = nil
		c.Response.Kept = false
	}
	j.queue = append(j.queue, op{conclusion: &c})
	return nil
}

// CancelClaim removes a claim whose caller no longer waits, unless it is being written.
func (j *Journal) CancelClaim(attempt string) {
	for i, o := range j.queue {
		if o.claim != nil && o.claim.Attempt == attempt {
			j.queue = append(j.queue[:i], j.queue[i+1:]...)
			return
		}
	}
}

// Next returns the action to perform now. After each step except StepNone, it returns no
// further action until the end of the step is reported.
func (j *Journal) Next(now time.Time) Action {
	if j.stepRunning || len(j.queue) == 0 {
		return Action{}
	}
	if !j.loaded {
		j.stepRunning = true
		return Action{Step: StepLoad}
	}
	if now.Sub(j.lastWrite) < j.cfg.MinWriteInterval {
		return Action{}
	}
	if j.tailBytes >= j.cfg.RollBytes {
		j.stepRunning = true
		return Action{Step: StepRoll, Records: j.tail.Records}
	}
	return j.startWrite(now)
}

// startWrite returns the write of a new tail that includes all queued ops.
func (j *Journal) startWrite(now time.Time) Action {
	j.stepRunning = true
	j.lastWrite = now
	j.inFlight, j.queue = j.queue, nil
	tail := Tail{Segments: j.unexpiredSegments(now), Records: append([]Record(nil), j.tail.Records...)}
	batch := make(map[string]Record)
	for _, o := range j.inFlight {
		if r, changed := j.nextRecord(now, o, batch); changed {
			batch[r.Key] = r
			tail.Records = append(tail.Records, r)
		}
	}
	return Action{Step: StepWrite, ExpectedRevision: j.revision, Tail: EncodeTail(tail)}
}

// unexpiredSegments returns the segments of the tail that have not expired.
func (j *Journal) unexpiredSegments(now time.Time) []Segment {
	var out []Segment
	for _, s := range j.tail.Segments {
		if now.Before(s.Expires) {
			out = append(out, s)
		}
	}
	return out
}

// nextRecord returns the record that an op writes, or false if the op changes nothing. The
// batch holds the records of the ops before it in the same write.
func (j *Journal) nextRecord(now time.Time, o op, batch map[string]Record) (Record, bool) {
	key := o.key()
	r, ok := batch[key]
	if !ok {
		r, ok = j.lookUp(now, key)
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

// Loaded replaces the contents of the journal by the tail that was read, its revision and the
// records of its segments. Ops that were being written are checked again against these.
func (j *Journal) Loaded(now time.Time, tail Tail, revision int64, segments [][]Record) []Result {
	j.stepRunning = false
	j.loaded = true
	j.replaceContents(now, tail, revision, segments)
	j.queue = append(j.inFlight, j.queue...)
	j.inFlight = nil
	return j.resolveQueue(now)
}

// replaceContents sets the tail and rebuilds the index.
func (j *Journal) replaceContents(now time.Time, tail Tail, revision int64, segments [][]Record) {
	j.revision = revision
	j.tail = tail
	j.tailBytes = len(EncodeTail(tail))
	j.index = make(map[string]Record)
	for _, records := range segments {
		j.indexAll(now, records)
	}
	j.indexAll(now, tail.Records)
}

// indexAll adds the records within the window to the index.
func (j *Journal) indexAll(now time.Time, records []Record) {
	for _, r := range records {
		if now.Sub(r.At) < j.cfg.Window {
			j.index[r.Key] = r
		}
	}
}

// resolveQueue removes the queued ops whose results the index already decides and returns
// these results.
func (j *Journal) resolveQueue(now time.Time) []Result {
	var out []Result
	var rest []op
	for _, o := range j.queue {
		if r, known := j.resolve(now, o); known {
			out = append(out, r)
		} else {
			rest = append(rest, o)
		}
	}
	j.queue = rest
	return out
}

// resolve returns the result of an op, or false if the op must still be written.
func (j *Journal) resolve(now time.Time, o op) (Result, bool) {
	if o.claim != nil {
		return j.recordedResult(now, *o.claim)
	}
	c := o.conclusion
	r, ok := j.lookUp(now, c.Key)
	if ok && r.Attempt == c.Attempt && r.State == StatePending {
		return Result{}, false
	}
	return Result{Attempt: c.Attempt, Written: true}, true
}

// Written reports that the write of the tail succeeded and returned the revision.
func (j *Journal) Written(now time.Time, revision int64, tail []byte) ([]Result, error) {
	j.stepRunning = false
	t, err := DecodeTail(tail)
	if err != nil {
		return nil, err
	}
	j.revision = revision
	j.indexAll(now, t.Records[min(len(j.tail.Records), len(t.Records)):])
	j.tail = t
	j.tailBytes = len(tail)
	j.queue = append(j.inFlight, j.queue...)
	j.inFlight = nil
	return j.resolveQueue(now), nil
}

// Invalidate reports that the step failed or that its outcome is unknown. The journal then
// loads its shard again before any other step.
func (j *Journal) Invalidate() {
	j.stepRunning = false
	j.loaded = false
}

// Rolled reports that the tail's records are stored in the named segment. The next write of
// the tail includes the reference to the segment.
func (j *Journal) Rolled(now time.Time, name string) {
	j.stepRunning = false
	j.tail.Segments = append(j.tail.Segments, Segment{name, now.Add(j.cfg.Window)})
	j.tail.Records = nil
	j.tailBytes = 0
}

// Pending returns the number of ops that are not written yet.
func (j *Journal) Pending() int { return len(j.queue) + len(j.inFlight) }

// KeyCount returns the number of keys in the index.
func (j *Journal) KeyCount() int { return len(j.index) }

// Expire removes the keys that are older than the window.
func (j *Journal) Expire(now time.Time) {
	for key, r := range j.index {
		if now.Sub(r.At) >= j.cfg.Window {
			delete(j.index, key)
		}
	}
}

// Package cfvbook runs the booking journals. Every entry sends its claims to the writer of the
// key's shard, which batches them into writes to the key-value store.
package cfvbook

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/io/cfvetcd"
	"coltsfootvalve/io/cfvpeer"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Limits and intervals of the writer of a journal, and its keys in the key-value store.
const (
	ShardCount       = 4
	minWriteInterval = 20 * time.Millisecond
	rollBytes        = 128 << 10
	retryDelay       = 200 * time.Millisecond
	pollInterval     = 5 * time.Millisecond
	segmentGrace     = time.Hour // how long a segment is kept after the window
	tailPrefix       = "coltsfootvalve/bookings/tail/"
	segmentPrefix    = "coltsfootvalve/bookings/segments/"
)

// KeyValueStore holds the functions of the key-value store that a journal uses.
type KeyValueStore struct {
	Get   func(ctx context.Context, key string) (value []byte, revision int64, err error)
	Swap  func(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Grant func(ctx context.Context, length time.Duration) (int64, error)
}

// Config configures Bookings. Tests replace its functions.
type Config struct {
	KeyValue KeyValueStore
	Window   func() time.Duration
	Log      cfvlog.Logger
	Metrics  *cfvmetric.Registry
}

// Bookings holds the journals of the shards that a node writes.
type Bookings struct {
	cfg     Config
	ctx     context.Context
	mu      sync.Mutex
	writers map[int]*writer
}

// ShardOf returns the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// WriterOf returns the member that writes the key's shard.
func WriterOf(key string, members []string) string {
	return cfvowner.Owner(fmt.Sprintf("bookings/%d", ShardOf(key)), members)
}

// New returns Bookings whose writers run until the context is done.
func New(ctx context.Context, cfg Config) *Bookings {
	return &Bookings{cfg: cfg, ctx: ctx, writers: make(map[int]*writer)}
}

// Claim claims a key and waits for the result. If done is closed first, the claim is cancelled.
func (b *Bookings) Claim(done <-chan struct{}, c cfvbooking.Claim) cfvpeer.ClaimReply {
	w := b.writer(ShardOf(c.Key))
	r, ok := w.submit(done, waiter{c.Attempt, false}, func(now time.Time) []cfvbooking.Result { return w.journal.Claim(now, c) })
	if !ok {
		w.cancelClaim(c.Attempt)
		return cfvpeer.ClaimReply{Reason: string(cfverror.ReasonClaimUnavailable)}
	}
	return cfvpeer.ClaimReply{Won: r.Won, Reason: string(r.Reason), Record: r.Record}
}

// Conclude writes how a claimed request ended. It reports whether that was written before done
// was closed.
func (b *Bookings) Conclude(done <-chan struct{}, c cfvbooking.Conclusion) bool {
	w := b.writer(ShardOf(c.Key))
	_, ok := w.submit(done, waiter{c.Attempt, true}, func(now time.Time) []cfvbooking.Result { return w.journal.Conclude(now, c) })
	return ok
}

// writer returns the writer of a shard, which it starts on first use.
func (b *Bookings) writer(shard int) *writer {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.writers[shard]
	if !ok {
		w = newWriter(b.cfg, shard)
		b.writers[shard] = w
		go w.run(b.ctx)
	}
	return w
}

// writer runs the journal of one shard.
type writer struct {
	cfg   Config
	shard int
	wake  chan struct{}

	mu      sync.Mutex
	journal *cfvbooking.Journal
	waiters map[waiter]chan cfvbooking.Result
}

// waiter identifies a call that waits for a result: the claim of an attempt or its conclusion.
type waiter struct {
	attempt    string
	conclusion bool
}

// newWriter returns a writer that has not been started.
func newWriter(cfg Config, shard int) *writer {
	return &writer{
		cfg:     cfg,
		shard:   shard,
		wake:    make(chan struct{}, 1),
		journal: cfvbooking.New(cfvbooking.Config{Window: cfg.Window(), MinWriteInterval: minWriteInterval, RollBytes: rollBytes}),
		waiters: make(map[waiter]chan cfvbooking.Result),
	}
}

// submit adds an op to the journal and waits for its result.
func (w *writer) submit(done <-chan struct{}, who waiter, op func(time.Time) []cfvbooking.Result) (cfvbooking.Result, bool) {
	ch := make(chan cfvbooking.Result, 1)
	w.mu.Lock()
	w.waiters[who] = ch
	w.deliver(op(time.Now()))
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-ch:
		return r, true
	case <-done:
		w.mu.Lock()
		delete(w.waiters, who)
		w.mu.Unlock()
		return cfvbooking.Result{}, false
	}
}

func (w *writer) cancelClaim(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.CancelClaim(attempt)
}

// deliver sends results to the calls that wait for them. The caller must hold w.mu.
func (w *writer) deliver(list []cfvbooking.Result) {
	for _, r := range list {
		who := waiter{r.Attempt, r.Written}
		if ch, ok := w.waiters[who]; ok {
			delete(w.waiters, who)
			ch <- r
		}
	}
}

// run performs the journal's steps until the context is done.
func (w *writer) run(ctx context.Context) {
	for {
		w.mu.Lock()
		pending := w.journal.Pending()
		w.mu.Unlock()
		w.waitForWork(ctx, pending)
		if ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		action := w.journal.Next(time.Now())
		w.mu.Unlock()
		if err := w.perform(ctx, action); err != nil {
			w.cfg.Metrics.Count("booking.stepFailed", 1)
			w.cfg.Log.Debug("A step of the booking journal of shard %d failed: %v.", w.shard, err)
			w.mu.Lock()
			w.journal.Invalidate()
			w.mu.Unlock()
			pauseAfter(ctx, err)
		}
	}
}

// waitForWork waits for the poll interval while ops are pending, otherwise for the next op.
func (w *writer) waitForWork(ctx context.Context, pending int) {
	var poll <-chan time.Time
	if pending > 0 {
		poll = time.After(pollInterval)
	}
	select {
	case <-ctx.Done():
	case <-poll:
	case <-w.wake:
	}
}

// pauseAfter waits after a failure, but not after a lost compare-and-swap.
func pauseAfter(ctx context.Context, err error) {
	if errors.Is(err, cfvetcd.ErrConflict) {
		return
	}
	cfvclock.Sleep(ctx, retryDelay)
}

func (w *writer) tailKey() string { return fmt.Sprintf("%s%d", tailPrefix, w.shard) }

func (w *writer) perform(ctx context.Context, action cfvbooking.Action) error {
	switch action.Step {
	case cfvbooking.StepLoad:
		return w.load(ctx)
	case cfvbooking.StepWrite:
		return w.write(ctx, action)
	case cfvbooking.StepRoll:
		return w.roll(ctx, action)
	}
	return nil
}

func (w *writer) load(ctx context.Context) error {
	w.cfg.Metrics.Count("booking.loads", 1)
	data, revision, err := w.cfg.KeyValue.Get(ctx, w.tailKey())
	if err != nil {
		return err
	}
	tail, err := cfvbooking.DecodeTail(data)
	if err != nil {
		return err
	}
	var segments [][]cfvbooking.Record
	for _, s := range tail.Segments {
		records, err := w.readSegment(ctx, s)
		if err != nil {
			return err
		}
		segments = append(segments, records)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliver(w.journal.Loaded(time.Now(), tail, revision, segments))
	return nil
}

// readSegment reads one segment. A segment that is missing before it expires is an error, so
// that none of its keys can be claimed again.
func (w *writer) readSegment(ctx context.Context, s cfvbooking.Segment) ([]cfvbooking.Record, error) {
	data, _, err := w.cfg.KeyValue.Get(ctx, segmentPrefix+s.Name)
	if err != nil {
		return nil, err
	}
	if len(data) == 0 {
		if time.Now().After(s.Expires) {
			return nil, nil
		}
		return nil, fmt.Errorf("booking segment %s: not found", s.Name)
	}
	return cfvbooking.DecodeSegment(data)
}

func (w *writer) write(ctx context.Context, action cfvbooking.Action) error {
	w.cfg.Metrics.Count("booking.writes", 1)
	revision, err := w.cfg.KeyValue.Swap(ctx, w.tailKey(), action.Tail, action.ExpectedRevision, 0)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	results, err := w.journal.Written(time.Now(), revision, action.Tail)
	w.deliver(results)
	return err
}

func (w *writer) roll(ctx context.Context, action cfvbooking.Action) error {
	w.cfg.Metrics.Count("booking.rolls", 1)
	lease, err := w.cfg.KeyValue.Grant(ctx, w.cfg.Window()+segmentGrace)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d/%s", w.shard, uuid.NewString())
	if _, err := w.cfg.KeyValue.Swap(ctx, segmentPrefix+name, cfvbooking.EncodeSegment(action.Records), 0, lease); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.Rolled(time.Now(), name)
	return nil
}

// Package cfvbook runs the booking journals: the writer of a shard groups claims into
// writes of the key-value service, and every entry asks the shard's writer.
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

// Bounds of a journal's writer.
const (
	ShardCount   = 4
	writeGap     = 20 * time.Millisecond
	rollBytes    = 128 << 10
	afterFailure = 200 * time.Millisecond
	tickEvery    = 5 * time.Millisecond
	segmentGrace = time.Hour // how long a segment outlives the window
	tailPrefix   = "coltsfootvalve/bookings/tail/"
	segPrefix    = "coltsfootvalve/bookings/segments/"
)

// KeyValue is the part of the key-value service that a journal needs.
type KeyValueStore struct {
	Get   func(ctx context.Context, key string) (value []byte, revision int64, err error)
	Swap  func(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Grant func(ctx context.Context, length time.Duration) (int64, error)
}

// Config configures a desk. The functions are its seams.
type Config struct {
	KeyValue KeyValueStore
	Window   func() time.Duration
	Log      cfvlog.Logger
	Metrics  *cfvmetric.Registry
}

// Desk holds the journals of the shards that a node writes.
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

// New returns a desk whose writers run until the context ends.
func New(ctx context.Context, cfg Config) *Bookings {
	return &Bookings{cfg: cfg, ctx: ctx, writers: make(map[int]*writer)}
}

// Claim claims a key and waits for the result.
func (d *Bookings) Claim(done <-chan struct{}, c cfvbooking.Claim) cfvpeer.ClaimReply {
	w := d.writer(ShardOf(c.Key))
	r, ok := w.wait(done, waiter{c.Attempt, false}, func(now time.Time) []cfvbooking.Result { return w.journal.Claim(now, c) })
	if !ok {
		w.forget(c.Attempt)
		return cfvpeer.ClaimReply{Reason: string(cfverror.ReasonClaimUnavailable)}
	}
	return cfvpeer.ClaimReply{Won: r.Won, Reason: string(r.Reason), Record: r.Record}
}

// Conclude writes how a claimed request ended and reports whether that is written.
func (d *Bookings) Conclude(done <-chan struct{}, c cfvbooking.Conclusion) bool {
	w := d.writer(ShardOf(c.Key))
	_, ok := w.wait(done, waiter{c.Attempt, true}, func(now time.Time) []cfvbooking.Result { return w.journal.Conclude(now, c) })
	return ok
}

func (d *Bookings) writer(shard int) *writer {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.writers[shard]
	if !ok {
		w = newWriter(d.cfg, shard)
		d.writers[shard] = w
		go w.run(d.ctx)
	}
	return w
}

// writer runs the journal of one shard.
type writer struct {
	cfg   Config
	shard int
	poke  chan struct{}

	mu      sync.Mutex
	journal *cfvbooking.Journal
	waiters map[waiter]chan cfvbooking.Result
}

// waiter names what waits for a result: an attempt's claim or its conclusion.
type waiter struct {
	attempt string
	end     bool
}

func newWriter(cfg Config, shard int) *writer {
	return &writer{
		cfg:     cfg,
		shard:   shard,
		poke:    make(chan struct{}, 1),
		journal: cfvbooking.New(cfvbooking.Config{Window: cfg.Window(), MinWriteInterval: writeGap, RollBytes: rollBytes}),
		waiters: make(map[waiter]chan cfvbooking.Result),
	}
}

// wait hands an op to the journal and waits for its result.
func (w *writer) wait(done <-chan struct{}, who waiter, op func(time.Time) []cfvbooking.Result) (cfvbooking.Result, bool) {
	ch := make(chan cfvbooking.Result, 1)
	w.mu.Lock()
	w.waiters[who] = ch
	w.deliver(op(time.Now()))
	w.mu.Unlock()
	select {
	case w.poke <- struct{}{}:
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

func (w *writer) forget(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.CancelClaim(attempt)
}

// deliver hands results to those that wait; the caller holds the lock.
func (w *writer) deliver(list []cfvbooking.Result) {
	for _, r := range list {
		who := waiter{r.Attempt, r.Written}
		if ch, ok := w.waiters[who]; ok {
			delete(w.waiters, who)
			ch <- r
		}
	}
}

// run does the journal's steps until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		w.mu.Lock()
		waiting := w.journal.Pending()
		w.mu.Unlock()
		w.await(ctx, waiting)
		if ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		work := w.journal.Next(time.Now())
		w.mu.Unlock()
		if err := w.do(ctx, work); err != nil {
			w.cfg.Metrics.Count("booking.stepFailed", 1)
			w.cfg.Log.Debug("A step of journal %d failed: %v.", w.shard, err)
			w.mu.Lock()
			w.journal.Invalidate()
			w.mu.Unlock()
			pause(ctx, err)
		}
	}
}

// await waits until something is to be written: for a moment while ops wait for their
// turn, else for the next op.
func (w *writer) await(ctx context.Context, waiting int) {
	var turn <-chan time.Time
	if waiting > 0 {
		turn = time.After(tickEvery)
	}
	select {
	case <-ctx.Done():
	case <-turn:
	case <-w.poke:
	}
}

// pause waits after a failure, but not after a lost race.
func pause(ctx context.Context, err error) {
	if errors.Is(err, cfvetcd.ErrConflict) {
		return
	}
	cfvclock.Sleep(ctx, afterFailure)
}

func (w *writer) tailKey() string { return fmt.Sprintf("%s%d", tailPrefix, w.shard) }

func (w *writer) do(ctx context.Context, work cfvbooking.Action) error {
	switch work.Step {
	case cfvbooking.StepLoad:
		return w.load(ctx)
	case cfvbooking.StepWrite:
		return w.write(ctx, work)
	case cfvbooking.StepRoll:
		return w.roll(ctx, work)
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
		records, err := w.segment(ctx, s)
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

// segment reads one segment. One that is gone before its time is an error, so that no
// key in it is claimed again.
func (w *writer) segment(ctx context.Context, s cfvbooking.Segment) ([]cfvbooking.Record, error) {
	data, _, err := w.cfg.KeyValue.Get(ctx, segPrefix+s.Name)
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

func (w *writer) write(ctx context.Context, work cfvbooking.Action) error {
	w.cfg.Metrics.Count("booking.writes", 1)
	revision, err := w.cfg.KeyValue.Swap(ctx, w.tailKey(), work.Tail, work.ExpectedRevision, 0)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	results, err := w.journal.Written(time.Now(), revision, work.Tail)
	w.deliver(results)
	return err
}

func (w *writer) roll(ctx context.Context, work cfvbooking.Action) error {
	w.cfg.Metrics.Count("booking.rolls", 1)
	lease, err := w.cfg.KeyValue.Grant(ctx, w.cfg.Window()+segmentGrace)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d/%s", w.shard, uuid.NewString())
	if _, err := w.cfg.KeyValue.Swap(ctx, segPrefix+name, cfvbooking.EncodeSegment(work.Records), 0, lease); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.Rolled(time.Now(), name)
	return nil
}

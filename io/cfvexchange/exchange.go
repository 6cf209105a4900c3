// Package cfvexchange keeps entries alike: each asks another one now and then for what it
// lacks, and tells what it has under way.
package cfvexchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvbelief"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Figures of the exchange.
const (
	period      = 250 * time.Millisecond // between two questions of an entry
	pullTimeout = 700 * time.Millisecond
	loadMemory  = 1500 * time.Millisecond // an older load is no longer believed
	maxBytes    = 16 << 20
)

// Config configures an Exchange.
type Config struct {
	Self        string
	Seeds       []string // addresses of other entries while none is known
	Belief      *cfvbelief.Belief
	Now         func() time.Duration
	Loads       func() map[string]cfvdispatch.Load
	Suspicions  func() []cfvlimit.Suspicion
	Suspected   func(cfvlimit.Suspicion)
	Log         cfvlog.Logger
	Count       func(name string, n int64)
	StartMillis int64
}

// Exchange asks and answers other entries. It is safe for concurrent use.
type Exchange struct {
	cfg     Config
	client  *http.Client
	mu      sync.Mutex
	seq     int64
	loads   map[string]load // by entry
	silence map[string]time.Duration
}

// load is what another entry had under way.
type load struct {
	started   int64
	sequence  int64
	at        time.Duration // when it was learned
	endpoints map[string]cfvdispatch.Load
}

// New returns an exchange.
func New(cfg Config) *Exchange {
	return &Exchange{cfg: cfg, client: cfvhttp.NewClient(pullTimeout/2, 1), loads: make(map[string]load), silence: make(map[string]time.Duration)}
}

// Handler answers other entries.
func (x *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cfvwireentryconnect.NewExchangeHandler(x, connect.WithReadMaxBytes(maxBytes)))
	return mux
}

// Run asks other entries until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	cfvclock.Every(ctx, period, func(ctx context.Context) {
		name, addr := x.pick()
		if addr == "" {
			return
		}
		if err := x.pull(ctx, addr); err != nil && ctx.Err() == nil {
			x.cfg.Count("exchange.failed", 1)
			x.lost(name, err)
			return
		}
		x.regained(name)
	})
}

// pick returns another entry at random.
func (x *Exchange) pick() (name, addr string) {
	var others []cfvfleet.Entry
	x.cfg.Belief.Read(func(v *cfvfleet.View) {
		for _, e := range v.Entries() {
			if e.Name != x.cfg.Self {
				others = append(others, e)
			}
		}
	})
	if len(others) > 0 {
		e := others[rand.IntN(len(others))]
		return e.Name, e.Addr
	}
	if len(x.cfg.Seeds) > 0 {
		a := x.cfg.Seeds[rand.IntN(len(x.cfg.Seeds))]
		return a, a
	}
	return "", ""
}

// pull asks the entry at addr for what this one lacks.
func (x *Exchange) pull(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sent := x.cfg.Now()
	client := cfvwireentryconnect.NewExchangeClient(x.client, "http://"+addr, connect.WithReadMaxBytes(maxBytes))
	resp, err := client.Pull(ctx, connect.NewRequest(&cfvwireentry.PullRequest{Entry: x.cfg.Self, AsOf: x.cfg.Belief.AsOf(), Load: x.own()}))
	if err != nil {
		return err
	}
	m := resp.Msg
	if m.GetAsOf() > x.cfg.Belief.AsOf() {
		x.cfg.Belief.Learn(addr, recordsFromWire(m.GetRecords()), m.GetAsOf(), m.GetFull())
	}
	if m.GetAgeMillis() >= 0 {
		x.cfg.Belief.Confirm(m.GetAsOf(), sent-time.Duration(m.GetAgeMillis())*time.Millisecond)
	}
	for _, l := range m.GetLoads() {
		x.take(l)
	}
	for _, s := range m.GetSuspicions() {
		x.cfg.Suspected(cfvlimit.Suspicion{
			Fingerprint: s.GetFingerprint(), Endpoints: s.GetEndpoints(),
			Until: time.Now().Add(time.Duration(s.GetLeftMillis()) * time.Millisecond),
		})
	}
	return nil
}

// Pull answers another entry.
func (x *Exchange) Pull(_ context.Context, r *connect.Request[cfvwireentry.PullRequest]) (*connect.Response[cfvwireentry.PullResponse], error) {
	if l := r.Msg.GetLoad(); l != nil {
		x.take(l)
	}
	records, asOf, full := x.cfg.Belief.Delta(r.Msg.GetAsOf())
	out := &cfvwireentry.PullResponse{AsOf: asOf, AgeMillis: -1, Full: full, Records: recordsToWire(records)}
	if age, ok := x.cfg.Belief.Age(); ok {
		out.AgeMillis = age.Milliseconds() + 1 // rounded up, so that it is never younger than it is
	}
	out.Loads = append(x.relayed(r.Msg.GetEntry()), x.own())
	for _, s := range x.cfg.Suspicions() {
		out.Suspicions = append(out.Suspicions, &cfvwireentry.Suspicion{
			Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, LeftMillis: time.Until(s.Until).Milliseconds(),
		})
	}
	return connect.NewResponse(out), nil
}

func (x *Exchange) lost(name string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.silence[name]; !ok {
		x.silence[name] = x.cfg.Now()
		x.cfg.Log.Alarm("an entry does not answer", "entry", name, "error", err.Error())
	}
}

func (x *Exchange) regained(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if since, ok := x.silence[name]; ok {
		delete(x.silence, name)
		x.cfg.Log.Say("an entry answers again", "entry", name, "awayMillis", (x.cfg.Now() - since).Milliseconds())
	}
}

// own returns what this entry has under way.
func (x *Exchange) own() *cfvwireentry.Load {
	x.mu.Lock()
	x.seq++
	out := &cfvwireentry.Load{Entry: x.cfg.Self, Started: x.cfg.StartMillis, Sequence: x.seq}
	x.mu.Unlock()
	for id, l := range x.cfg.Loads() {
		out.Endpoints = append(out.Endpoints, &cfvwireentry.EndpointLoad{Id: id, Running: uint32(l.Running), Tokens: uint32(l.Tokens)})
	}
	return out
}

// maxRelayed bounds the loads of other entries that an answer carries.
const maxRelayed = 12

// relayed returns fresh loads of others for the asking entry.
func (x *Exchange) relayed(asking string) []*cfvwireentry.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*cfvwireentry.Load
	for name, l := range x.loads {
		if name == asking || x.cfg.Now()-l.at > loadMemory/2 || len(out) >= maxRelayed {
			continue
		}
		w := &cfvwireentry.Load{Entry: name, Started: l.started, Sequence: l.sequence}
		for id, e := range l.endpoints {
			w.Endpoints = append(w.Endpoints, &cfvwireentry.EndpointLoad{Id: id, Running: uint32(e.Running), Tokens: uint32(e.Tokens)})
		}
		out = append(out, w)
	}
	return out
}

// take keeps the load of another entry if it is newer than the one known.
func (x *Exchange) take(w *cfvwireentry.Load) {
	if w.GetEntry() == x.cfg.Self {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	have := x.loads[w.GetEntry()]
	if w.GetStarted() < have.started || w.GetStarted() == have.started && w.GetSequence() <= have.sequence {
		return
	}
	l := load{started: w.GetStarted(), sequence: w.GetSequence(), at: x.cfg.Now(), endpoints: make(map[string]cfvdispatch.Load)}
	for _, e := range w.GetEndpoints() {
		l.endpoints[e.GetId()] = cfvdispatch.Load{Running: int(e.GetRunning()), Tokens: int(e.GetTokens())}
	}
	x.loads[w.GetEntry()] = l
}

// Loads returns what all other entries have at the endpoints, as far as it is fresh.
func (x *Exchange) Loads() map[string]cfvdispatch.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[string]cfvdispatch.Load)
	for name, l := range x.loads {
		if x.cfg.Now()-l.at > loadMemory {
			delete(x.loads, name)
			continue
		}
		for id, e := range l.endpoints {
			sum := out[id]
			out[id] = cfvdispatch.Load{Running: sum.Running + e.Running, Tokens: sum.Tokens + e.Tokens}
		}
	}
	return out
}

func recordsToWire(records []cfvmirror.Record) []*cfvwireentry.Record {
	out := make([]*cfvwireentry.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &cfvwireentry.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}

func recordsFromWire(records []*cfvwireentry.Record) []cfvmirror.Record {
	out := make([]cfvmirror.Record, 0, len(records))
	for _, r := range records {
		out = append(out, cfvmirror.Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()})
	}
	return out
}

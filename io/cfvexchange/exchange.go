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
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Figures of the exchange.
const (
	pullInterval      = 200 * time.Millisecond // between two questions of an entry to its hub
	relayPullInterval = 100 * time.Millisecond // between two questions of a hub to others
	pullTimeout       = 700 * time.Millisecond
	loadTTL           = 1500 * time.Millisecond // an older load is no longer believed
	maxMessageBytes   = 16 << 20
	peerBackoff       = 2 * time.Second // a hub that did not answer is not asked for so long
	randomPullEvery   = 16              // one in so many questions of a hub goes to any entry
)

// Config configures an Exchange.
type Config struct {
	Self         string
	Domain       string
	Seeds        []string // addresses of other entries while none is known
	State        *cfvstate.State
	Now          func() time.Duration
	Loads        func() map[string]cfvdispatch.Load
	Demands      func() map[string]cfvdispatch.Demand // by service
	Parts        func(func(c *cfvparts.Catalog))
	Suspicions   func() []cfvlimit.Suspicion
	AddSuspicion func(cfvlimit.Suspicion)
	Log          cfvlog.Logger
	Count        func(name string, n int64)
	StartMillis  int64
}

// Exchange asks and answers other entries. It is safe for concurrent use.
type Exchange struct {
	cfg      Config
	client   *http.Client
	mu       sync.Mutex
	sequence int64
	loads    map[string]peerLoad // by entry
	failedAt map[string]time.Duration
	round    int
}

// everyone is the name under which a hub tells the load of all entries but the asking one.
const allEntries = "*"

// load is what another entry had under way.
type peerLoad struct {
	started    int64
	sequence   int64
	receivedAt time.Duration // when it was learned
	endpoints  map[string]cfvdispatch.Load
	demands    map[string]cfvdispatch.Demand
}

// New returns an exchange.
func New(cfg Config) *Exchange {
	return &Exchange{cfg: cfg, client: cfvhttp.NewClient(pullTimeout/2, 1), loads: make(map[string]peerLoad), failedAt: make(map[string]time.Duration)}
}

// Handler returns the path and the handler of the interface for entries.
func (x *Exchange) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewExchangeHandler(x, connect.WithReadMaxBytes(maxMessageBytes))
}

// Run asks other entries until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	for {
		hub, name, addr := x.choosePeer()
		if addr != "" {
			x.pullFrom(ctx, name, addr)
		}
		period := pullInterval
		if hub {
			period = relayPullInterval
		}
		if !cfvclock.Sleep(ctx, period) {
			return
		}
	}
}

func (x *Exchange) pullFrom(ctx context.Context, name, addr string) {
	err := x.pull(ctx, addr)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		x.cfg.Count("exchange.failed", 1)
		x.recordFailure(name, err)
	default:
		x.recordSuccess(name)
	}
}

// pick returns whom to ask next: hubs ask each other in turn, the others ask a hub that
// answers, and seeds are asked while no other entry is known.
func (x *Exchange) choosePeer() (hub bool, name, addr string) {
	var entries []cfvfleet.Entry
	x.cfg.State.Read(func(v *cfvfleet.View) { entries = v.Entries() })
	hubs := cfvfleet.RelaysByProximity(cfvfleet.Entry{Name: x.cfg.Self, Domain: x.cfg.Domain}, entries)
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(hubs) == 0 {
		if len(x.cfg.Seeds) == 0 {
			return false, "", ""
		}
		a := x.cfg.Seeds[rand.IntN(len(x.cfg.Seeds))]
		return false, a, a
	}
	x.round++
	if cfvfleet.IsRelay(x.cfg.Self, entries) {
		h := hubs[x.round%len(hubs)]
		if x.round%randomPullEvery == 0 {
			h = entries[rand.IntN(len(entries))]
		}
		return true, h.Name, h.Addr
	}
	for _, h := range hubs {
		if since, silent := x.failedAt[h.Name]; !silent || x.cfg.Now()-since > peerBackoff {
			return false, h.Name, h.Addr
		}
	}
	e := entries[rand.IntN(len(entries))]
	return false, e.Name, e.Addr
}

// pull asks the entry at addr for what this one lacks.
func (x *Exchange) pull(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sent := x.cfg.Now()
	client := cfvwireentryconnect.NewExchangeClient(x.client, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
	resp, err := client.Pull(ctx, connect.NewRequest(&cfvwireentry.PullRequest{
		Entry: x.cfg.Self, AsOf: x.cfg.State.AsOf(), Load: x.ownLoad(), Stores: x.storePositions(),
	}))
	if err != nil {
		return err
	}
	m := resp.Msg
	if m.GetAsOf() > x.cfg.State.AsOf() {
		x.cfg.State.Apply(addr, recordsFromWire(m.GetRecords()), m.GetAsOf(), m.GetFull())
	}
	if m.GetAgeMillis() >= 0 {
		x.cfg.State.Confirm(m.GetAsOf(), sent-time.Duration(m.GetAgeMillis())*time.Millisecond)
	}
	for _, l := range m.GetLoads() {
		x.applyLoad(l)
	}
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, n := range m.GetStores() {
			c.Merge(sent, storeUpdateFromWire(n))
		}
	})
	for _, s := range m.GetSuspicions() {
		x.cfg.AddSuspicion(cfvlimit.Suspicion{
			Fingerprint: s.GetFingerprint(), Endpoints: s.GetEndpoints(),
			Until: time.Now().Add(time.Duration(s.GetLeftMillis()) * time.Millisecond),
		})
	}
	return nil
}

// Pull answers another entry.
func (x *Exchange) Pull(_ context.Context, r *connect.Request[cfvwireentry.PullRequest]) (*connect.Response[cfvwireentry.PullResponse], error) {
	if l := r.Msg.GetLoad(); l != nil {
		x.applyLoad(l)
	}
	records, asOf, full := x.cfg.State.Delta(r.Msg.GetAsOf())
	out := &cfvwireentry.PullResponse{AsOf: asOf, AgeMillis: -1, Full: full, Records: recordsToWire(records)}
	if age, ok := x.cfg.State.Age(); ok {
		out.AgeMillis = age.Milliseconds() + 1 // rounded up, so that it is never younger than it is
	}
	out.Loads = append(out.Loads, x.loadFor(r.Msg.GetEntry()))
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, n := range c.UpdatesSince(x.cfg.Now(), positionsFromWire(r.Msg.GetStores())) {
			out.Stores = append(out.Stores, storeUpdateToWire(n))
		}
	})
	for _, s := range x.cfg.Suspicions() {
		out.Suspicions = append(out.Suspicions, &cfvwireentry.Suspicion{
			Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, LeftMillis: time.Until(s.Until).Milliseconds(),
		})
	}
	return connect.NewResponse(out), nil
}

func (x *Exchange) recordFailure(name string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, already := x.failedAt[name]
	x.failedAt[name] = x.cfg.Now()
	if !already {
		x.cfg.Log.Warnw("an entry does not answer", "entry", name, "error", err.Error())
	}
}

func (x *Exchange) recordSuccess(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if since, ok := x.failedAt[name]; ok {
		delete(x.failedAt, name)
		x.cfg.Log.Infow("an entry answers again", "entry", name, "awayMillis", (x.cfg.Now() - since).Milliseconds())
	}
}

// positions returns how far this entry's knowledge of the stores goes.
func (x *Exchange) storePositions() (out []*cfvwireentry.StorePosition) {
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, p := range c.Positions() {
			out = append(out, positionToWire(p))
		}
	})
	return out
}

// own returns what this entry has under way.
func (x *Exchange) ownLoad() *cfvwireentry.Load {
	x.mu.Lock()
	x.sequence++
	out := &cfvwireentry.Load{Entry: x.cfg.Self, Started: x.cfg.StartMillis, Sequence: x.sequence}
	x.mu.Unlock()
	out.Endpoints = endpointsToWire(x.cfg.Loads())
	out.Demands = demandsToWire(x.cfg.Demands())
	return out
}

// relayed returns what the asking entry is told of the loads of others: a hub, what this
// entry and those that ask it have; any other entry, what all have.
func (x *Exchange) loadFor(asking string) *cfvwireentry.Load {
	var entries []cfvfleet.Entry
	x.cfg.State.Read(func(v *cfvfleet.View) { entries = v.Entries() })
	hubs := make(map[string]bool)
	for _, h := range cfvfleet.Relays(entries) {
		hubs[h.Name] = true
	}
	sum, demands := x.cfg.Loads(), x.cfg.Demands()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	out := &cfvwireentry.Load{Entry: allEntries, Started: x.cfg.StartMillis, Sequence: x.sequence}
	if hubs[asking] {
		out.Entry = x.cfg.Self
	}
	for name, l := range x.loads {
		if name == asking || name == allEntries || x.cfg.Now()-l.receivedAt > loadTTL || hubs[asking] && hubs[name] {
			continue
		}
		addLoads(sum, l.endpoints)
		addDemands(demands, l.demands)
	}
	out.Endpoints, out.Demands = endpointsToWire(sum), demandsToWire(demands)
	return out
}

// add adds loads to a sum.
func addLoads(sum, loads map[string]cfvdispatch.Load) {
	for id, l := range loads {
		have := sum[id]
		sum[id] = cfvdispatch.Load{Running: have.Running + l.Running, PendingTokens: have.PendingTokens + l.PendingTokens}
	}
}

// addDemands adds demands to a sum.
func addDemands(sum, demands map[string]cfvdispatch.Demand) {
	for service, d := range demands {
		sum[service] = sum[service].Add(d)
	}
}

// take keeps the load of another entry, or of all, if it is newer than the one known.
func (x *Exchange) applyLoad(w *cfvwireentry.Load) {
	if w.GetEntry() == x.cfg.Self {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	have := x.loads[w.GetEntry()]
	// Hubs take turns to tell the load of all, each with a sequence of its own.
	if w.GetEntry() != allEntries && (w.GetStarted() < have.started || w.GetStarted() == have.started && w.GetSequence() <= have.sequence) {
		return
	}
	x.loads[w.GetEntry()] = peerLoad{
		started: w.GetStarted(), sequence: w.GetSequence(), receivedAt: x.cfg.Now(), endpoints: endpointsFromWire(w.GetEndpoints()),
		demands: demandsFromWire(w.GetDemands()),
	}
}

// Others returns what all other entries have at the endpoints and the demand there, as far
// as it is fresh.
func (x *Exchange) PeerLoads() (loads map[string]cfvdispatch.Load, demands map[string]cfvdispatch.Demand) {
	x.mu.Lock()
	defer x.mu.Unlock()
	loads, demands = make(map[string]cfvdispatch.Load), make(map[string]cfvdispatch.Demand)
	for name, l := range x.loads {
		if x.cfg.Now()-l.receivedAt > loadTTL {
			delete(x.loads, name)
		}
	}
	if all, ok := x.loads[allEntries]; ok {
		addLoads(loads, all.endpoints)
		addDemands(demands, all.demands)
		return loads, demands
	}
	for _, l := range x.loads {
		addLoads(loads, l.endpoints)
		addDemands(demands, l.demands)
	}
	return loads, demands
}

// SetSeeds says whom to ask while no other entry is known.
func (x *Exchange) SetSeeds(addrs []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cfg.Seeds = addrs
}

// Package cfvexchange synchronizes entries. Each entry regularly pulls from a peer the updates that
// it lacks: records of the key-value store, events of the cache stores, loads and suspicions. It
// reports its own load with the request.
package cfvexchange

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// Intervals, timeouts and limits of the exchange.
const (
	pullInterval      = 200 * time.Millisecond // of an entry that is no relay
	relayPullInterval = 100 * time.Millisecond // of a relay entry
	pullTimeout       = 700 * time.Millisecond
	loadTTL           = 1500 * time.Millisecond // an older load is ignored
	maxQuickPulls     = 9                       // pulls in quick succession while peers do not respond
	maxMessageBytes   = 16 << 20
	randomPullEvery   = 16 // every nth pull of a relay goes to a random entry
)

// Config configures an Exchange.
type Config struct {
	Self         string
	Domain       string
	Seeds        []string // addresses to pull from while no other entry is known
	State        *cfvstate.State
	Now          func() time.Duration
	Loads        func() map[string]cfvdispatch.Load   // of this entry, by endpoint
	Demands      func() map[string]cfvdispatch.Demand // of this entry, by service
	Parts        func(func(c *cfvparts.Catalog))
	Suspicions   func() []cfvlimit.Suspicion
	AddSuspicion func(cfvlimit.Suspicion)
	PartUpdate   func(peer string) cfvlimit.PartUpdate // what a peer should know about parts of prompts that crash endpoints
	MergeParts   func(cfvlimit.PartUpdate)
	Notices      func() []cfvnotice.Update // what endpoints said of themselves
	MergeNotice  func(receivedAt time.Duration, u cfvnotice.Update)
	Log          cfvlog.Logger
	Count        func(name string, n int64)
	StartMillis  int64
	StoreLost    func() bool // reports whether this entry fails to reach the key-value store
	IsLeader     func() bool // reports whether this entry is the leader, which removes entries that are gone
}

// Exchange pulls from peers and serves their pulls. It is safe for concurrent use.
type Exchange struct {
	cfg      Config
	client   *http.Client
	send     func(ctx context.Context, addr string, req *cfvwireentry.PullRequest) (*cfvwireentry.PullResponse, error)
	mu       sync.Mutex
	sequence int64
	loads    map[string]peerLoad      // by entry
	failedAt map[string]time.Duration // first failure of peers that do not respond, by name
	heardAt  map[string]time.Duration // last response or pull of peers, by name
	pulling  map[string]bool          // peers that are being pulled from, by name

	respondedAt time.Duration    // last response of any peer, or the start
	started     map[string]int64 // start of the process that last responded at an address, in Unix milliseconds
	round       int              // number of pulls so far

	conditions    *cfvfleet.Conditions
	settledRoster liveRoster
	currentRoster liveRoster
	nextCheck     int // index of the entry that was checked last
}

// allEntries is the entry name under which a peer reports the total load of all entries but the
// one that pulls.
const allEntries = "*"

// peerLoad is the running work that a peer reported.
type peerLoad struct {
	started    int64 // start of the process that counts sequence, in Unix milliseconds
	sequence   int64
	receivedAt time.Duration
	endpoints  map[string]cfvdispatch.Load
	demands    map[string]cfvdispatch.Demand
}

// New returns an exchange.
func New(cfg Config) *Exchange {
	if cfg.StoreLost == nil {
		cfg.StoreLost = func() bool { return false }
	}
	if cfg.IsLeader == nil {
		cfg.IsLeader = func() bool { return false }
	}
	x := &Exchange{
		cfg: cfg, client: cfvhttp.NewClient(pullTimeout/2, 1), loads: make(map[string]peerLoad), started: make(map[string]int64), conditions: cfvfleet.NewConditions(),
		failedAt: make(map[string]time.Duration), heardAt: make(map[string]time.Duration), pulling: make(map[string]bool),
	}
	x.send, x.respondedAt = x.sendPull, cfg.Now()
	return x
}

// Handler returns the path and the handler of the pulls of peers.
func (x *Exchange) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewExchangeHandler(x, connect.WithReadMaxBytes(maxMessageBytes))
}

// Run pulls from peers until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.recheck(ctx)
	for failures := 0; ; {
		isRelay, name, addr := x.choosePeer()
		late := false
		interval := pullInterval
		if isRelay {
			interval = relayPullInterval
		}
		if addr != "" {
			late = !x.pullInTime(ctx, name, addr)
		}
		if failures++; !late {
			failures = 0
		}
		if late && failures <= maxQuickPulls { // another peer may have what this entry lacks
			interval = failedInterval
		}
		if !cfvclock.Sleep(ctx, interval) {
			return
		}
	}
}

// pullInTime pulls from a peer and reports whether it responded without delay. A pull that is delayed goes on.
func (x *Exchange) pullInTime(ctx context.Context, name, addr string) bool {
	done := make(chan bool, 1)
	go func() { done <- x.pullFrom(ctx, name, addr) }()
	delay := time.NewTimer(pullDelay)
	defer delay.Stop()
	select {
	case ok := <-done:
		return ok
	case <-delay.C:
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.pulling[name] {
			x.cfg.Count("exchange.delayed", 1)
			x.conditions.Delayed(x.cfg.Now(), name)
		}
		return false
	}
}

// pullFrom pulls from a peer and records whether it responded.
func (x *Exchange) pullFrom(ctx context.Context, name, addr string) (ok bool) {
	x.mu.Lock()
	if x.pulling[name] {
		x.mu.Unlock()
		return false
	}
	x.pulling[name] = true
	x.mu.Unlock()
	conditions, err := x.pull(ctx, addr)
	x.mu.Lock()
	delete(x.pulling, name)
	x.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil:
		x.cfg.Count("exchange.failed", 1)
		x.recordFailure(name, err)
		return false
	}
	x.recordSuccess(name, conditions)
	return true
}

// pull sends this entry's load to the peer at addr and applies the updates in its response. It returns the conditions
// that the peer reports.
func (x *Exchange) pull(ctx context.Context, addr string) (conditions []cfvfleet.Condition, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sentAt := x.cfg.Now()
	msg, err := x.send(ctx, addr, x.pullRequest(addr))
	if err != nil {
		return nil, err
	}
	if loads := msg.GetLoads(); len(loads) > 0 {
		x.mu.Lock()
		x.started[addr] = loads[0].GetStarted()
		x.mu.Unlock()
	}
	x.applyState(addr, sentAt, msg)
	receivedAt := x.cfg.Now() // an age must not grow by the time of each pull
	for _, w := range msg.GetWeights() {
		age := time.Duration(w.GetAgeMillis()) * time.Millisecond // rounded down
		x.cfg.State.SetWeightsSince(w.GetModel(), w.GetVersion(), sentAt-age-time.Millisecond, receivedAt-age)
	}
	for _, w := range msg.GetHeardWeights() {
		x.cfg.State.SetWeightsHeard(w.GetModel(), w.GetVersion(), receivedAt-time.Duration(w.GetAgeMillis())*time.Millisecond)
	}
	for _, l := range msg.GetLoads() {
		x.applyLoad(l)
	}
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, update := range msg.GetStores() {
			c.Merge(sentAt, storeUpdateFromWire(update))
		}
	})
	x.mergeSuspicions(msg)
	x.mergeNotices(sentAt, msg.GetNotices(), msg.GetBrittle()) // an echo of an own notice must not look newer than that
	return conditionsFromWire(msg.GetConditions()), nil
}

// sendPull sends a pull to the peer at addr.
func (x *Exchange) sendPull(ctx context.Context, addr string, req *cfvwireentry.PullRequest) (*cfvwireentry.PullResponse, error) {
	client := cfvwireentryconnect.NewExchangeClient(x.client, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
	resp, err := client.Pull(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// pullRequest returns the request of a pull from the peer at addr. It also tells the peer what this entry
// has seen, since a relay seldom pulls from an entry that is none.
func (x *Exchange) pullRequest(addr string) *cfvwireentry.PullRequest {
	x.mu.Lock()
	peer := fmt.Sprintf("%s/%d", addr, x.started[addr]) // a restarted one has to be told all again
	x.mu.Unlock()
	u := x.cfg.PartUpdate(peer)
	notices, brittle := noticesToWire(x.cfg.Notices())
	asOf := x.cfg.State.AsOf()
	return &cfvwireentry.PullRequest{
		Entry: x.cfg.Self, AsOf: asOf.Number(), Era: proto.Int64(asOf.Era()), Untold: proto.Int64(asOf.History().Untold()), Load: x.ownLoad(), Stores: x.storePositions(),
		Parts: partsToWire(u.Suspicions), Served: servedToWire(u.Served), Suspicions: suspicionsToWire(time.Now(), x.cfg.Suspicions()),
		Notices: notices, Brittle: brittle,
	}
}

// Pull serves a pull of a peer: it records the peer's load and returns the updates that the peer
// lacks.
func (x *Exchange) Pull(_ context.Context, req *connect.Request[cfvwireentry.PullRequest]) (*connect.Response[cfvwireentry.PullResponse], error) {
	if l := req.Msg.GetLoad(); l != nil {
		x.applyLoad(l)
	}
	x.mu.Lock()
	x.heardAt[req.Msg.GetEntry()] = x.cfg.Now()
	x.mu.Unlock()
	x.mergeSuspicions(req.Msg)
	x.mergeNotices(x.cfg.Now(), req.Msg.GetNotices(), req.Msg.GetBrittle())
	h, known := x.peerHistory(req.Msg.Era, req.Msg.Untold)
	d := x.cfg.State.Delta(h.Revision(req.Msg.GetAsOf()))
	out := &cfvwireentry.PullResponse{AsOf: d.AsOf.Number(), Era: proto.Int64(d.AsOf.Era()), Untold: proto.Int64(d.AsOf.History().Untold()), AgeMillis: -1, Full: d.Full, Records: recordsToWire(d.Records), Lost: lostToWire(d.Lost)}
	if d.Known && known { // a peer of an earlier release would take it for the age of its state from before a restore
		out.AgeMillis = d.Age.Milliseconds() + 1 // rounded up, since an age must never be understated
	}
	x.cfg.State.Read(func(v *cfvfleet.View) { out.Weights, out.HeardWeights = weightsToWire(x.cfg.Now(), v) })
	out.Loads = append(out.Loads, x.loadFor(req.Msg.GetEntry()))
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, update := range c.UpdatesSince(x.cfg.Now(), positionsFromWire(req.Msg.GetStores())) {
			out.Stores = append(out.Stores, storeUpdateToWire(update))
		}
	})
	u := x.cfg.PartUpdate(fmt.Sprintf("%s/%d", req.Msg.GetEntry(), req.Msg.GetLoad().GetStarted()))
	out.Parts, out.Served = partsToWire(u.Suspicions), servedToWire(u.Served)
	out.Suspicions = suspicionsToWire(time.Now(), x.cfg.Suspicions())
	out.Notices, out.Brittle = noticesToWire(x.cfg.Notices())
	out.Conditions = x.conditionsToWire()
	return connect.NewResponse(out), nil
}

// recordFailure records that a peer did not respond. It logs the first failure in a row.
func (x *Exchange) recordFailure(name string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conditions.Failed(x.cfg.Now(), name)
	if _, alreadyFailed := x.failedAt[name]; !alreadyFailed {
		x.failedAt[name] = x.cfg.Now()
		x.cfg.Log.Warnw("a peer does not respond", "entry", name, "error", err.Error())
	}
}

// recordSuccess records that a peer responded, and the conditions that it reported.
func (x *Exchange) recordSuccess(name string, conditions []cfvfleet.Condition) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conditions.Responded(x.cfg.Now(), name, conditions)
	x.heardAt[name], x.respondedAt = x.cfg.Now(), x.cfg.Now()
	if since, ok := x.failedAt[name]; ok {
		delete(x.failedAt, name)
		x.cfg.Log.Infow("a peer responds again", "entry", name, "awayMillis", (x.cfg.Now() - since).Milliseconds())
	}
}

// storePositions returns the position up to which this entry has applied the events of each
// store.
func (x *Exchange) storePositions() (out []*cfvwireentry.StorePosition) {
	x.cfg.Parts(func(c *cfvparts.Catalog) {
		for _, p := range c.Positions() {
			out = append(out, positionToWire(p))
		}
	})
	return out
}

// ownLoad returns the load and the demand of this entry.
func (x *Exchange) ownLoad() *cfvwireentry.Load {
	x.mu.Lock()
	x.sequence++
	out := &cfvwireentry.Load{Entry: x.cfg.Self, Started: x.cfg.StartMillis, Sequence: x.sequence}
	x.mu.Unlock()
	out.Endpoints = endpointsToWire(x.cfg.Loads())
	out.Demands = demandsToWire(x.cfg.Demands())
	return out
}

// loadFor returns the load that is reported to the asking entry. A relay gets the sum over this
// entry and the other entries that pull from it; any other entry gets the sum over all
// entries but itself.
func (x *Exchange) loadFor(asking string) *cfvwireentry.Load {
	relays := make(map[string]bool)
	for _, relay := range x.Roster().Relays() {
		relays[relay.Name] = true
	}
	sum, demands := x.cfg.Loads(), x.cfg.Demands()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	out := &cfvwireentry.Load{Entry: allEntries, Started: x.cfg.StartMillis, Sequence: x.sequence}
	if relays[asking] {
		out.Entry = x.cfg.Self
	}
	for name, l := range x.loads {
		if name == asking || name == allEntries || x.cfg.Now()-l.receivedAt > loadTTL || relays[asking] && relays[name] {
			continue
		}
		addLoads(sum, l.endpoints)
		addDemands(demands, l.demands)
	}
	out.Endpoints, out.Demands = endpointsToWire(sum), demandsToWire(demands)
	return out
}

// applyLoad stores the load of a peer, or of all entries, if it is newer than the stored one.
func (x *Exchange) applyLoad(reported *cfvwireentry.Load) {
	if reported.GetEntry() == x.cfg.Self {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	current := x.loads[reported.GetEntry()]
	// The load of all entries comes from several relays, each with its own sequence, so sequences
	// cannot be compared.
	if reported.GetEntry() != allEntries && (reported.GetStarted() < current.started || reported.GetStarted() == current.started && reported.GetSequence() <= current.sequence) {
		return
	}
	x.loads[reported.GetEntry()] = peerLoad{
		started: reported.GetStarted(), sequence: reported.GetSequence(), receivedAt: x.cfg.Now(), endpoints: endpointsFromWire(reported.GetEndpoints()),
		demands: demandsFromWire(reported.GetDemands()),
	}
}

// PeerLoads returns the total load of all other entries by endpoint and their demand by service,
// without loads older than loadTTL. The total that a relay reported is preferred.
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

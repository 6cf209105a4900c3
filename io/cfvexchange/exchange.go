// Package cfvexchange synchronizes entries. Each entry regularly pulls from a peer the updates that
// it lacks: records of the key-value store, events of the cache stores, loads and suspicions. It
// reports its own load with the request.
package cfvexchange

import (
	"context"
	"fmt"
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
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Intervals, timeouts and limits of the exchange.
const (
	pullInterval      = 200 * time.Millisecond // of an entry that is no relay
	relayPullInterval = 100 * time.Millisecond // of a relay entry
	pullTimeout       = 700 * time.Millisecond
	loadTTL           = 1500 * time.Millisecond // an older load is ignored
	maxMessageBytes   = 16 << 20
	peerBackoff       = 2 * time.Second  // entries do not pull from a relay for this long after it did not respond
	relayBackoff      = 10 * time.Second // relays do not pull from another one for this long after it did not respond
	randomPullEvery   = 16               // every nth pull of a relay goes to a random entry
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
}

// Exchange pulls from peers and serves their pulls. It is safe for concurrent use.
type Exchange struct {
	cfg      Config
	client   *http.Client
	mu       sync.Mutex
	sequence int64
	loads    map[string]peerLoad      // by entry
	failedAt map[string]time.Duration // last failure of peers that do not respond, by name
	started  map[string]int64         // start of the process that last responded at an address, in Unix milliseconds
	round    int                      // number of pulls so far
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
	return &Exchange{cfg: cfg, client: cfvhttp.NewClient(pullTimeout/2, 1), loads: make(map[string]peerLoad), failedAt: make(map[string]time.Duration), started: make(map[string]int64)}
}

// Handler returns the path and the handler of the pulls of peers.
func (x *Exchange) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewExchangeHandler(x, connect.WithReadMaxBytes(maxMessageBytes))
}

// Run pulls from peers until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	for {
		isRelay, name, addr := x.choosePeer()
		if addr != "" {
			x.pullFrom(ctx, name, addr)
		}
		interval := pullInterval
		if isRelay {
			interval = relayPullInterval
		}
		if !cfvclock.Sleep(ctx, interval) {
			return
		}
	}
}

// pullFrom pulls from a peer and records whether it responded.
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

// relayPeer returns the relay that this relay pulls from next: in turn from one that watches the key-value
// store, and from any. Relays that did not respond are left out for a while, since a pull from one that is
// gone takes as long as several others, and the state grows old meanwhile. The caller must hold x.mu.
func (x *Exchange) relayPeer(roster *cfvfleet.Roster, relays []cfvfleet.Entry) cfvfleet.Entry {
	lists := [][]cfvfleet.Entry{relays}
	if x.round%2 == 0 {
		lists = [][]cfvfleet.Entry{roster.Watchers(), relays}
	}
	for _, list := range lists {
		for i := range list {
			peer := list[(x.round/2+i)%len(list)]
			since, failed := x.failedAt[peer.Name]
			if peer.Name != x.cfg.Self && (!failed || x.cfg.Now()-since > relayBackoff) {
				return peer
			}
		}
	}
	return relays[x.round%len(relays)]
}

// choosePeer returns the peer to pull from next. Relays pull from each other in turn, and from a
// random entry every randomPullEvery pulls. Other entries pull from a relay that responds, if
// possible one of their failure domain, or from a random entry if no relay responds. Seeds are
// used while no other entry is known. isRelay reports whether this entry is a relay.
func (x *Exchange) choosePeer() (isRelay bool, name, addr string) {
	roster := x.roster()
	entries, relays := roster.Entries(), roster.RelaysByProximity(cfvfleet.Entry{Name: x.cfg.Self, Domain: x.cfg.Domain})
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(relays) == 0 {
		if len(x.cfg.Seeds) == 0 {
			return false, "", ""
		}
		seed := x.cfg.Seeds[rand.IntN(len(x.cfg.Seeds))]
		return false, seed, seed
	}
	x.round++
	if roster.IsRelay(x.cfg.Self) {
		peer := x.relayPeer(roster, relays)
		if x.round%randomPullEvery == 0 {
			peer = entries[rand.IntN(len(entries))]
		}
		return true, peer.Name, peer.Addr
	}
	for _, relay := range relays {
		if since, failed := x.failedAt[relay.Name]; !failed || x.cfg.Now()-since > peerBackoff {
			return false, relay.Name, relay.Addr
		}
	}
	peer := entries[rand.IntN(len(entries))]
	return false, peer.Name, peer.Addr
}

// roster returns the known entries.
func (x *Exchange) roster() (r *cfvfleet.Roster) {
	x.cfg.State.Read(func(v *cfvfleet.View) { r = v.Roster() })
	return r
}

// pull sends this entry's load to the peer at addr and applies the updates in its response.
func (x *Exchange) pull(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sentAt := x.cfg.Now()
	client := cfvwireentryconnect.NewExchangeClient(x.client, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
	resp, err := client.Pull(ctx, connect.NewRequest(x.pullRequest(addr)))
	if err != nil {
		return err
	}
	msg := resp.Msg
	if loads := msg.GetLoads(); len(loads) > 0 {
		x.mu.Lock()
		x.started[addr] = loads[0].GetStarted()
		x.mu.Unlock()
	}
	if msg.GetAsOf() > x.cfg.State.AsOf() {
		x.cfg.State.Apply(addr, recordsFromWire(msg.GetRecords()), msg.GetAsOf(), msg.GetFull())
	}
	if msg.GetAgeMillis() >= 0 {
		x.cfg.State.Confirm(msg.GetAsOf(), sentAt-time.Duration(msg.GetAgeMillis())*time.Millisecond)
	}
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
	x.mergeNotices(sentAt, msg.GetNotices()) // an echo of an own notice must not look newer than that
	return nil
}

// pullRequest returns the request of a pull from the peer at addr. It also tells the peer what this entry
// has seen, since a relay seldom pulls from an entry that is none.
func (x *Exchange) pullRequest(addr string) *cfvwireentry.PullRequest {
	x.mu.Lock()
	peer := fmt.Sprintf("%s/%d", addr, x.started[addr]) // a restarted one has to be told all again
	x.mu.Unlock()
	u := x.cfg.PartUpdate(peer)
	return &cfvwireentry.PullRequest{
		Entry: x.cfg.Self, AsOf: x.cfg.State.AsOf(), Load: x.ownLoad(), Stores: x.storePositions(),
		Parts: partsToWire(u.Suspicions), Served: servedToWire(u.Served), Suspicions: suspicionsToWire(time.Now(), x.cfg.Suspicions()),
		Notices: noticesToWire(x.cfg.Notices()),
	}
}

// Pull serves a pull of a peer: it records the peer's load and returns the updates that the peer
// lacks.
func (x *Exchange) Pull(_ context.Context, req *connect.Request[cfvwireentry.PullRequest]) (*connect.Response[cfvwireentry.PullResponse], error) {
	if l := req.Msg.GetLoad(); l != nil {
		x.applyLoad(l)
	}
	x.mergeSuspicions(req.Msg)
	x.mergeNotices(x.cfg.Now(), req.Msg.GetNotices())
	d := x.cfg.State.Delta(req.Msg.GetAsOf())
	out := &cfvwireentry.PullResponse{AsOf: d.AsOf, AgeMillis: -1, Full: d.Full, Records: recordsToWire(d.Records)}
	if d.Known {
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
	out.Notices = noticesToWire(x.cfg.Notices())
	return connect.NewResponse(out), nil
}

// recordFailure starts the backoff of a peer. It logs the first failure in a row.
func (x *Exchange) recordFailure(name string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, alreadyFailed := x.failedAt[name]
	x.failedAt[name] = x.cfg.Now()
	if !alreadyFailed {
		x.cfg.Log.Warnw("a peer does not respond", "entry", name, "error", err.Error())
	}
}

// recordSuccess ends the backoff of a peer.
func (x *Exchange) recordSuccess(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
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
	for _, relay := range x.roster().Relays() {
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

// SetSeeds sets the addresses to pull from while no other entry is known.
func (x *Exchange) SetSeeds(addrs []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cfg.Seeds = addrs
}

// Package cfvreserve lets one entry, the placer, place all long prompts of a group of endpoints.
// The other entries ask it where to send a long prompt, and report when the prefill is done and
// when the request is over.
package cfvreserve

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
)

// Timeouts and limits of calls to the placer.
const (
	reserveTimeout       = 200 * time.Millisecond // after this the entry chooses an endpoint itself; VMs with a quota stand still for up to 80 ms
	maxTimeouts          = 3                      // timeouts in a row after which a placer counts as gone
	settleTimeout        = 300 * time.Millisecond
	settleInterval       = 30 * time.Millisecond // settlements of one interval are sent in one call
	minPlacerBackoff     = 1 * time.Second       // a placer that is gone gets no requests for this long
	maxPlacerBackoff     = 8 * time.Second       // doubled up to this while the placer stays away
	maxQueuedSettlements = 4096                  // for each placer; further ones are dropped, and their grants expire
)

// Request describes a long prompt that needs an endpoint.
type Request struct {
	RequestID    string
	Service      string
	Model        string
	Affinity     string // key of the shared parts; empty if there are none
	Tokens       int    // tokens of the prompt
	SharedTokens int    // tokens of its shared parts
	Group        int    // group of endpoints that the prompt belongs to
	GroupCount   int
	Exclude      []string       // endpoints that must not be chosen
	Domain       string         // failure domain of the entry that asks
	Entry        string         // the entry that asks
	Parts        []cfvcall.Part // the shared parts in order
	Objective    time.Duration  // latency objective of the first event; 0: none
	Elapsed      time.Duration  // since the request arrived
	Patience     time.Duration  // how long after its arrival the caller waits for the first event
	Isolated     string         // workspace that shares no parts with others; empty if the parts are shared
	Candidate    bool           // the prompt goes to endpoints of the software version that is rolled out
}

// Placement is the endpoint that a placer chose for a prompt, and the transfers of the shared
// parts that it planned. If all endpoints are too busy, there is no endpoint, but either Hold or
// RetryAfter.
type Placement struct {
	Endpoint   string
	Hold       time.Duration // ask again after this time
	RetryAfter time.Duration // the endpoints are overloaded, and the caller may return after this time
	Salt       string        // cache salt that the transfers are planned for
	Transfers  cfvparts.Transfers
}

// Config configures a Reserver.
type Config struct {
	Self   string
	Relays func() []cfvfleet.Entry
	Place  func(Request) (Placement, bool)           // places a prompt, if this entry is the placer
	Settle func(endpoint, request string, over bool) // records a settlement, if this entry is the placer
	Now    func() time.Duration
	Log    cfvlog.Logger
	Count  func(name string, n int64)
}

// maxMessageBytes is the maximum size of a message of a peer. maxQueuedSettlements settlements are the longest ones.
const maxMessageBytes = 1 << 20

// placerFailures are the failed calls to one placer since it responded last.
type placerFailures struct {
	timeouts int           // in a row, before the placer counted as gone
	backoff  time.Duration // last backoff; 0: it does not count as gone
	until    time.Duration // end of the backoff
}

// Reserver obtains grants from placers, one of which may be this entry. It is safe for
// concurrent use.
type Reserver struct {
	cfg         Config
	client      *http.Client
	mu          sync.Mutex
	failures    map[string]placerFailures          // by name of the placer
	settlements map[string][]*cfvwireentry.Settled // waiting to be sent, by address of the placer
	queued      chan struct{}                      // has an element while settlements wait
}

// New returns a reserver.
func New(cfg Config) *Reserver {
	return &Reserver{
		cfg: cfg, client: cfvhttp.NewClient(reserveTimeout, 4), failures: make(map[string]placerFailures),
		settlements: make(map[string][]*cfvwireentry.Settled), queued: make(chan struct{}, 1),
	}
}

// Handler returns the path and the handler of the placement calls of peers.
func (r *Reserver) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewPlacementHandler(server{r}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Grant is the placement of a prompt by a placer.
type Grant struct {
	Placement
	Placer cfvfleet.Entry
}

// Reserve returns a grant for a prompt, and false if this entry must choose the endpoint itself. A grant
// without an endpoint tells to hold or to reject the request.
func (r *Reserver) Reserve(ctx context.Context, req Request) (grant Grant, ok bool) {
	placer, ok := r.placer(req)
	if !ok {
		r.cfg.Count("placement.noPlacer", 1)
		return grant, false
	}
	grant.Placer = placer
	if placer.Name == r.cfg.Self {
		grant.Placement, ok = r.cfg.Place(req)
		return grant, ok
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	resp, err := r.clientFor(placer.Addr).Reserve(ctx, connect.NewRequest(requestToWire(req)))
	if err != nil {
		r.recordFailure(placer, err)
		return grant, false
	}
	r.recordSuccess(placer)
	grant.Placement = placementFromWire(resp.Msg)
	return grant, grant.Endpoint != "" || grant.Hold > 0 || grant.RetryAfter > 0
}

// placer returns the entry that places the prompts of a group. The relays are ranked by rendezvous hash,
// and each group begins at another rank, so that no entry places two groups while there are enough. It is
// the first one from there that is not in backoff.
func (r *Reserver) placer(req Request) (cfvfleet.Entry, bool) {
	relays := slices.Clone(r.cfg.Relays())
	if len(relays) == 0 {
		return cfvfleet.Entry{}, false
	}
	rank := func(e cfvfleet.Entry) uint64 { return xxhash.Sum64String(req.Service + "\x00" + e.Name) }
	slices.SortFunc(relays, func(x, y cfvfleet.Entry) int { return cmp.Compare(rank(x), rank(y)) })
	first := req.Group % len(relays)
	relays = slices.Concat(relays[first:], relays[:first])
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range relays {
		if r.cfg.Now() >= r.failures[relay.Name].until {
			return relay, true
		}
	}
	return cfvfleet.Entry{}, false
}

// recordSuccess records that a placer responded.
func (r *Reserver) recordSuccess(e cfvfleet.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, e.Name)
}

// recordFailure records that a placer did not respond, and starts its backoff unless it may only be slow.
// Another placer knows nothing of the grants of this one, so entries must not change placers for a short
// delay. A placer that stays away is asked once after each backoff.
func (r *Reserver) recordFailure(e cfvfleet.Entry, err error) {
	r.cfg.Count("placement.failed", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.failures[e.Name]
	if f.backoff == 0 && connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		if f.timeouts++; f.timeouts < maxTimeouts {
			r.failures[e.Name] = f
			return
		}
	}
	f.backoff = min(max(2*f.backoff, minPlacerBackoff), maxPlacerBackoff)
	f.until = r.cfg.Now() + f.backoff
	r.failures[e.Name] = f
	r.cfg.Log.Infow("the placer of long prompts does not respond", "entry", e.Name, "error", err.Error())
}

func (r *Reserver) clientFor(addr string) cfvwireentryconnect.PlacementClient {
	return cfvwireentryconnect.NewPlacementClient(r.client, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
}

// Settle reports to the placer of a prompt that the prefill is done, or that the request is over.
// Reports to peers are queued.
func (r *Reserver) Settle(grant Grant, request string, over bool) {
	if grant.Placer.Name == r.cfg.Self {
		r.cfg.Settle(grant.Endpoint, request, over)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if queued := r.settlements[grant.Placer.Addr]; len(queued) < maxQueuedSettlements {
		r.settlements[grant.Placer.Addr] = append(queued, &cfvwireentry.Settled{Endpoint: grant.Endpoint, Request: request, Over: over})
	}
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// Run sends queued settlements until the context ends.
func (r *Reserver) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.queued:
		}
		if !cfvclock.Sleep(ctx, settleInterval) {
			return
		}
		for addr, settled := range r.takeSettlements() {
			go r.sendSettlements(ctx, addr, settled)
		}
	}
}

// takeSettlements returns the queued settlements and empties the queue.
func (r *Reserver) takeSettlements() map[string][]*cfvwireentry.Settled {
	r.mu.Lock()
	defer r.mu.Unlock()
	settlements := r.settlements
	r.settlements = make(map[string][]*cfvwireentry.Settled)
	return settlements
}

// sendSettlements sends settlements to a placer. Lost ones are not sent again.
func (r *Reserver) sendSettlements(ctx context.Context, addr string, settled []*cfvwireentry.Settled) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := r.clientFor(addr).Settle(ctx, connect.NewRequest(&cfvwireentry.SettleRequest{Settled: settled})); err != nil {
		r.cfg.Count("placement.unsettled", int64(len(settled))) // the placer expires their grants
	}
}

// GroupOf returns the group of a prompt and the number of groups, given how many endpoints the
// service has.
func GroupOf(affinity string, endpoints int) (group, groups int) {
	groups = cfvdispatch.GroupCount(endpoints)
	return cfvdispatch.GroupOf(affinity, groups), groups
}

// Package cfvreserve lets one entry place all long prompts of a group of endpoints: the
// others ask it where to send one and tell it when the prompt has been read.
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
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
)

// Figures of the asking.
const (
	reserveTimeout       = 60 * time.Millisecond // then the entry chooses by itself
	settleTimeout        = 300 * time.Millisecond
	settleInterval       = 20 * time.Millisecond // settlements that come close together go in one call
	placerBackoff        = 1 * time.Second       // an entry that did not answer is not asked for so long
	maxQueuedSettlements = 4096                  // settlements that wait to be sent
)

// Ask is a long prompt that wants a place.
type Request struct {
	RequestID    string
	Service      string
	Model        string
	Affinity     string
	Tokens       int
	SharedTokens int
	Stored       bool
	Group        int
	GroupCount   int
	Exclude      []string
	Domain       string
}

// Config configures a Reserver.
type Config struct {
	Self    string
	Entries func() []cfvfleet.Entry
	Place   func(Request) (endpoint string, ok bool)  // at the entry that places
	Settle  func(endpoint, request string, over bool) // at the entry that places
	Now     func() time.Duration
	Log     cfvlog.Logger
	Count   func(name string, n int64)
}

// Reserver asks the entry that places, or is it. It is safe for concurrent use.
type Reserver struct {
	cfg          Config
	client       *http.Client
	mu           sync.Mutex
	backoffUntil map[string]time.Duration           // until when an entry is not asked
	settlements  map[string][]*cfvwireentry.Settled // by address
}

// New returns a reserver.
func New(cfg Config) *Reserver {
	return &Reserver{
		cfg: cfg, client: cfvhttp.NewClient(reserveTimeout, 4), backoffUntil: make(map[string]time.Duration),
		settlements: make(map[string][]*cfvwireentry.Settled),
	}
}

// Handler returns the path and the handler of the interface for entries.
func (r *Reserver) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewPlacementHandler(server{r})
}

// Grant is a place that an entry gave.
type Grant struct {
	Endpoint string
	Placer   cfvfleet.Entry
}

// Reserve returns a place for a prompt, and false if this entry should choose by itself.
func (r *Reserver) Reserve(ctx context.Context, a Request) (g Grant, ok bool) {
	placer, ok := r.placer(a)
	if !ok {
		r.cfg.Count("placement.noPlacer", 1)
		return g, false
	}
	g.Placer = placer
	if placer.Name == r.cfg.Self {
		g.Endpoint, ok = r.cfg.Place(a)
		return g, ok
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	resp, err := r.clientFor(placer.Addr).Reserve(ctx, connect.NewRequest(&cfvwireentry.ReserveRequest{
		Request: a.RequestID, Service: a.Service, Model: a.Model, Affinity: a.Affinity, Tokens: uint32(a.Tokens), Shared: uint32(a.SharedTokens),
		Stored: a.Stored, Group: uint32(a.Group), Groups: uint32(a.GroupCount), Exclude: a.Exclude, Domain: a.Domain,
	}))
	if err != nil {
		r.recordFailure(placer, err)
		return g, false
	}
	g.Endpoint = resp.Msg.GetEndpoint()
	return g, g.Endpoint != ""
}

// placer returns the entry that places the prompts of a group: the hub with the highest
// hash that answers.
func (r *Reserver) placer(a Request) (cfvfleet.Entry, bool) {
	hubs := cfvfleet.Relays(r.cfg.Entries())
	if len(hubs) == 0 {
		return cfvfleet.Entry{}, false
	}
	rank := func(e cfvfleet.Entry) uint64 {
		return xxhash.Sum64String(a.Service + "\x00" + e.Name + "\x00" + string(rune('a'+a.Group)))
	}
	slices.SortFunc(hubs, func(x, y cfvfleet.Entry) int { return cmp.Compare(rank(x), rank(y)) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hubs {
		if r.cfg.Now() >= r.backoffUntil[h.Name] {
			return h, true
		}
	}
	return cfvfleet.Entry{}, false
}

func (r *Reserver) recordFailure(e cfvfleet.Entry, err error) {
	r.cfg.Count("placement.failed", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[e.Name] = r.cfg.Now() + placerBackoff
	r.cfg.Log.Infow("the entry that places long prompts does not answer", "entry", e.Name, "error", err.Error())
}

func (r *Reserver) clientFor(addr string) cfvwireentryconnect.PlacementClient {
	return cfvwireentryconnect.NewPlacementClient(r.client, "http://"+addr)
}

// Release tells the entry that placed a prompt that it has been read, or that its request
// is over.
func (r *Reserver) Settle(g Grant, request string, over bool) {
	if g.Placer.Name == r.cfg.Self {
		r.cfg.Settle(g.Endpoint, request, over)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if list := r.settlements[g.Placer.Addr]; len(list) < maxQueuedSettlements {
		r.settlements[g.Placer.Addr] = append(list, &cfvwireentry.Settled{Endpoint: g.Endpoint, Request: request, Over: over})
	}
}

// Run sends settlements until the context ends.
func (r *Reserver) Run(ctx context.Context) {
	for cfvclock.Sleep(ctx, settleInterval) {
		for addr, list := range r.takeSettlements() {
			go r.sendSettlements(ctx, addr, list)
		}
	}
}

// waiting takes the settlements that wait to be sent.
func (r *Reserver) takeSettlements() map[string][]*cfvwireentry.Settled {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.settlements
	r.settlements = make(map[string][]*cfvwireentry.Settled)
	return queue
}

func (r *Reserver) sendSettlements(ctx context.Context, addr string, list []*cfvwireentry.Settled) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := r.clientFor(addr).Settle(ctx, connect.NewRequest(&cfvwireentry.SettleRequest{Settled: list})); err != nil {
		r.cfg.Count("placement.unsettled", int64(len(list))) // the grants run out by themselves
	}
}

// reserveFor answers another entry.
func (r *Reserver) handleReserve(m *cfvwireentry.ReserveRequest) string {
	endpoint, ok := r.cfg.Place(Request{
		RequestID: m.GetRequest(), Service: m.GetService(), Model: m.GetModel(), Affinity: m.GetAffinity(), Tokens: int(m.GetTokens()),
		SharedTokens: int(m.GetShared()), Stored: m.GetStored(), Group: int(m.GetGroup()), GroupCount: int(m.GetGroups()),
		Exclude: m.GetExclude(), Domain: m.GetDomain(),
	})
	if !ok {
		return ""
	}
	return endpoint
}

// GroupsOf returns the group of a prompt among all of a service's endpoints.
func GroupOf(affinity string, endpoints int) (group, groups int) {
	groups = cfvdispatch.GroupCount(endpoints)
	return cfvdispatch.GroupOf(affinity, groups), groups
}

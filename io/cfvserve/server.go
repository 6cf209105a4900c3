// Package cfvserve carries one caller's request from admission to its whole answer:
// limits, placement, claims, sending, retries and resumption.
package cfvserve

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvprompt"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvpeer"
	"coltsfootvalve/io/cfvplace"
	"coltsfootvalve/io/cfvtier"

	"github.com/google/uuid"
)

// Bounds of handling one request.
const (
	maxAttempts  = 4
	backoffFirst = 20 * time.Millisecond
	backoffMost  = time.Second
)

// Config configures a server. The functions are its seams.
type Config struct {
	Self               cfvmember.Member
	Catalog            func() *cfvcatalog.Catalog
	Acquire            func(ctx context.Context, a cfvplace.Request) (*cfvplace.Slot, *cfverror.Refusal)
	Forward            *cfvforward.Client
	Tier               *cfvtier.Tier
	Claim              func(ctx context.Context, c cfvbooking.Claim) (cfvpeer.ClaimReply, error)
	Conclude           func(ctx context.Context, c cfvbooking.Conclusion) (bool, error)
	Admit              func(ctx context.Context, a cfvlimit.Admission) cfverror.Reason
	Dismiss            func(workspace, requestID string)
	Alive              func(entry string, started uint64) bool
	VersionFor         func(service cfvcatalog.Service, key string) string // that serves the request
	RecordResult       func(RequestResult)
	BroadcastSuspicion func(cfvlimit.Suspicion) // tells every peer at once
	Log                cfvlog.Logger
	Metrics            *cfvmetric.Registry
	Traces             *Traces
	Quarantine         *Quarantine
}

// Run is how one request ended at one version, as evidence for a move.
type RequestResult struct {
	Service   string
	Version   string
	Route     string
	BodyBytes int // of the request's body in bytes
	Failed    bool
	Latency   time.Duration // time to first token, or to the answer of a plain service
}

// Server handles requests.
type Server struct {
	cfg Config

	concluding atomic.Int64

	mu      sync.Mutex
	budgets map[string]*cfvlimit.Budget
}

// Concluding returns the number of claimed requests whose end is not written yet.
func (s *Server) PendingConclusions() int64 { return s.concluding.Load() }

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, budgets: make(map[string]*cfvlimit.Budget)}
}

// request is one request while it is handled.
type request struct {
	id        string // the caller's
	wireID    string // ours, which no other request has: endpoints echo it
	workspace cfvcatalog.Workspace
	service   cfvcatalog.Service
	scope     cfvprompt.Scope
	print     string
	routeKey  string
	version   string
	exclude   []string
	tries     int
	started   time.Time
	trace     *Trace
}

// Retries of one service share a budget.
func (s *Server) budget(service string) *cfvlimit.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = cfvlimit.NewBudget(time.Now())
		s.budgets[service] = b
	}
	return b
}

func (s *Server) succeeded(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(r.service.Name).RecordSuccess(r.service.RetryPercent)
}

// mayRetry reports whether the request may be tried once more, counts the retry by its
// reason, and waits for the back-off.
func (s *Server) mayRetry(ctx context.Context, r *request, why *cfverror.Refusal) *cfverror.Refusal {
	if r.tries >= maxAttempts || ctx.Err() != nil {
		return why
	}
	if !s.takeBudget(r, why) {
		s.cfg.Metrics.CountRefusal(cfverror.ReasonRetryBudget)
		return why
	}
	s.cfg.Metrics.CountRetry(why.Reason)
	r.trace.Note("retry after %s", why.Reason)
	if !cfvclock.Sleep(ctx, cfvlimit.Backoff(r.tries-1, backoffFirst, backoffMost, rand.Float64())) {
		return why
	}
	return nil
}

// takeBudget counts a retry against the service's budget. Those that only follow a change
// of owner or version put no load on any endpoint and are free.
func (s *Server) takeBudget(r *request, why *cfverror.Refusal) bool {
	if why.Reason == cfverror.ReasonNotOwner || why.Reason == cfverror.ReasonVersionMissing {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(r.service.Name).Take(time.Now())
}

// admit checks the quarantine and the workspace's limits. The function returned counts
// the request out.
func (s *Server) admit(ctx context.Context, r *request) (func(), *cfverror.Refusal) {
	if s.cfg.Quarantine.Blocked(r.print) {
		return nil, cfverror.NotRun(cfverror.ReasonQuarantined, "this request crashed endpoints and is not run again")
	}
	w, id := r.workspace, uuid.NewString() // not the caller's id, which may come twice
	if w.MaxConcurrent == 0 && w.MaxPerSecond == 0 {
		return func() {}, nil
	}
	reason := s.cfg.Admit(ctx, cfvlimit.Admission{
		Workspace: w.Name, RequestID: id, Entry: s.cfg.Self.Name, EntryStarted: s.cfg.Self.StartMillis,
		MaxConcurrent: w.MaxConcurrent, MaxPerSecond: w.MaxPerSecond, MaxDuration: r.service.RequestTimeout,
	})
	if reason != "" {
		return nil, cfverror.NotRun(reason, "workspace %s is over its limit", w.Name)
	}
	return func() { s.cfg.Dismiss(w.Name, id) }, nil
}

// acquire asks for a slot and notes where the request goes.
func (s *Server) acquire(ctx context.Context, r *request) (*cfvplace.Slot, *cfverror.Refusal) {
	r.tries++
	slot, refusal := s.cfg.Acquire(ctx, cfvplace.Request{
		Service: r.service, Workspace: r.workspace,
		AffinityKey: r.routeKey, Version: r.version, Exclude: r.exclude,
	})
	if refusal != nil {
		r.trace.Note("no slot: %s", refusal.Reason)
		return nil, refusal
	}
	r.trace.Note("slot on %s in group %s by owner %s", slot.Grant.Endpoint, slot.Group, slot.Owner)
	return slot, nil
}

// lingerBroken is how long an endpoint may take to notice that a connection was closed.
const lingerBroken = 300 * time.Millisecond

// endOf returns how a request ended for its endpoint. One that broke off may still run
// there: for a moment if the connection was closed, up to the service's limit if it went
// silent and the endpoint may not know.
func endOf(r *request, m cfvforward.ResponseMeta, err error) cfvplace.Result {
	end := cfvplace.Result{Outcome: cfvslot.OutcomeDone, BootID: m.BootID, Leaving: m.Leaving}
	if err == nil {
		return end
	}
	end.Outcome = cfvslot.OutcomeFailed
	end.Linger = lingerBroken
	switch cfverror.From(err).Reason {
	case cfverror.ReasonConnect:
		end.Outcome = cfvslot.OutcomeUnreachable
		end.Linger = 0
		end.ConnectionLost = true
	case cfverror.ReasonCallerGone:
		end.Outcome = cfvslot.OutcomeUnused
	case cfverror.ReasonResponseTruncated:
		end.ConnectionLost = true
	case cfverror.ReasonEndpointFailed:
		end.ConnectionLost = m.BootID == ""
	case cfverror.ReasonEndpointSilent, cfverror.ReasonTimeout:
		end.Linger = r.service.RequestTimeout
	}
	return end
}

// finish counts how the request ended.
func (s *Server) finish(r *request, err error) error {
	if err == nil {
		s.cfg.Metrics.Count("served."+r.service.Name, 1)
		s.succeeded(r)
		return nil
	}
	refusal := cfverror.From(err)
	s.cfg.Metrics.CountRefusal(refusal.Reason)
	r.trace.Note("refused: %s, ran: %s", refusal.Reason, refusal.Ran)
	s.cfg.Log.WithRequestID(r.id).Info("Request of workspace %s for %s is refused: %s, ran: %s.", r.workspace.Name, r.service.Name, refusal.Reason, refusal.Ran)
	return refusal
}

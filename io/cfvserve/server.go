// Package cfvserve handles callers' requests from admission to the complete response:
// workspace limits, slots, claims of idempotency keys, sending, retries and stream resumption.
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

// Limits of the attempts of one request.
const (
	maxAttempts = 4
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// Config configures a server. The functions connect it to the other parts of the node.
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
	VersionFor         func(service cfvcatalog.Service, key string) string // version that serves a request with the given move key
	RecordResult       func(RequestResult)
	BroadcastSuspicion func(cfvlimit.Suspicion) // sends the suspicion to every peer at once
	Log                cfvlog.Logger
	Metrics            *cfvmetric.Registry
	Traces             *Traces
	Quarantine         *Quarantine
}

// RequestResult is the result of one attempt at one version. Moves compare the results of
// versions.
type RequestResult struct {
	Service   string
	Version   string
	Route     string
	BodyBytes int // size of the request body
	Failed    bool
	Latency   time.Duration // time to first token, or to the response of a plain service
}

// Server handles callers' requests. It is safe for concurrent use.
type Server struct {
	cfg Config

	concluding atomic.Int64

	mu      sync.Mutex
	budgets map[string]*cfvlimit.Budget
}

// PendingConclusions returns the number of claimed requests whose result is not written yet.
func (s *Server) PendingConclusions() int64 { return s.concluding.Load() }

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, budgets: make(map[string]*cfvlimit.Budget)}
}

// request is a request in progress.
type request struct {
	id                string // set by the caller, or generated
	endpointRequestID string // unique ID that is sent to endpoints, which echo it
	workspace         cfvcatalog.Workspace
	service           cfvcatalog.Service
	scope             cfvprompt.Scope
	fingerprint       string
	affinityKey       string
	version           string
	exclude           []string // endpoints that failed this request
	attempts          int
	fellBack          bool // a version had no room, and the request goes to the old one
	mayHaveRun        bool // an attempt before the current one may have run
	started           time.Time
	trace             *Trace
}

// budget returns the retry budget of a service, which all its requests share. The caller holds
// s.mu.
func (s *Server) budget(service string) *cfvlimit.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = cfvlimit.NewBudget(time.Now())
		s.budgets[service] = b
	}
	return b
}

func (s *Server) recordSuccess(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(r.service.Name).RecordSuccess(r.service.RetryPercent)
}

// mayRetry returns nil if the request may be retried, after counting the retry by its reason
// and waiting for the backoff. Otherwise it returns cause, the error of the last attempt.
func (s *Server) mayRetry(ctx context.Context, r *request, cause *cfverror.Refusal) *cfverror.Refusal {
	if r.attempts >= maxAttempts || ctx.Err() != nil {
		return cause
	}
	if !s.takeRetry(r, cause) {
		s.cfg.Metrics.CountRefusal(cfverror.ReasonRetryBudget)
		return cause
	}
	r.mayHaveRun = r.mayHaveRun || cause.Ran != cfverror.RanNo
	s.cfg.Metrics.CountRetry(cause.Reason)
	r.trace.Note("retry after %s", cause.Reason)
	if !cfvclock.Sleep(ctx, cfvlimit.Backoff(r.attempts-1, minBackoff, maxBackoff, rand.Float64())) {
		return cause
	}
	return nil
}

// takeRetry takes a retry from the service's budget. Retries after a change of owner or version
// are not counted, because the failed attempts put no load on an endpoint.
func (s *Server) takeRetry(r *request, cause *cfverror.Refusal) bool {
	if cause.Reason == cfverror.ReasonNotOwner || cause.Reason == cfverror.ReasonVersionMissing {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(r.service.Name).Take(time.Now())
}

// admit checks the quarantine and the limits of the workspace. The returned function must be
// called when the request ends.
func (s *Server) admit(ctx context.Context, r *request) (func(), *cfverror.Refusal) {
	if s.cfg.Quarantine.Blocked(r.fingerprint) {
		return nil, cfverror.NotRun(cfverror.ReasonQuarantined, "this request crashed endpoints and is not run again")
	}
	w, id := r.workspace, uuid.NewString() // not the caller's ID, which may not be unique
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

// acquire requests a slot and records the endpoint in the trace.
func (s *Server) acquire(ctx context.Context, r *request) (*cfvplace.Slot, *cfverror.Refusal) {
	r.attempts++
	slot, refusal := s.cfg.Acquire(ctx, cfvplace.Request{
		Service: r.service, Workspace: r.workspace,
		AffinityKey: r.affinityKey, Version: r.version, Exclude: r.exclude,
	})
	if refusal != nil {
		r.trace.Note("no slot: %s", refusal.Reason)
		return nil, refusal
	}
	r.trace.Note("slot on %s in group %s by owner %s", slot.Grant.Endpoint, slot.Group, slot.Owner)
	return slot, nil
}

// lingerAfterClose is how long an endpoint may take to notice that a connection was closed.
const lingerAfterClose = 300 * time.Millisecond

// resultOf returns the result of an attempt for the slot's owner. A failed request may still
// run at the endpoint: for a short time if the connection was closed, or up to the service's
// time limit if the connection went silent, since the endpoint may not know that the attempt
// has ended.
func resultOf(r *request, m cfvforward.ResponseMeta, err error) cfvplace.Result {
	result := cfvplace.Result{Outcome: cfvslot.OutcomeDone, BootID: m.BootID, Leaving: m.Leaving}
	if err == nil {
		return result
	}
	result.Outcome = cfvslot.OutcomeFailed
	result.Linger = lingerAfterClose
	switch cfverror.From(err).Reason {
	case cfverror.ReasonConnect:
		result.Outcome = cfvslot.OutcomeUnreachable
		result.Linger = 0
		result.ConnectionLost = true
	case cfverror.ReasonCallerGone:
		result.Outcome = cfvslot.OutcomeUnused
	case cfverror.ReasonResponseTruncated:
		result.ConnectionLost = true
	case cfverror.ReasonEndpointFailed:
		result.ConnectionLost = m.BootID == ""
	case cfverror.ReasonEndpointSilent, cfverror.ReasonTimeout:
		result.Linger = r.service.RequestTimeout
	}
	return result
}

// finish counts, traces and logs the result of a request.
func (s *Server) finish(r *request, err error) error {
	if err == nil {
		s.cfg.Metrics.Count("served."+r.service.Name, 1)
		s.cfg.Quarantine.RecordResponse(r.fingerprint)
		s.recordSuccess(r)
		return nil
	}
	refusal := cfverror.From(err)
	if r.mayHaveRun && refusal.Ran == cfverror.RanNo {
		refusal = cfverror.Unknown(refusal.Reason, "%s; an earlier attempt may have run", refusal.Message)
	}
	s.cfg.Metrics.CountRefusal(refusal.Reason)
	r.trace.Note("refused: %s, ran: %s", refusal.Reason, refusal.Ran)
	s.cfg.Log.WithRequestID(r.id).Info("Request of workspace %s for %s is refused: %s, ran: %s.", r.workspace.Name, r.service.Name, refusal.Reason, refusal.Ran)
	return refusal
}

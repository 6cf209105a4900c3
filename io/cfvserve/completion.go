package cfvserve

import (
	"context"
	"net/http"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcache"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvprompt"
	"coltsfootvalve/core/cfvstream"
	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvplace"

	"github.com/google/uuid"
)

// confirmWithin bounds the question whether an endpoint that broke off went down.
const confirmWithin = 300 * time.Millisecond

// Completion is a caller's request to a model engine.
type Completion struct {
	RequestID string
	Workspace cfvcatalog.Workspace
	Service   cfvcatalog.Service
	Path      string
	Request   cfvopenai.Request
}

// Reply is how a request was answered.
type Response struct {
	Status           int
	Header           http.Header
	Body             []byte
	TimeToFirstToken time.Duration // until the first token
	Version          string
}

// Complete runs a completion. Chunks of a stream go to emit as they come, each once; a
// whole answer is in the reply.
func (s *Server) Complete(ctx context.Context, c Completion, emit func(cfvopenai.Response) error) (Response, error) {
	r := s.newRequest(c.RequestID, c.Workspace, c.Service)
	r.print = r.scope.Fingerprint(c.Path + "\x00" + c.Request.PromptText())
	r.routeKey = r.scope.AffinityKey(c.Request.PromptText())
	done, refusal := s.admit(ctx, r)
	if refusal != nil {
		return Response{}, s.finish(r, refusal)
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, c.Service.RequestTimeout)
	defer cancel()
	r.version = s.cfg.VersionFor(c.Service, moveKey(r))
	reply, err := s.completeWithRetries(ctx, r, c, emit)
	return reply, s.finish(r, err)
}

// moveKey returns the key that keeps a prompt on one version during a move.
func moveKey(r *request) string {
	if r.routeKey != "" {
		return r.routeKey
	}
	return r.id
}

func (s *Server) newRequest(id string, w cfvcatalog.Workspace, svc cfvcatalog.Service) *request {
	return &request{
		id: id, wireID: uuid.NewString(), workspace: w, service: svc, started: time.Now(),
		scope: cfvprompt.Scope{Secret: w.CacheSecret, Service: svc.Name},
		trace: s.cfg.Traces.Start(id, w.Name),
	}
}

func (s *Server) completeWithRetries(ctx context.Context, r *request, c Completion, emit func(cfvopenai.Response) error) (Response, error) {
	check := cfvstream.New(r.wireID)
	for {
		reply, err := s.completeOnce(ctx, r, c, check, emit)
		if err == nil {
			return reply, nil
		}
		refusal := cfverror.From(err)
		if s.otherVersion(r, refusal, check) {
			continue
		}
		if !retryable(refusal) {
			return reply, refusal
		}
		if s.cfg.Quarantine.Blocked(r.print) {
			return reply, cfverror.Unknown(cfverror.ReasonQuarantined, "this request crashed endpoints and is not run again")
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return reply, refusal
		}
	}
}

// otherVersion turns a request of a move's new version, of which no endpoint has room, to
// the version that serves already, and one of a version that is gone to the new one once
// the move has come that far.
func (s *Server) otherVersion(r *request, why *cfverror.Refusal, check *cfvstream.Checker) bool {
	p := r.service.Plan
	if !p.Active() || check.NextOffset() > 0 || r.tries >= maxAttempts {
		return false
	}
	if r.version == p.From && why.Reason == cfverror.ReasonNoEndpoint && s.cfg.VersionFor(r.service, moveKey(r)) == p.To {
		r.version = p.To
		return true
	}
	if r.version != p.To {
		return false
	}
	switch why.Reason {
	case cfverror.ReasonNoEndpoint, cfverror.ReasonEndpointsFull, cfverror.ReasonEndpointsCold, cfverror.ReasonQueueTimeout, cfverror.ReasonQueueFull:
		r.trace.Note("version %s has no room: %s", p.To, why.Reason)
		r.version = p.From
		return true
	}
	return false
}

// retryable reports whether a completion may be tried again: generating has no effect
// beyond its answer, so all that matters is whether another try can help.
func retryable(r *cfverror.Refusal) bool {
	switch r.Reason {
	case cfverror.ReasonConnect, cfverror.ReasonEndpointFailed, cfverror.ReasonEndpointSilent,
		cfverror.ReasonResponseTruncated, cfverror.ReasonResponseMismatch,
		cfverror.ReasonNotOwner, cfverror.ReasonOwnerUnreachable, cfverror.ReasonVersionMissing:
		return true
	}
	return false
}

// completeOnce places and sends the request once.
func (s *Server) completeOnce(ctx context.Context, r *request, c Completion, check *cfvstream.Checker, emit func(cfvopenai.Response) error) (Response, error) {
	slot, refusal := s.acquire(ctx, r)
	if refusal != nil {
		return Response{}, refusal
	}
	call, err := s.engineCall(ctx, r, c, slot)
	if err != nil {
		slot.Release(cfvplace.Result{})
		return Response{}, err
	}
	began := time.Now()
	reply, meta, err := s.sendCompletion(ctx, r, c, call, check, emit)
	slot.Release(endOf(r, meta, err))
	s.cfg.RecordResult(RequestResult{
		Service: r.service.Name, Version: slot.Grant.Version, Route: c.Path, BodyBytes: len(call.Body),
		Failed: err != nil && countsAgainst(err), Latency: firstSince(began, reply, err),
	})
	if err != nil {
		r.exclude = append(r.exclude, slot.Grant.Endpoint)
		s.suspect(ctx, r, slot, err)
	}
	if check.NextOffset() > 0 {
		r.version = slot.Grant.Version
	}
	return reply, err
}

// countsAgainst reports whether a failure speaks against the version that ran.
func countsAgainst(err error) bool {
	switch cfverror.From(err).Reason {
	case cfverror.ReasonCallerGone, cfverror.ReasonConnect, cfverror.ReasonVersionMissing:
		return false
	}
	return true
}

func firstSince(began time.Time, reply Response, err error) time.Duration {
	if err != nil || reply.TimeToFirstToken == 0 {
		return time.Since(began)
	}
	return reply.TimeToFirstToken
}

func (s *Server) engineCall(ctx context.Context, r *request, c Completion, slot *cfvplace.Slot) (cfvforward.Call, error) {
	scope := r.scope
	scope.Version = slot.Grant.Version
	body, err := c.Request.ForwardBody(cfvopenai.Routing{
		Model:     cfvopenai.WithVersion(c.Service.Name, slot.Grant.Version),
		CacheSalt: r.scope.Salt(),
		Priority:  min(r.workspace.Priority, r.service.Priority),
		Transfer:  s.cfg.Tier.Plan(ctx, c.Service.Name, scope, c.Request.PromptText()),
	})
	if err != nil {
		return cfvforward.Call{}, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	return cfvforward.Call{
		RequestID: r.wireID, Address: slot.Grant.Address, Method: http.MethodPost, Path: c.Path,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, IdleTimeout: r.service.IdleTimeout,
		OnHeader: func(m cfvforward.ResponseMeta) { slot.ObserveBootID(m.BootID) },
	}, nil
}

func (s *Server) sendCompletion(ctx context.Context, r *request, c Completion, call cfvforward.Call, check *cfvstream.Checker, emit func(cfvopenai.Response) error) (Response, cfvforward.ResponseMeta, error) {
	began := time.Now()
	if !c.Request.Stream {
		a, err := s.cfg.Forward.Do(ctx, call, r.service.RequestTimeout)
		reply := Response{Status: a.Status, Header: a.Header, Body: cfvopenai.WithIDAndModel(a.Body, c.RequestID, c.Service.Name), TimeToFirstToken: time.Since(began), Version: a.Meta.Version}
		return reply, a.Meta, failed(a, err)
	}
	var reply Response
	var last *cfvopenai.Usage
	a, err := s.cfg.Forward.Stream(ctx, call, r.service.RequestTimeout, check, func(chunk cfvopenai.Response) error {
		if reply.TimeToFirstToken == 0 {
			reply.TimeToFirstToken = time.Since(began)
		}
		if chunk.Usage != nil {
			last = chunk.Usage
		}
		chunk.ID, chunk.Model = c.RequestID, c.Service.Name
		return emit(chunk)
	})
	s.learn(r, reply, last)
	reply.Status, reply.Header, reply.Body, reply.Version = a.Status, a.Header, a.Body, a.Meta.Version
	return reply, a.Meta, failed(a, err)
}

// learn corrects the estimates of the cache tier by what a stream showed.
func (s *Server) learn(r *request, reply Response, u *cfvopenai.Usage) {
	if u == nil {
		return
	}
	block := cfvprompt.BlockTokens
	s.cfg.Tier.RecordSample(r.service.Name, cfvcache.Sample{
		ImportedBlocks:   u.Details.ImportedTokens / block,
		ComputedBlocks:   (u.PromptTokens - u.Details.CachedTokens) / block,
		TimeToFirstToken: reply.TimeToFirstToken,
	})
}

// failed returns the error of an answer: a server's error status is one too.
func failed(a cfvforward.Response, err error) error {
	if err == nil && a.Status == http.StatusNotFound {
		return cfverror.NotRun(cfverror.ReasonVersionMissing, "the endpoint has not loaded the version")
	}
	if err != nil || a.Status < http.StatusInternalServerError {
		return err
	}
	return cfverror.Unknown(cfverror.ReasonEndpointFailed, "the endpoint answered with status %d", a.Status)
}

// suspect notes that the request may have crashed an endpoint: it broke off, and the
// endpoint is down or at another boot.
func (s *Server) suspect(ctx context.Context, r *request, slot *cfvplace.Slot, err error) {
	switch cfverror.From(err).Reason {
	case cfverror.ReasonEndpointFailed, cfverror.ReasonResponseTruncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	report, err := s.cfg.Forward.ReadLoad(ctx, slot.Grant.Address)
	if err == nil && report.BootID == slot.Grant.Level.BootID {
		return
	}
	s.cfg.Metrics.Count("quarantine.suspected", 1)
	r.trace.Note("endpoint %s went down while it ran the request", slot.Grant.Endpoint)
	s.cfg.BroadcastSuspicion(s.cfg.Quarantine.RecordCrash(r.print, slot.Grant.Endpoint+"@"+slot.Grant.Level.BootID))
}

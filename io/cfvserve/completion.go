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

// crashCheckTimeout is the timeout of the request that checks whether an endpoint crashed while
// it ran a request.
const crashCheckTimeout = 300 * time.Millisecond

// Completion is a caller's completion request to a model engine.
type Completion struct {
	RequestID string
	Workspace cfvcatalog.Workspace
	Service   cfvcatalog.Service
	Path      string
	Request   cfvopenai.Request
}

// Response is the response to a caller's request.
type Response struct {
	Status           int
	Header           http.Header
	Body             []byte
	TimeToFirstToken time.Duration // time to the complete response if it is not streamed
	Version          string
}

// Complete runs a completion. The chunks of a streamed response are passed to emit as they
// arrive, each once. A response that is not streamed is returned whole.
func (s *Server) Complete(ctx context.Context, c Completion, emit func(cfvopenai.Response) error) (Response, error) {
	r := s.newRequest(c.RequestID, c.Workspace, c.Service)
	r.fingerprint = r.scope.Fingerprint(c.Path + "\x00" + c.Request.PromptText())
	r.affinityKey = r.scope.AffinityKey(c.Request.PromptText())
	done, refusal := s.admit(ctx, r)
	if refusal != nil {
		return Response{}, s.finish(r, refusal)
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, c.Service.RequestTimeout)
	defer cancel()
	r.version = s.cfg.VersionFor(c.Service, moveKey(r))
	resp, err := s.completeWithRetries(ctx, r, c, emit)
	return resp, s.finish(r, err)
}

// moveKey returns the key by which a move assigns a request to a version, so that one prompt
// stays on one version.
func moveKey(r *request) string {
	if r.affinityKey != "" {
		return r.affinityKey
	}
	return r.id
}

func (s *Server) newRequest(id string, w cfvcatalog.Workspace, svc cfvcatalog.Service) *request {
	return &request{
		id: id, endpointRequestID: uuid.NewString(), workspace: w, service: svc, started: time.Now(),
		scope: cfvprompt.Scope{Secret: w.CacheSecret, Service: svc.Name},
		trace: s.cfg.Traces.Start(id, w.Name),
	}
}

func (s *Server) completeWithRetries(ctx context.Context, r *request, c Completion, emit func(cfvopenai.Response) error) (Response, error) {
	checker := cfvstream.New(r.endpointRequestID)
	for {
		resp, err := s.completeOnce(ctx, r, c, checker, emit)
		if err == nil {
			return resp, nil
		}
		refusal := cfverror.From(err)
		if s.switchVersion(r, refusal, checker) {
			continue
		}
		if !retryable(refusal) {
			return resp, refusal
		}
		if s.cfg.Quarantine.Blocked(r.fingerprint) {
			return resp, cfverror.Unknown(cfverror.ReasonQuarantined, "this request crashed endpoints and is not run again")
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return resp, refusal
		}
	}
}

// switchVersion changes the version of a request during a move and reports whether it did. A
// request for the new version falls back to the old one if no endpoint of the new version has
// capacity. A request for the old version switches to the new one if the old one has no
// endpoint left, or its endpoint has left it, and the move now assigns the request to the new one.
func (s *Server) switchVersion(r *request, cause *cfverror.Refusal, checker *cfvstream.Checker) bool {
	p := r.service.Plan
	if !p.Active() || checker.NextOffset() > 0 || r.attempts >= maxAttempts {
		return false
	}
	gone := cause.Reason == cfverror.ReasonNoEndpoint || cause.Reason == cfverror.ReasonVersionMissing && !r.fellBack
	if r.version == p.From && gone && s.cfg.VersionFor(r.service, moveKey(r)) == p.To {
		r.trace.Note("version %s is gone: %s", p.From, cause.Reason)
		r.version = p.To
		return true
	}
	if r.version != p.To {
		return false
	}
	switch cause.Reason {
	case cfverror.ReasonNoEndpoint, cfverror.ReasonEndpointsFull, cfverror.ReasonEndpointsCold, cfverror.ReasonQueueTimeout, cfverror.ReasonQueueFull:
		r.trace.Note("version %s has no room: %s", p.To, cause.Reason)
		r.version, r.fellBack = p.From, true
		return true
	}
	return false
}

// retryable reports whether another attempt can succeed. Generating a completion has no side
// effects, so a retry of a completion is always safe.
func retryable(r *cfverror.Refusal) bool {
	switch r.Reason {
	case cfverror.ReasonConnect, cfverror.ReasonEndpointFailed, cfverror.ReasonEndpointSilent,
		cfverror.ReasonResponseTruncated, cfverror.ReasonResponseMismatch,
		cfverror.ReasonNotOwner, cfverror.ReasonOwnerUnreachable, cfverror.ReasonVersionMissing:
		return true
	}
	return false
}

// completeOnce acquires a slot and sends the request once.
func (s *Server) completeOnce(ctx context.Context, r *request, c Completion, checker *cfvstream.Checker, emit func(cfvopenai.Response) error) (Response, error) {
	slot, refusal := s.acquire(ctx, r)
	if refusal != nil {
		return Response{}, refusal
	}
	call, err := s.engineCall(ctx, r, c, slot)
	if err != nil {
		slot.Release(cfvplace.Result{})
		return Response{}, err
	}
	start := time.Now()
	resp, meta, err := s.sendCompletion(ctx, r, c, call, checker, emit)
	slot.Release(resultOf(r, meta, err))
	s.cfg.RecordResult(RequestResult{
		Service: r.service.Name, Version: slot.Grant.Version, Route: c.Path, BodyBytes: len(call.Body),
		Failed: err != nil && countsAsFailure(err), Latency: timeToFirstToken(start, resp, err),
	})
	if err != nil {
		r.exclude = append(r.exclude, slot.Grant.Endpoint)
		s.checkForCrash(ctx, r, slot, err)
	}
	if checker.NextOffset() > 0 {
		r.version = slot.Grant.Version
	}
	return resp, err
}

// countsAsFailure reports whether an error counts as a failure of the version that ran the
// request.
func countsAsFailure(err error) bool {
	switch cfverror.From(err).Reason {
	case cfverror.ReasonCallerGone, cfverror.ReasonConnect, cfverror.ReasonVersionMissing:
		return false
	}
	return true
}

func timeToFirstToken(start time.Time, resp Response, err error) time.Duration {
	if err != nil || resp.TimeToFirstToken == 0 {
		return time.Since(start)
	}
	return resp.TimeToFirstToken
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
		RequestID: r.endpointRequestID, Address: slot.Grant.Address, Method: http.MethodPost, Path: c.Path,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, IdleTimeout: r.service.IdleTimeout,
		OnHeader: func(m cfvforward.ResponseMeta) { slot.ObserveBootID(m.BootID) },
	}, nil
}

func (s *Server) sendCompletion(ctx context.Context, r *request, c Completion, call cfvforward.Call, checker *cfvstream.Checker, emit func(cfvopenai.Response) error) (Response, cfvforward.ResponseMeta, error) {
	start := time.Now()
	if !c.Request.Stream {
		endpointResp, err := s.cfg.Forward.Do(ctx, call, r.service.RequestTimeout)
		resp := Response{Status: endpointResp.Status, Header: endpointResp.Header, Body: cfvopenai.WithIDAndModel(endpointResp.Body, c.RequestID, c.Service.Name), TimeToFirstToken: time.Since(start), Version: endpointResp.Meta.Version}
		return resp, endpointResp.Meta, responseError(endpointResp, err)
	}
	var resp Response
	var usage *cfvopenai.Usage
	endpointResp, err := s.cfg.Forward.Stream(ctx, call, r.service.RequestTimeout, checker, func(chunk cfvopenai.Response) error {
		if resp.TimeToFirstToken == 0 {
			resp.TimeToFirstToken = time.Since(start)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		chunk.ID, chunk.Model = c.RequestID, c.Service.Name
		return emit(chunk)
	})
	s.updateTierEstimates(r, resp, usage)
	resp.Status, resp.Header, resp.Body, resp.Version = endpointResp.Status, endpointResp.Header, endpointResp.Body, endpointResp.Meta.Version
	return resp, endpointResp.Meta, responseError(endpointResp, err)
}

// updateTierEstimates updates the estimates of the cache tier with the usage and the time to
// first token of a stream.
func (s *Server) updateTierEstimates(r *request, resp Response, usage *cfvopenai.Usage) {
	if usage == nil {
		return
	}
	block := cfvprompt.BlockTokens
	s.cfg.Tier.RecordSample(r.service.Name, cfvcache.Sample{
		ImportedBlocks:   usage.Details.ImportedTokens / block,
		ComputedBlocks:   (usage.PromptTokens - usage.Details.CachedTokens) / block,
		TimeToFirstToken: resp.TimeToFirstToken,
	})
}

// responseError returns the error of a response. A 404 status means that the version is not
// loaded; a 5xx status is a failure of the endpoint.
func responseError(resp cfvforward.Response, err error) error {
	if err == nil && resp.Status == http.StatusNotFound {
		return cfverror.NotRun(cfverror.ReasonVersionMissing, "the endpoint has not loaded the version")
	}
	if err != nil || resp.Status < http.StatusInternalServerError {
		return err
	}
	return cfverror.Unknown(cfverror.ReasonEndpointFailed, "the endpoint answered with status %d", resp.Status)
}

// checkForCrash records a suspicion that the request crashed the endpoint if the attempt failed
// or its response was cut off, and the endpoint is now down or has a different boot ID.
func (s *Server) checkForCrash(ctx context.Context, r *request, slot *cfvplace.Slot, err error) {
	switch cfverror.From(err).Reason {
	case cfverror.ReasonEndpointFailed, cfverror.ReasonResponseTruncated:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	report, err := s.cfg.Forward.ReadLoad(ctx, slot.Grant.Address)
	if err == nil && report.BootID == slot.Grant.Level.BootID {
		return
	}
	s.cfg.Metrics.Count("quarantine.suspected", 1)
	r.trace.Note("endpoint %s went down while it ran the request", slot.Grant.Endpoint)
	s.cfg.BroadcastSuspicion(s.cfg.Quarantine.RecordCrash(r.fingerprint, slot.Grant.Endpoint+"@"+slot.Grant.Level.BootID))
}

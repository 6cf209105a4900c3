package cfvserve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvpeer"

	"github.com/google/uuid"
)

// Timeouts and retry intervals of claims of idempotency keys.
const (
	claimTimeout        = 2 * time.Second
	maxPendingWait      = 2 * time.Second
	pendingPollInterval = 50 * time.Millisecond
	maxConcludeAttempts = 60
	concludeInterval    = time.Second
)

// HeaderReplay marks a response that was stored by an earlier attempt with the same
// idempotency key.
const HeaderReplay = "Idempotent-Replay"

// Call is a caller's request to a plain service.
type Call struct {
	RequestID string
	Workspace cfvcatalog.Workspace
	Service   cfvcatalog.Service
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Key       string // idempotency key; empty for none
}

// Call runs a call to a plain service.
func (s *Server) Call(ctx context.Context, c Call) (Response, error) {
	r := s.newRequest(c.RequestID, c.Workspace, c.Service)
	r.fingerprint = r.scope.Fingerprint(c.Method + "\x00" + c.Path + "\x00" + string(c.Body))
	done, refusal := s.admit(ctx, r)
	if refusal != nil {
		return Response{}, s.finish(r, refusal)
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, c.Service.RequestTimeout)
	defer cancel()
	resp, err := s.callWithRetryPolicy(ctx, r, c)
	return resp, s.finish(r, err)
}

// callWithRetryPolicy selects the retry policy of the call: calls with an idempotent method are
// retried freely, calls with an idempotency key are claimed first, and other calls are sent at
// most once.
func (s *Server) callWithRetryPolicy(ctx context.Context, r *request, c Call) (Response, error) {
	switch {
	case c.Service.IdempotentMethods[c.Method]:
		return s.callIdempotent(ctx, r, c)
	case c.Key == "":
		return s.callAtMostOnce(ctx, r, c)
	default:
		return s.callWithKey(ctx, r, c)
	}
}

// callIdempotent sends a call whose method is idempotent and retries it on failure.
func (s *Server) callIdempotent(ctx context.Context, r *request, c Call) (Response, error) {
	for {
		resp, err := s.send(ctx, r, c)
		if err == nil {
			return resp, nil
		}
		refusal := cfverror.From(err)
		if !retryable(refusal) {
			return resp, refusal
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return resp, refusal
		}
	}
}

// callAtMostOnce sends a call that must not run twice. It retries only if no byte of the
// failed attempt was sent to an endpoint.
func (s *Server) callAtMostOnce(ctx context.Context, r *request, c Call) (Response, error) {
	for {
		resp, err := s.send(ctx, r, c)
		if err == nil {
			return resp, nil
		}
		refusal := cfverror.From(err)
		if refusal.Ran != cfverror.RanNo || !retryable(refusal) {
			return resp, refusal
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return resp, refusal
		}
	}
}

// send acquires a slot and sends the call once. A response with an error status is not an
// error: the call has run, and the caller gets the response unchanged.
func (s *Server) send(ctx context.Context, r *request, c Call) (Response, error) {
	slot, refusal := s.acquire(ctx, r)
	if refusal != nil {
		return Response{}, refusal
	}
	start := time.Now()
	endpointResp, err := s.cfg.Forward.Do(ctx, cfvforward.Call{
		RequestID: c.RequestID, Address: slot.Grant.Address, Method: c.Method, Path: c.Path,
		Header: c.Header, Body: c.Body, IdleTimeout: c.Service.IdleTimeout,
		OnHeader: func(m cfvforward.ResponseMeta) { slot.ObserveBootID(m.BootID) },
	}, c.Service.RequestTimeout)
	slot.Release(resultOf(r, endpointResp.Meta, err))
	s.cfg.RecordResult(RequestResult{
		Service: r.service.Name, Version: slot.Grant.Version, Route: c.Method, BodyBytes: len(c.Body),
		Failed: err != nil || endpointResp.Status >= http.StatusInternalServerError, Latency: time.Since(start),
	})
	if err != nil {
		r.exclude = append(r.exclude, slot.Grant.Endpoint)
		return Response{}, err
	}
	return Response{Status: endpointResp.Status, Header: endpointResp.Header, Body: endpointResp.Body, TimeToFirstToken: time.Since(start), Version: endpointResp.Meta.Version}, nil
}

// callWithKey claims the idempotency key, then sends the call at most once. A later call with a
// claimed key gets the stored response, or an error if the outcome is unknown.
func (s *Server) callWithKey(ctx context.Context, r *request, c Call) (Response, error) {
	claim := cfvbooking.Claim{
		Key:         c.Workspace.Name + "/" + c.Service.Name + "/" + c.Key,
		Fingerprint: callFingerprint(c),
		Attempt:     uuid.NewString(),
		Entry:       s.cfg.Self.Name,
		StartMillis: s.cfg.Self.StartMillis,
	}
	got, err := s.claim(ctx, claim)
	switch {
	case err != nil && c.Service.HonoursKey:
		r.trace.Note("no claim: the service honours the key itself")
		return s.callAtMostOnce(ctx, r, c)
	case err != nil:
		s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
		return Response{}, cfverror.NotRun(cfverror.ReasonClaimUnavailable, "the key can't be claimed now: %v", err)
	case got.Reason != "":
		return Response{}, cfverror.NotRun(cfverror.Reason(got.Reason), "the key %q was used for another request", c.Key)
	case got.Won:
		return s.runClaimed(ctx, r, c, claim)
	default:
		return s.awaitClaimed(ctx, r, c, claim, got.Record)
	}
}

func callFingerprint(c Call) string {
	h := sha256.New()
	h.Write([]byte(c.Method + "\x00" + c.Path + "\x00"))
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func (s *Server) claim(ctx context.Context, c cfvbooking.Claim) (resp cfvpeer.ClaimReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	resp, err = s.cfg.Claim(ctx, c)
	if err == nil && resp.Reason == string(cfverror.ReasonClaimUnavailable) {
		err = cfverror.NotRun(cfverror.ReasonClaimUnavailable, "the key-value service does not answer")
	}
	return resp, err
}

// runClaimed sends the call whose claim is written and then records the result.
func (s *Server) runClaimed(ctx context.Context, r *request, c Call, claim cfvbooking.Claim) (Response, error) {
	r.trace.Note("key claimed")
	resp, err := s.callAtMostOnce(ctx, r, c)
	if err == nil {
		s.conclude(claim, cfvbooking.StateDone, cfvbooking.Response{
			Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body, Kept: true,
		})
		return resp, nil
	}
	if cfverror.From(err).Ran == cfverror.RanNo {
		s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
	}
	return resp, err
}

// conclude records the result of a claimed request in the background, so that the caller does
// not wait for the write. It retries until the result is written or maxConcludeAttempts is
// reached.
func (s *Server) conclude(claim cfvbooking.Claim, state cfvbooking.State, resp cfvbooking.Response) {
	conclusion := cfvbooking.Conclusion{Key: claim.Key, Attempt: claim.Attempt, State: state, Response: resp}
	s.concluding.Add(1)
	go func() {
		defer s.concluding.Add(-1)
		for range maxConcludeAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			written, err := s.cfg.Conclude(ctx, conclusion)
			cancel()
			if err == nil && written {
				return
			}
			s.cfg.Metrics.CountRetry(cfverror.ReasonClaimUnavailable)
			time.Sleep(concludeInterval)
		}
		s.cfg.Metrics.Count("booking.concludeFailed", 1)
	}()
}

// awaitClaimed handles a call whose key is already claimed. It returns the stored response and
// waits up to maxPendingWait for it if the first request is still running. If the first request
// ends without having run, this call may win the claim and is sent.
func (s *Server) awaitClaimed(ctx context.Context, r *request, c Call, claim cfvbooking.Claim, rec cfvbooking.Record) (Response, error) {
	deadline := time.Now().Add(maxPendingWait)
	for rec.State == cfvbooking.StatePending && s.cfg.Alive(rec.Entry, rec.StartMillis) && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return Response{}, cfverror.Unknown(cfverror.ReasonClaimPending, "the first request with this key still runs")
		case <-time.After(pendingPollInterval):
		}
		claim.Attempt = uuid.NewString()
		got, err := s.claim(ctx, claim)
		if err != nil {
			s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
			return Response{}, cfverror.Unknown(cfverror.ReasonClaimUnavailable, "what became of the key can't be read: %v", err)
		}
		if got.Won {
			return s.runClaimed(ctx, r, c, claim)
		}
		rec = got.Record
	}
	return s.storedResponse(ctx, r, c, rec)
}

// storedResponse returns the response that is stored for a claimed key. If none is stored and
// the service handles idempotency keys itself, it sends the call again.
func (s *Server) storedResponse(ctx context.Context, r *request, c Call, rec cfvbooking.Record) (Response, error) {
	if rec.State == cfvbooking.StateDone && rec.Response.Kept {
		r.trace.Note("answer kept from the first run")
		h := http.Header{"Content-Type": {rec.Response.ContentType}, HeaderReplay: {"true"}}
		return Response{Status: rec.Response.Status, Header: h, Body: rec.Response.Body}, nil
	}
	if c.Service.HonoursKey {
		r.trace.Note("sent again: the service honours the key itself")
		return s.callAtMostOnce(ctx, r, c)
	}
	switch {
	case rec.State == cfvbooking.StateDone:
		return Response{}, &cfverror.Refusal{Reason: cfverror.ReasonOutcomeUnknown, Ran: cfverror.RanYes, Message: "the request ran; its answer was too large to keep"}
	case s.cfg.Alive(rec.Entry, rec.StartMillis):
		return Response{}, cfverror.Unknown(cfverror.ReasonClaimPending, "the first request with this key still runs")
	default:
		return Response{}, cfverror.Unknown(cfverror.ReasonOutcomeUnknown, "the first request with this key was cut off; it is not run again")
	}
}

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

// Timings of a claim.
const (
	claimWithin   = 2 * time.Second
	pendingWithin = 2 * time.Second
	pendingPoll   = 50 * time.Millisecond
	concludeTries = 60
	concludeWait  = time.Second
)

// HeaderReplay marks an answer that was kept from an earlier run.
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

// Call runs a call of a plain service.
func (s *Server) Call(ctx context.Context, c Call) (Response, error) {
	r := s.newRequest(c.RequestID, c.Workspace, c.Service)
	r.print = r.scope.Fingerprint(c.Method + "\x00" + c.Path + "\x00" + string(c.Body))
	done, refusal := s.admit(ctx, r)
	if refusal != nil {
		return Response{}, s.finish(r, refusal)
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, c.Service.RequestTimeout)
	defer cancel()
	reply, err := s.callByKind(ctx, r, c)
	return reply, s.finish(r, err)
}

// callByKind picks how often the call may be sent.
func (s *Server) callByKind(ctx context.Context, r *request, c Call) (Response, error) {
	switch {
	case c.Service.IdempotentMethods[c.Method]:
		return s.callRepeatable(ctx, r, c)
	case c.Key == "":
		return s.callOnce(ctx, r, c)
	default:
		return s.callClaimed(ctx, r, c)
	}
}

// callRepeatable sends a call that may be repeated.
func (s *Server) callRepeatable(ctx context.Context, r *request, c Call) (Response, error) {
	for {
		reply, err := s.send(ctx, r, c)
		if err == nil {
			return reply, nil
		}
		refusal := cfverror.From(err)
		if !retryable(refusal) {
			return reply, refusal
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return reply, refusal
		}
	}
}

// callOnce sends a call that may not be repeated: another try is made only while no byte
// has left for an endpoint.
func (s *Server) callOnce(ctx context.Context, r *request, c Call) (Response, error) {
	for {
		reply, err := s.send(ctx, r, c)
		if err == nil {
			return reply, nil
		}
		refusal := cfverror.From(err)
		if refusal.Ran != cfverror.RanNo || !retryable(refusal) {
			return reply, refusal
		}
		if refusal := s.mayRetry(ctx, r, refusal); refusal != nil {
			return reply, refusal
		}
	}
}

// send places and sends the call once. An error status of the service is its answer: it
// has run, and the caller gets it as it is.
func (s *Server) send(ctx context.Context, r *request, c Call) (Response, error) {
	slot, refusal := s.acquire(ctx, r)
	if refusal != nil {
		return Response{}, refusal
	}
	began := time.Now()
	a, err := s.cfg.Forward.Do(ctx, cfvforward.Call{
		RequestID: c.RequestID, Address: slot.Grant.Address, Method: c.Method, Path: c.Path,
		Header: c.Header, Body: c.Body, IdleTimeout: c.Service.IdleTimeout,
		OnHeader: func(m cfvforward.ResponseMeta) { slot.ObserveBootID(m.BootID) },
	}, c.Service.RequestTimeout)
	slot.Release(endOf(r, a.Meta, err))
	s.cfg.RecordResult(RequestResult{
		Service: r.service.Name, Version: slot.Grant.Version, Route: c.Method, BodyBytes: len(c.Body),
		Failed: err != nil || a.Status >= http.StatusInternalServerError, Latency: time.Since(began),
	})
	if err != nil {
		r.exclude = append(r.exclude, slot.Grant.Endpoint)
		return Response{}, err
	}
	return Response{Status: a.Status, Header: a.Header, Body: a.Body, TimeToFirstToken: time.Since(began), Version: a.Meta.Version}, nil
}

// callClaimed claims the key, then sends the call once. Whoever comes with a key that is
// claimed gets the kept answer or hears that the outcome is unknown.
func (s *Server) callClaimed(ctx context.Context, r *request, c Call) (Response, error) {
	claim := cfvbooking.Claim{
		Key:         c.Workspace.Name + "/" + c.Service.Name + "/" + c.Key,
		Fingerprint: fingerprint(c),
		Attempt:     uuid.NewString(),
		Entry:       s.cfg.Self.Name,
		StartMillis: s.cfg.Self.StartMillis,
	}
	got, err := s.claim(ctx, claim)
	switch {
	case err != nil && c.Service.HonoursKey:
		r.trace.Note("no claim: the service honours the key itself")
		return s.callOnce(ctx, r, c)
	case err != nil:
		s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
		return Response{}, cfverror.NotRun(cfverror.ReasonClaimUnavailable, "the key can't be claimed now: %v", err)
	case got.Reason != "":
		return Response{}, cfverror.NotRun(cfverror.Reason(got.Reason), "the key %q was used for another request", c.Key)
	case got.Won:
		return s.callWon(ctx, r, c, claim)
	default:
		return s.callTaken(ctx, r, c, claim, got.Record)
	}
}

func fingerprint(c Call) string {
	h := sha256.New()
	h.Write([]byte(c.Method + "\x00" + c.Path + "\x00"))
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func (s *Server) claim(ctx context.Context, c cfvbooking.Claim) (reply cfvpeer.ClaimReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	reply, err = s.cfg.Claim(ctx, c)
	if err == nil && reply.Reason == string(cfverror.ReasonClaimUnavailable) {
		err = cfverror.NotRun(cfverror.ReasonClaimUnavailable, "the key-value service does not answer")
	}
	return reply, err
}

// callWon sends the call for which the claim is written, and has its end written.
func (s *Server) callWon(ctx context.Context, r *request, c Call, claim cfvbooking.Claim) (Response, error) {
	r.trace.Note("key claimed")
	reply, err := s.callOnce(ctx, r, c)
	if err == nil {
		s.conclude(claim, cfvbooking.StateDone, cfvbooking.Response{
			Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: reply.Body, Kept: true,
		})
		return reply, nil
	}
	if cfverror.From(err).Ran == cfverror.RanNo {
		s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
	}
	return reply, err
}

// conclude writes the end of a claimed request in the background, again and again until
// it is written: the caller need not wait for it.
func (s *Server) conclude(claim cfvbooking.Claim, state cfvbooking.State, a cfvbooking.Response) {
	end := cfvbooking.Conclusion{Key: claim.Key, Attempt: claim.Attempt, State: state, Response: a}
	s.concluding.Add(1)
	go func() {
		defer s.concluding.Add(-1)
		for range concludeTries {
			ctx, cancel := context.WithTimeout(context.Background(), claimWithin)
			written, err := s.cfg.Conclude(ctx, end)
			cancel()
			if err == nil && written {
				return
			}
			s.cfg.Metrics.CountRetry(cfverror.ReasonClaimUnavailable)
			time.Sleep(concludeWait)
		}
		s.cfg.Metrics.Count("booking.concludeFailed", 1)
	}()
}

// callTaken answers a resend: with the kept answer, after a short wait if the first
// request still runs.
func (s *Server) callTaken(ctx context.Context, r *request, c Call, claim cfvbooking.Claim, rec cfvbooking.Record) (Response, error) {
	deadline := time.Now().Add(pendingWithin)
	for rec.State == cfvbooking.StatePending && s.cfg.Alive(rec.Entry, rec.StartMillis) && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return Response{}, cfverror.Unknown(cfverror.ReasonClaimPending, "the first request with this key still runs")
		case <-time.After(pendingPoll):
		}
		claim.Attempt = uuid.NewString()
		got, err := s.claim(ctx, claim)
		if err != nil {
			s.conclude(claim, cfvbooking.StateNotRun, cfvbooking.Response{})
			return Response{}, cfverror.Unknown(cfverror.ReasonClaimUnavailable, "what became of the key can't be read: %v", err)
		}
		if got.Won {
			return s.callWon(ctx, r, c, claim)
		}
		rec = got.Record
	}
	return s.kept(ctx, r, c, rec)
}

// kept returns the kept answer of a key.
func (s *Server) kept(ctx context.Context, r *request, c Call, rec cfvbooking.Record) (Response, error) {
	if rec.State == cfvbooking.StateDone && rec.Response.Kept {
		r.trace.Note("answer kept from the first run")
		h := http.Header{"Content-Type": {rec.Response.ContentType}, HeaderReplay: {"true"}}
		return Response{Status: rec.Response.Status, Header: h, Body: rec.Response.Body}, nil
	}
	if c.Service.HonoursKey {
		r.trace.Note("sent again: the service honours the key itself")
		return s.callOnce(ctx, r, c)
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

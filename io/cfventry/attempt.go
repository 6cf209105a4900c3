package cfventry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
)

// Figures of attempts.
const (
	maxArrivals   = 6                       // endpoints that one request is offered to
	maxBuffered   = 1 << 20                 // a longer answer is passed on as it arrives
	hedgeFactor   = 3                       // a repeatable request is sent elsewhere after so many objectives
	loadingTime   = 500 * time.Millisecond  // an endpoint that rejects while it has room loads weights
	oldWeightsIn  = 1200 * time.Millisecond // from then on older weights cost worth
	oldWeightsEnd = 0.7                     // share of the bound from which older weights begin nothing
	comeBack      = 300 * time.Millisecond
)

// outcome is how an attempt ended.
type outcome int

const (
	answered outcome = iota // the caller has its answer
	again                   // not run there
	broken                  // may have run there
	left                    // the caller is gone
	expired                 // the time is over
)

// run sends the request to endpoints until one answers.
func (q *request) run() {
	e := q.entry
	defer q.settle(true)
	q.pickService()
	e.mu.Lock()
	e.budget(q.service.Name).CountRequest(e.cfg.Now())
	e.mu.Unlock()
	for {
		if q.left() < leastLeft {
			q.expire()
			return
		}
		if q.arrivals > 0 && !e.mayRepeat(q.service.Name, q.repeatReason()) {
			q.giveUp(cfverror.ReasonRetryBudget, "the budget of repeats is spent")
			return
		}
		choice, d, refusal := q.choose()
		if refusal != nil {
			q.refuse(refusal)
			return
		}
		switch q.attempt(choice, d) {
		case answered:
			return
		case left:
			q.refuse(&statusError{refusal: cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")})
			return
		case expired:
			q.expire()
			return
		case again:
			if q.arrivals >= maxArrivals {
				q.giveUp(cfverror.ReasonEndpointsFull, "%d endpoints rejected the request", q.arrivals)
				return
			}
		case broken:
			if !q.route.Retryable() || q.sent >= q.route.MaxAttempts {
				q.giveUp(cfverror.ReasonEndpointFailed, "the endpoint broke off")
				return
			}
		}
	}
}

func (q *request) repeatReason() cfverror.Reason {
	if q.sent > 0 {
		return cfverror.ReasonEndpointFailed
	}
	return cfverror.ReasonEndpointsFull
}

// pickService draws the service of a split route once for all attempts.
func (q *request) pickService() {
	name := q.route.PickService(q.entry.cfg.Random())
	if q.service = q.index.Service(name); q.service == nil {
		q.service = &cfvfleet.Service{Name: name}
	}
}

// expire answers a request whose time is over.
func (q *request) expire() {
	if q.stream.begun() {
		q.cut("the time limit is reached")
		return
	}
	if q.sent == 0 {
		q.refuse(q.later(comeBack, cfverror.ReasonTimeout, "the time limit is reached"))
		return
	}
	q.refuse(&statusError{status: http.StatusGatewayTimeout, refusal: cfverror.Unknown(cfverror.ReasonTimeout, "the time limit is reached")})
}

// giveUp answers a request that is not sent again.
func (q *request) giveUp(reason cfverror.Reason, format string, args ...any) {
	if q.stream.begun() {
		q.cut(fmt.Sprintf(format, args...))
		return
	}
	if q.sent == 0 {
		q.refuse(q.later(comeBack, reason, format, args...))
		return
	}
	q.refuse(&statusError{status: http.StatusBadGateway, refusal: cfverror.Unknown(reason, format, args...)})
}

// cut ends a stream that has begun in a way that the caller can't take for its end.
func (q *request) cut(why string) {
	q.entry.cfg.Metrics.CountRefusal(cfverror.ReasonResponseTruncated)
	q.entry.cfg.Log.Warnw("a stream was cut", q.facts("why", why)...)
	panic(http.ErrAbortHandler)
}

// Units of link rates.
const (
	bitsPerByte     = 8
	bitsPerMsOfMbps = 1000 // bits a millisecond of one Mbit/s
)

// attempt sends the request to one endpoint.
func (q *request) attempt(c cfvdispatch.Choice, d cfvcall.ForwardOptions) outcome {
	e, ep := q.entry, c.Endpoint
	q.arrivals++
	pending := q.load()
	settle := func() {
		if pending > 0 {
			q.settle(false)
			e.mu.Lock()
			e.dispatcher.PrefillDone(ep, pending)
			e.mu.Unlock()
			pending = 0
		}
	}
	defer func() {
		settle()
		q.settle(true)
		e.mu.Lock()
		e.dispatcher.Finish(ep)
		e.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(q.r.Context(), q.left())
	defer cancel()
	hedge := q.hedgeTimer(cancel)
	defer hedge.stop()
	var s sending
	resp, err := q.send(s.trace(ctx), ep, d)
	if err != nil {
		return q.sendFailed(ep, &s, hedge, err)
	}
	defer resp.Body.Close()
	v := e.cfg.Codec.ReadResponseMeta(resp.StatusCode, resp.Header)
	q.learn(ep, v)
	switch {
	case v.RequestID != "" && v.RequestID != q.call.ID:
		cancel()
		q.note(ep, "the answer belongs to another request", "answerId", v.RequestID)
		e.upstreams.drop(ep.ID)
		q.sent++
		q.failed(ep)
		return broken
	case v.NotRun || v.Misdirected:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, headerLimit)) // keeps the connection; the answer says nothing more
		return q.rejectedBy(ep, v, resp.StatusCode)
	case !v.FromEndpoint:
		q.note(ep, "the answer is not the endpoint's own", "status", resp.StatusCode)
		q.sent++
		q.failed(ep)
		return broken
	}
	q.sent++
	if resp.StatusCode/100 == 2 && q.route.Kind == cfvfleet.Streaming {
		return q.relay(ep, resp, hedge, settle)
	}
	return q.deliver(ep, resp, hedge)
}

// send makes the exchange up to the head of the answer.
func (q *request) send(ctx context.Context, ep *cfvfleet.Endpoint, d cfvcall.ForwardOptions) (*http.Response, error) {
	req := &http.Request{
		Method: q.r.Method, URL: q.r.URL, Host: q.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: q.entry.cfg.Codec.RequestHeader(q.r.Header, d),
	}
	u := *q.r.URL
	u.Scheme, u.Host = "http", ep.Addr
	req.URL = &u
	// A body without GetBody keeps the client library from repeating the request on its own.
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	conns := q.conns()
	q.entry.mu.Lock()
	keep := q.entry.keep[q.service.Name]
	q.entry.mu.Unlock()
	return q.entry.upstreams.to(ep, conns, keep).transport.RoundTrip(req.WithContext(ctx))
}

// conns is this entry's part of the connections that an endpoint accepts.
func (q *request) conns() int {
	if q.service.MaxConns <= 0 {
		return 64
	}
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return max(int(connShare*float64(q.service.MaxConns))/q.entry.entries, leastConns)
}

// sendFailed judges an exchange that brought no answer.
func (q *request) sendFailed(ep *cfvfleet.Endpoint, s *sending, h *hedge, err error) outcome {
	e := q.entry
	wasSent := s.left()
	if wasSent {
		q.sent++
	}
	q.note(ep, "an endpoint did not answer", "wasSent", wasSent, "error", err.Error(), "hedged", h.fired())
	switch {
	case q.gone():
		return left
	case h.fired():
		e.upstreams.drop(ep.ID)
		q.failed(ep)
		return broken
	case errors.Is(err, context.DeadlineExceeded) || q.left() < leastLeft:
		e.upstreams.drop(ep.ID)
		q.failed(ep)
		return expired
	}
	q.rejected[ep.ID] = true
	if !wasSent {
		if !s.reused {
			e.suspect(ep, q.service)
		}
		return again
	}
	e.suspect(ep, q.service)
	q.crashed(ep)
	q.failed(ep)
	return broken
}

// rejectedBy notes an answer that says the request has not run.
func (q *request) rejectedBy(ep *cfvfleet.Endpoint, v cfvcall.ResponseMeta, status int) outcome {
	e := q.entry
	q.rejected[ep.ID] = true
	q.note(ep, "an endpoint rejected the request", "status", status, "endpointSeen", v.EndpointID, "weightVersion", v.WeightVersion)
	now := e.cfg.Now()
	switch {
	case v.Misdirected && v.EndpointID != "" && v.EndpointID != ep.ID:
		e.suspect(ep, q.service)
	case v.Misdirected && v.WeightVersion > 0:
		delete(q.rejected, ep.ID) // other weights than expected, which are known now
	case v.Misdirected:
		q.otherWeights(ep)
	case q.call.Prompt.Model != "":
		e.mu.Lock()
		e.dispatcher.RecordWeightsLoading(ep, now+loadingTime)
		e.mu.Unlock()
	}
	return again
}

// otherWeights notes that an endpoint runs other weights than it was told to expect, and
// does not say which. Where they were older than the newest, it runs the newest by now.
func (q *request) otherWeights(ep *cfvfleet.Endpoint) {
	e, model := q.entry, q.call.Prompt.Model
	var wanted int64
	e.cfg.State.Read(func(v *cfvfleet.View) { wanted = v.Desired(model).Version })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dispatcher.WeightsVersion(ep, model) < wanted {
		e.dispatcher.RecordWeights(ep, model, wanted)
		delete(q.rejected, ep.ID)
		return
	}
	e.dispatcher.RecordMissingWeights(ep, model)
}

// learn takes what an answer says of its endpoint.
func (q *request) learn(ep *cfvfleet.Endpoint, v cfvcall.ResponseMeta) {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.WeightVersion > 0 && q.call.Prompt.Model != "" && (v.EndpointID == "" || v.EndpointID == ep.ID) {
		e.dispatcher.RecordWeights(ep, q.call.Prompt.Model, v.WeightVersion)
	}
	if v.KeepAlive > 0 && e.keep[q.service.Name] != v.KeepAlive {
		e.keep[q.service.Name] = v.KeepAlive
	}
}

// note logs what an endpoint did to the request.
func (q *request) note(ep *cfvfleet.Endpoint, sentence string, pairs ...any) {
	q.entry.cfg.Log.Infow(sentence, append(q.facts("endpoint", ep.ID, "leftMillis", q.left().Milliseconds()), pairs...)...)
}

// failed counts a failure of the endpoint.
func (q *request) failed(ep *cfvfleet.Endpoint) { q.count(ep, true) }

// count takes how a request ended at an endpoint.
func (q *request) count(ep *cfvfleet.Endpoint, failed bool) {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.usual[q.route.Name]
	if u == nil {
		u = &cfvdispatch.FailureBaseline{}
		e.usual[q.route.Name] = u
	}
	e.dispatcher.RecordOutcome(e.cfg.Now(), ep, u.Add(failed))
	if !failed {
		e.dispatcher.RecordResponse(ep)
		e.quarantine.RecordResponse(q.print)
	}
}

// crashed notes that an endpoint went down while it ran the request.
func (q *request) crashed(ep *cfvfleet.Endpoint) {
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	q.entry.quarantine.RecordCrash(time.Now(), q.print, fmt.Sprintf("%s/%d", ep.ID, ep.StartMillis))
}

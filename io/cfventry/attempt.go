package cfventry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvreach"
)

// Limits and timeouts of attempts.
const (
	maxAttempts           = 6                       // attempts after which a rejected request is given up
	maxBufferedResponse   = 1 << 20                 // a longer response is forwarded while it arrives
	hedgeFactor           = 3                       // a retryable request is sent to another endpoint after this many latency objectives
	weightsLoadTime       = 500 * time.Millisecond  // an endpoint that rejects requests below its limit is taken to be loading weights
	preferNewWeightsAfter = 1200 * time.Millisecond // age of a new version from which endpoints on older weights are penalized
	refuseOldWeightsShare = 0.7                     // share of MaxVersionDelay after which no request starts on older weights
	defaultRetryAfter     = 300 * time.Millisecond
)

// outcome is the result of an attempt.
type outcome int

const (
	outcomeDone       outcome = iota // the caller got a response
	outcomeNotRun                    // the endpoint did not run the request
	outcomeFailed                    // the endpoint may have run the request
	outcomeCallerGone                // the caller closed its connection
	outcomeExpired                   // the deadline has passed
)

// run sends the request to one endpoint after the other until an attempt succeeds, the deadline
// passes, or no retry is allowed.
func (q *request) run() {
	e := q.entry
	defer q.settle(true)
	q.pickService()
	q.pickVersion()
	if !q.handsOver() && q.possibleRuns == 0 { // the peer that serves it counts it, once
		e.mu.Lock()
		e.retryBudget(q.service.Name).CountRequest(e.cfg.Now())
		e.mu.Unlock()
	}
	for {
		if q.timeLeft() < minTimeLeft {
			q.expire()
			return
		}
		if refusal := q.partRefusal(); refusal != nil {
			q.refuse(refusal)
			return
		}
		if refusal := q.stopRefusal(); refusal != nil {
			q.refuse(refusal)
			return
		}
		if q.returnToPeer() {
			return
		}
		if q.handsOver() {
			if q.handOver() {
				return
			}
			continue
		}
		if q.attempts > 0 && !e.takeRetry(q.service.Name, q.retryReason()) {
			q.giveUp(cfverror.ReasonRetryBudget, "the budget of repeats is spent")
			return
		}
		choice, opts, refusal := q.choose()
		if refusal != nil {
			q.refuse(refusal)
			return
		}
		switch q.attempt(choice, opts) {
		case outcomeDone:
			return
		case outcomeCallerGone:
			q.refuse(&httpRefusal{refusal: cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")})
			return
		case outcomeExpired:
			q.expire()
			return
		case outcomeNotRun:
			if q.attempts >= maxAttempts {
				q.giveUp(cfverror.ReasonEndpointsFull, "%d endpoints rejected the request", q.attempts)
				return
			}
		case outcomeFailed:
			if !q.route.Retryable() || q.possibleRuns >= q.route.MaxAttempts {
				q.giveUp(cfverror.ReasonEndpointFailed, "the endpoint broke off")
				return
			}
		}
	}
}

// retryReason returns the reason under which the next retry is counted.
func (q *request) retryReason() cfverror.Reason {
	if q.possibleRuns > 0 {
		return cfverror.ReasonEndpointFailed
	}
	return cfverror.ReasonEndpointsFull
}

// pickService picks the service of a split route at random, once for all attempts.
func (q *request) pickService() {
	name := q.route.PickService(q.entry.cfg.Random())
	if q.service = q.index.Service(name); q.service == nil {
		q.service = &cfvfleet.Service{Name: name}
	}
}

// expire ends a request whose deadline has passed.
func (q *request) expire() {
	if q.stream.hasStarted() {
		q.abortStream("the time limit is reached")
		return
	}
	if stopAt, stopping := q.entry.stopTime(); stopping && stopAt < q.deadline {
		q.refuse(q.retryLater(otherEntryRetryAfter, cfverror.ReasonStopping, "this entry stops"))
		return
	}
	if q.possibleRuns == 0 {
		q.refuse(q.retryLater(defaultRetryAfter, cfverror.ReasonTimeout, "the time limit is reached"))
		return
	}
	q.refuse(&httpRefusal{status: http.StatusGatewayTimeout, refusal: cfverror.Unknown(cfverror.ReasonTimeout, "the time limit is reached")})
}

// giveUp ends a request that is not retried.
func (q *request) giveUp(reason cfverror.Reason, format string, args ...any) {
	if q.stream.hasStarted() {
		q.abortStream(fmt.Sprintf(format, args...))
		return
	}
	q.refuse(q.retryLater(defaultRetryAfter, reason, format, args...))
}

// abortStream breaks the connection of a stream that has started, so that the caller does not
// mistake the incomplete response for a complete one.
func (q *request) abortStream(reason string) {
	q.entry.cfg.Metrics.CountRefusal(cfverror.ReasonResponseTruncated)
	q.entry.cfg.Log.Warnw("a stream was aborted", q.logFields("why", reason)...)
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one endpoint and forwards the response, unless the request is to
// be retried.
func (q *request) attempt(choice cfvdispatch.Choice, opts cfvcall.ForwardOptions) outcome {
	e, ep := q.entry, choice.Endpoint
	q.attempts++
	q.answer = answerProgress{crashed: q.answer.crashed} // a rejection doesn't undo the crash before
	pendingTokens := q.promptTokens()
	prefillDone := func() {
		if pendingTokens > 0 {
			q.settle(false)
			e.mu.Lock()
			e.dispatcher.PrefillDone(ep, pendingTokens)
			e.mu.Unlock()
			pendingTokens = 0
		}
	}
	defer func() {
		prefillDone()
		q.settle(true)
		e.mu.Lock()
		e.dispatcher.Finish(ep)
		e.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(q.r.Context(), q.timeLeft())
	defer cancel()
	hedge := q.startHedgeTimer(ep, cancel)
	defer hedge.stop()
	q.startTimes(choice)
	sent := sendTracker{onConn: func(openedAt time.Duration) { q.times.sentAt, q.times.connectedAt = e.cfg.Now(), openedAt }}
	defer sent.releaseHead()
	dog := cfvhttp.NewWatchdog(cancel)
	defer dog.Stop()
	pending := &pendingAttempt{service: q.service.Name, endpoint: ep.ID, model: q.meta.Prompt.Model, version: opts.WeightVersion, workspace: opts.Workspace, scope: q.scope.name, sent: &sent, cancel: cancel}
	e.pending.add(pending)
	pool := q.connPool(ep)
	resp, err := q.sendInTurn(dog.WatchHead(sent.trace(ctx)), pool, choice, opts)
	e.pending.remove(pending)
	sent.endHead()
	if errors.Is(err, errBecameCold) {
		return q.handleBecameCold(ep)
	}
	if reason, ok := pending.cancelled(); ok && !q.callerGone() {
		mayHaveRun := sent.mayHaveSent()
		if err == nil {
			meta := e.cfg.Codec.ReadResponseMeta(resp.StatusCode, resp.Header)
			q.recordNotice(ep, meta, resp.StatusCode)
			mayHaveRun = mayHaveRun && !(cfvhttp.IsFinalStatus(resp.StatusCode) && q.saysNotRun(meta))
			_ = resp.Body.Close()
		}
		return q.handleObsolete(ep, reason, mayHaveRun)
	}
	if err != nil {
		return q.handleSendError(ep, &sent, hedge.fired() || dog.Expired(), err)
	}
	dog.Stop()
	e.recordReach(ep.ID, cfvreach.NoResponse, true)
	defer resp.Body.Close()
	if !cfvhttp.IsFinalStatus(resp.StatusCode) {
		cancel() // so that the connection isn't used again
		return q.handleInvalidStatus(ep, resp.StatusCode)
	}
	meta := e.cfg.Codec.ReadResponseMeta(resp.StatusCode, resp.Header)
	q.applyResponseMeta(ep, meta)
	q.recordNotice(ep, meta, resp.StatusCode)
	switch {
	case meta.RequestID != q.meta.ID:
		cancel()
		q.logAttempt(ep, "the response belongs to another request", "answerId", meta.RequestID)
		e.connPools.closeIdle(ep.ID)
		q.possibleRuns++
		q.recordFailure(ep)
		return outcomeFailed
	case meta.NotRun || meta.Misdirected:
		dog.Start(rejectBodyTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectBodyBytes)) // so that the connection can be reused; the body carries no information
		return q.handleRejection(ep, meta, resp.StatusCode, opts.WeightVersion)
	case !meta.FromEndpoint:
		q.logAttempt(ep, "the response does not come from the endpoint", "status", resp.StatusCode)
		q.possibleRuns++
		q.recordFailure(ep)
		return outcomeFailed
	}
	q.possibleRuns++
	q.times.incomparable = resp.StatusCode/100 != 2
	if !q.route.Retryable() || q.possibleRuns >= q.route.MaxAttempts {
		q.body.release() // it isn't sent again
	}
	q.recordArrival()
	q.recordBegin(ep, max(meta.WeightVersion, opts.WeightVersion))
	if resp.StatusCode/100 == 2 && q.route.Kind == cfvfleet.Streaming {
		return q.forwardStream(ep, resp, hedge, dog, prefillDone)
	}
	if q.stream.hasStarted() {
		return q.failResumption(ep, resp.StatusCode)
	}
	q.meter()
	return q.forwardResponse(ep, resp, hedge)
}

// saysNotRun reports whether a response tells that the endpoint did not run the request.
func (q *request) saysNotRun(meta cfvcall.ResponseMeta) bool {
	return meta.RequestID == q.meta.ID && (meta.NotRun || meta.Misdirected)
}

// send sends the request to the endpoint of a pool and returns when the response headers have arrived.
func (q *request) send(ctx context.Context, pool *connPool, opts cfvcall.ForwardOptions) (*http.Response, error) {
	req := &http.Request{
		Method: q.r.Method, URL: q.r.URL, Host: q.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: q.entry.cfg.Codec.RequestHeader(q.r.Header, opts),
	}
	target := *q.r.URL
	target.Scheme, target.Host = "http", pool.addr
	req.URL = &target
	// Without GetBody the HTTP transport cannot retry the request on its own.
	req.Body, req.ContentLength = q.body.open(), q.body.length()
	if q.rejectedBy[pool.incarnation.ID] {
		return pool.unshared().RoundTrip(req.WithContext(ctx))
	}
	return pool.transport.RoundTrip(req.WithContext(ctx))
}

// handleSendError handles an attempt that got no response. The argument cancelled reports whether this
// entry gave up on the endpoint.
func (q *request) handleSendError(ep *cfvfleet.Endpoint, sent *sendTracker, cancelled bool, err error) outcome {
	e := q.entry
	wasSent := sent.mayHaveSent()
	if wasSent {
		q.possibleRuns++
	}
	if wasSent && !q.callerGone() && !q.ended() {
		e.recordReach(ep.ID, cfvreach.NoResponse, false)
	}
	q.logAttempt(ep, "an endpoint did not answer", "wasSent", wasSent, "error", err.Error(), "hedged", cancelled)
	switch {
	case q.callerGone():
		return outcomeCallerGone
	case q.ended():
		return outcomeExpired
	case cancelled:
		e.connPools.closeIdle(ep.ID)
		q.recordFailure(ep)
		return outcomeFailed
	case q.timeLeft() < minTimeLeft: // the error doesn't tell, since that of a dial that times out is the same
		e.connPools.closeIdle(ep.ID)
		q.recordFailure(ep)
		return outcomeExpired
	}
	if errors.Is(err, errNoRoom) { // for the head of the response, which is no fault of the endpoint's process
		q.excluded[ep.ID] = true
		return outcomeFailed
	}
	if !wasSent && sent.reused {
		go e.suspectRestart(ep.Incarnation())
		return outcomeNotRun // the connection broke while it was idle, so the endpoint may be available
	}
	if wasSent && !e.ReachesEndpoints(q.r.Context()) {
		return outcomeFailed
	}
	q.excluded[ep.ID] = true
	e.markUnavailable(ep, q.service)
	if !wasSent {
		return outcomeNotRun
	}
	q.recordEnd(ep, nil, endBrokenOff)
	q.recordFailure(ep)
	return outcomeFailed
}

// handleRejection handles a response that marks the request as not run. The request expected a version of the
// weights; 0 means none.
func (q *request) handleRejection(ep *cfvfleet.Endpoint, meta cfvcall.ResponseMeta, status int, expected int64) outcome {
	e := q.entry
	q.excluded[ep.ID] = true
	if q.rejectedBy == nil {
		q.rejectedBy = make(map[string]bool)
	}
	q.rejectedBy[ep.ID] = true
	q.logAttempt(ep, "an endpoint rejected the request", "status", status, "endpointSeen", meta.EndpointID, "weightVersion", meta.WeightVersion)
	now := e.cfg.Now()
	switch {
	case meta.Misdirected && meta.EndpointID != "" && meta.EndpointID != ep.ID:
		e.markUnavailable(ep, q.service)
	case meta.Misdirected && meta.WeightVersion > 0:
		delete(q.excluded, ep.ID) // the response reported which weights the endpoint runs, so it can be tried again
	case meta.Misdirected:
		q.handleWeightsMismatch(ep, expected)
	case q.meta.Prompt.Model != "":
		e.mu.Lock()
		e.dispatcher.RecordWeightsLoading(ep, now+weightsLoadTime)
		e.mu.Unlock()
	}
	return outcomeNotRun
}

// applyResponseMeta records the weights and the keep-alive time that an endpoint reported.
func (q *request) applyResponseMeta(ep *cfvfleet.Endpoint, meta cfvcall.ResponseMeta) {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if meta.RequestID == q.meta.ID && !meta.Misdirected {
		e.recordAlive(ep, q.times.connectedAt, q.times.sentAt)
	}
	if meta.WeightVersion > 0 && q.meta.Prompt.Model != "" && (meta.EndpointID == "" || meta.EndpointID == ep.ID) {
		e.dispatcher.RecordWeights(ep, q.meta.Prompt.Model, meta.WeightVersion)
	}
	if meta.KeepAlive > 0 && e.keepAlives[q.service.Name] != meta.KeepAlive {
		e.keepAlives[q.service.Name] = meta.KeepAlive
	}
}

// logAttempt logs an event of the attempt at an endpoint.
func (q *request) logAttempt(ep *cfvfleet.Endpoint, message string, pairs ...any) {
	q.entry.cfg.Log.Infow(message, append(q.logFields("endpoint", ep.ID, "leftMillis", q.timeLeft().Milliseconds()), pairs...)...)
}

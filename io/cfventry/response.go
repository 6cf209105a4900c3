package cfventry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"coltsfootvalve/core/cfvfleet"
)

// forwardResponse reads the whole response and sends it to the caller. A longer one than
// maxBufferedResponse is forwarded while it arrives, and so is one for which there is no memory.
func (q *request) forwardResponse(ep *cfvfleet.Endpoint, resp *http.Response, hedge *hedgeTimer) outcome {
	q.answer.began, q.answer.unframed = q.entry.cfg.Now(), !isFramed(resp)
	body := &bodyBuffer{budget: q.entry.cfg.BodyBudget}
	defer body.release()
	err := body.readResponse(resp)
	noRoom := errors.Is(err, errNoRoom)
	if err != nil && !noRoom {
		q.logAttempt(ep, "a response was incomplete", "status", resp.StatusCode, "error", err.Error())
		switch {
		case q.callerGone():
			return outcomeCallerGone
		case q.ended():
			return outcomeExpired
		case hedge.fired():
		case errors.Is(err, context.DeadlineExceeded):
			q.recordFailure(ep)
			return outcomeExpired
		case !q.entry.ReachesEndpoints(q.r.Context()):
			return outcomeFailed
		default:
			q.recordEnd(ep, resp, endBrokenOff)
		}
		q.excluded[ep.ID] = true
		q.recordFailure(ep)
		return outcomeFailed
	}
	serverError := resp.StatusCode >= http.StatusInternalServerError
	long := noRoom || body.size > maxBufferedResponse
	if serverError || !long {
		q.recordOutcome(ep, serverError)
	}
	if !long {
		q.recordEnd(ep, resp, plainEnd(resp))
	}
	if serverError && q.canRetryElsewhere(ep) {
		return outcomeFailed
	}
	hedge.stop()
	q.copyHeaders(resp)
	if long {
		return q.forwardLongResponse(ep, resp, body)
	}
	q.w.Header().Set("Content-Length", fmt.Sprint(body.size))
	q.w.WriteHeader(resp.StatusCode)
	if err := body.writeTo(q.w); err != nil {
		q.logAttempt(ep, "the response could not be sent to the caller", "error", err.Error())
	}
	q.recordServed(ep, resp.StatusCode)
	return outcomeDone
}

// failResumption handles an endpoint that answers a stream which has begun with an error. The caller has the head of
// another response already, so nothing of this one can be passed on.
func (q *request) failResumption(ep *cfvfleet.Endpoint, status int) outcome {
	q.logAttempt(ep, "an endpoint did not go on with a stream", "status", status, "lastEvent", q.stream.lastEventID)
	q.excluded[ep.ID] = true
	if status >= http.StatusInternalServerError {
		q.recordFailure(ep)
	}
	return outcomeFailed
}

// handleInvalidStatus handles a response whose status is none. Nothing else in it is relied on, not even that the request did not
// run.
func (q *request) handleInvalidStatus(ep *cfvfleet.Endpoint, status int) outcome {
	q.entry.cfg.Metrics.Count("attempts.invalidStatus", 1)
	q.logAttempt(ep, "the status of a response is invalid", "status", status)
	q.entry.connPools.closeIdle(ep.ID)
	q.excluded[ep.ID] = true
	q.possibleRuns++
	q.recordFailure(ep)
	return outcomeFailed
}

// canRetryElsewhere reports whether a request to which the endpoint returned a server error can
// be retried at another endpoint. It excludes this endpoint from further attempts.
func (q *request) canRetryElsewhere(ep *cfvfleet.Endpoint) bool {
	if !q.route.Retryable() || q.possibleRuns >= q.route.MaxAttempts || q.timeLeft() < q.route.LatencyObjective/4 {
		return false
	}
	q.excluded[ep.ID] = true
	candidates := 0
	q.entry.cfg.State.Read(func(v *cfvfleet.View) {
		for _, candidate := range v.Serving(q.service.Name, false) { // a retry never goes to the candidates of a roll-out
			if !q.excluded[candidate.ID] {
				candidates++
			}
		}
	})
	return candidates > 0 && q.entry.hasRetryBudget(q.service.Name)
}

// forwardLongResponse forwards a long response while it arrives; start holds its first bytes. It
// breaks the connection of an incomplete response, so that the caller notices.
func (q *request) forwardLongResponse(ep *cfvfleet.Endpoint, resp *http.Response, start *bodyBuffer) outcome {
	q.w.WriteHeader(resp.StatusCode)
	q.times.incomparable = true
	first, rest := start.open(), &endpointReader{r: resp.Body}
	defer first.Close()
	if _, err := io.Copy(q.w, io.MultiReader(first, rest)); err != nil {
		q.logAttempt(ep, "a long response was incomplete", "error", err.Error())
		if rest.failed && !q.callerGone() && !q.ended() && q.entry.ReachesEndpoints(q.r.Context()) {
			q.recordEnd(ep, resp, endBrokenOff)
			q.recordFailure(ep)
		}
		panic(http.ErrAbortHandler)
	}
	q.recordEnd(ep, resp, plainEnd(resp))
	if resp.StatusCode < http.StatusInternalServerError {
		q.recordOutcome(ep, false)
	}
	q.recordServed(ep, resp.StatusCode)
	return outcomeDone
}

// endpointReader tells whether the endpoint broke off, and not the caller.
type endpointReader struct {
	r      io.Reader
	failed bool
}

func (e *endpointReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	e.failed = err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// copyHeaders copies the headers of a response that the caller gets.
func (q *request) copyHeaders(resp *http.Response) {
	for name, values := range resp.Header {
		if q.entry.cfg.Codec.PassesResponseHeader(name) {
			q.w.Header()[name] = values
		}
	}
	q.announceClose()
}

// recordServed counts a served request and logs it if it failed at the endpoint or is one of the
// sampled successes.
func (q *request) recordServed(ep *cfvfleet.Endpoint, status int, pairs ...any) {
	e := q.entry
	e.cfg.Metrics.Count("served."+q.service.Name, 1)
	e.cfg.Metrics.Observe("answer."+q.route.Name, e.cfg.Now()-q.start)
	q.recordDuration()
	n := e.served.Add(1)
	if status < http.StatusInternalServerError && (e.cfg.LogSuccessEvery <= 0 || n%int64(e.cfg.LogSuccessEvery) != 0) {
		return
	}
	q.logAttempt(ep, "a request was answered", append([]any{"status", status}, pairs...)...)
}

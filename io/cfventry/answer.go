package cfventry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"coltsfootvalve/core/cfvfleet"
)

// deliver reads a whole answer and passes it on.
func (q *request) deliver(ep *cfvfleet.Endpoint, resp *http.Response, h *hedge) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		q.note(ep, "an answer was not complete", "status", resp.StatusCode, "error", err.Error())
		switch {
		case q.gone():
			return left
		case h.fired():
		case errors.Is(err, context.DeadlineExceeded):
			q.failed(ep)
			return expired
		}
		q.rejected[ep.ID] = true
		q.failed(ep)
		return broken
	}
	bad := resp.StatusCode >= http.StatusInternalServerError
	q.count(ep, bad)
	if bad && q.mayTryElsewhere(ep) {
		return broken
	}
	h.stop()
	q.head(resp)
	if len(body) > maxBuffered {
		return q.passOn(ep, resp, body)
	}
	q.w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	q.w.WriteHeader(resp.StatusCode)
	if _, err := q.w.Write(body); err != nil {
		q.note(ep, "the caller did not take its answer", "error", err.Error())
	}
	q.done(ep, resp.StatusCode)
	return answered
}

// mayTryElsewhere reports whether a failure of the endpoint's own is worth another try.
func (q *request) mayTryElsewhere(ep *cfvfleet.Endpoint) bool {
	if !q.route.Retryable() || q.sent >= q.route.MaxAttempts || q.left() < q.route.LatencyObjective/4 {
		return false
	}
	q.rejected[ep.ID] = true
	others := 0
	q.entry.cfg.State.Read(func(v *cfvfleet.View) {
		for _, other := range v.Usable(q.service.Name) {
			if !q.rejected[other.ID] {
				others++
			}
		}
	})
	return others > 0 && q.entry.roomToRepeat(q.service.Name)
}

// passOn copies a long answer as it arrives.
func (q *request) passOn(ep *cfvfleet.Endpoint, resp *http.Response, start []byte) outcome {
	q.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(q.w, io.MultiReader(bytes.NewReader(start), resp.Body)); err != nil {
		q.note(ep, "a long answer was not complete", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	q.done(ep, resp.StatusCode)
	return answered
}

// head copies the headers of an answer.
func (q *request) head(resp *http.Response) {
	for name, values := range resp.Header {
		if q.entry.cfg.Codec.PassesResponseHeader(name) {
			q.w.Header()[name] = values
		}
	}
}

// done logs a served request, or one in so many.
func (q *request) done(ep *cfvfleet.Endpoint, status int, pairs ...any) {
	e := q.entry
	e.cfg.Metrics.Count("served."+q.service.Name, 1)
	e.cfg.Metrics.Observe("answer."+q.route.Name, e.cfg.Now()-q.begun)
	n := e.served.Add(1)
	if status < http.StatusInternalServerError && (e.cfg.LogSuccessEvery <= 0 || n%int64(e.cfg.LogSuccessEvery) != 0) {
		return
	}
	q.note(ep, "a request was answered", append([]any{"status", status}, pairs...)...)
}

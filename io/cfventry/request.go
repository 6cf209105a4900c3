package cfventry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/io/cfvreserve"

	"github.com/cespare/xxhash/v2"
)

// request is the state of one caller's request while the entry handles it.
type request struct {
	entry        *Entry
	w            http.ResponseWriter
	r            *http.Request
	start        time.Duration
	admittedAt   time.Duration // when it had arrived in full
	meta         cfvcall.RequestMeta
	index        *cfvfleet.Index
	route        *cfvfleet.Route
	service      *cfvfleet.Service
	workspace    *cfvfleet.Workspace
	body         *bodyBuffer
	deadline     time.Duration   // when the caller must have the complete response
	fingerprint  string          // identifies identical requests in the quarantine
	excluded     map[string]bool // endpoints that are not tried again
	rejectedBy   map[string]bool // endpoints that rejected it, some of which are tried again
	possibleRuns int             // attempts that an endpoint may have run
	attempts     int             // attempts so far
	counted      bool            // the request is counted in the demand
	metered      bool            // the request is counted in the usage of its workspace
	held         bool            // the request was held
	stream       *streamState
	answer       answerProgress    // of the present attempt
	scope        cacheScope        // of the next attempt
	grant        *cfvreserve.Grant // placement of a long prompt; nil if there is none
	stateAge     time.Duration     // age of the state at admission
	candidate    bool              // the next attempt goes to the software version that is rolled out
	pools        bool              // the stable endpoints are in pools for short and long prompts
	mixed        bool              // the chosen endpoint serves long prompts, and this one is short
	times        attemptTimes      // of the current attempt
	seen         cfvdispatch.Load  // at the chosen endpoint, without this request
	handedOver   bool              // a peer handed the request over
	runsBefore   int               // possibleRuns before that
	askedPeers   map[string]bool   // peers that the request was handed over to
}

// Timeouts and limits of requests.
const (
	defaultTimeout       = 30 * time.Second // for requests without a deadline on routes without a timeout
	minTimeLeft          = 4 * time.Millisecond
	defaultMaxBodyBytes  = 8 << 20
	staleStateAge        = 3 * time.Second // an older state may lack a new route or API key
	otherEntryRetryAfter = 50 * time.Millisecond
	quarantineRetryAfter = 30 * time.Second
)

// serve handles one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	e.serveRequest(w, r, func(*request) {})
}

// serveRequest handles one request that is counted as running; setUp sets its first state.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, setUp func(*request)) {
	if len(r.TransferEncoding) > 0 {
		// Parsers may disagree on where a chunked body ends, which allows request smuggling,
		// so no further request is read from this connection.
		w.Header().Set("Connection", "close")
	}
	q := &request{entry: e, w: w, r: r, start: e.cfg.Now(), excluded: make(map[string]bool)}
	setUp(q)
	q.limitWriteTime(defaultTimeout)
	defer func() { q.body.release() }()
	if refusal := q.admit(); refusal != nil {
		q.refuse(refusal)
		return
	}
	q.run()
}

// httpRefusal is a refusal with the HTTP status of its response.
type httpRefusal struct {
	status     int
	refusal    *cfverror.Refusal
	retryAfter time.Duration // sent as Retry-After; 0 means none
}

// deny refuses a request that did not run and should not be retried unchanged.
func (q *request) deny(status int, reason cfverror.Reason, format string, args ...any) *httpRefusal {
	return &httpRefusal{status: status, refusal: cfverror.NotRun(reason, format, args...)}
}

// retryLater refuses a request that is not sent to an endpoint again. Only a request that no endpoint may have run is told when to
// come back, by a Retry-After header.
func (q *request) retryLater(retryAfter time.Duration, reason cfverror.Reason, format string, args ...any) *httpRefusal {
	if q.possibleRuns > 0 {
		return &httpRefusal{status: http.StatusBadGateway, refusal: cfverror.Unknown(reason, format, args...)}
	}
	return &httpRefusal{status: http.StatusServiceUnavailable, refusal: cfverror.NotRun(reason, format, args...), retryAfter: retryAfter}
}

// admit reads the request, resolves its route and workspace, and refuses it if it may not run.
func (q *request) admit() *httpRefusal {
	e := q.entry
	meta, err := e.cfg.Codec.ReadRequestMeta(q.r.Header)
	q.meta = meta
	q.index = e.index()
	age, fresh := e.stateFresh()
	q.stateAge = age
	if q.index == nil {
		return q.retryLater(otherEntryRetryAfter, cfverror.ReasonSettings, "there is no configuration yet")
	}
	if err != nil {
		return q.deny(http.StatusBadRequest, cfverror.ReasonBadRequest, "%v", err)
	}
	q.route = q.index.Route(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.denyUnknown(http.StatusNotFound, cfverror.ReasonUnknownService, "no route for %s%s", q.r.Host, q.r.URL.Path)
	}
	if q.index.HasWorkspaces() && !q.route.Public {
		if !fresh {
			return q.retryLater(otherEntryRetryAfter, cfverror.ReasonSettings, "the configuration is %s old, and the key may have been removed", age)
		}
		if q.workspace = q.index.Workspace(meta.APIKey); q.workspace == nil {
			return q.denyUnknown(http.StatusUnauthorized, cfverror.ReasonUnauthorized, "the key belongs to no workspace")
		}
	}
	q.setDeadline()
	if refusal := q.readBody(); refusal != nil {
		return refusal
	}
	q.admittedAt = e.cfg.Now()
	q.computeFingerprint()
	if q.quarantined() {
		return q.retryLater(quarantineRetryAfter, cfverror.ReasonQuarantined, "the request took endpoints down that ran it")
	}
	return nil
}

// denyUnknown refuses a request that the configuration does not allow. If the state may be
// outdated, the refusal asks the caller to retry instead, since another entry may have a newer state.
func (q *request) denyUnknown(status int, reason cfverror.Reason, format string, args ...any) *httpRefusal {
	if q.stateAge > staleStateAge {
		return q.retryLater(otherEntryRetryAfter, cfverror.ReasonSettings, "the configuration is %s old, and by it: %s", q.stateAge, fmt.Sprintf(format, args...))
	}
	return q.deny(status, reason, format, args...)
}

// setDeadline sets the deadline from the caller's timeout and the timeout of the route.
func (q *request) setDeadline() {
	timeout := defaultTimeout
	if q.meta.Timeout > 0 {
		timeout = q.meta.Timeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.start + timeout
	q.limitWriteTime(timeout)
}

// writeMargin is the time after a request's time limit for which its response may still be written.
const writeMargin = time.Second

// limitWriteTime ends writes to a caller that doesn't read its response. The limit stays until the next request of the
// connection, since the server writes the end of the response after the request has been handled.
func (q *request) limitWriteTime(timeout time.Duration) {
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(timeout + writeMargin)) // only connections have deadlines
}

// timeLeft returns the time until the deadline, or until the request is ended because the entry stops.
func (q *request) timeLeft() time.Duration {
	end := q.deadline
	if stopAt, stopping := q.entry.stopTime(); stopping {
		end = min(end, stopAt)
	}
	return end - q.entry.cfg.Now()
}

// computeFingerprint hashes the method, path, API key and body, which are the same each time a
// caller sends the same request.
func (q *request) computeFingerprint() {
	h := xxhash.New()
	for _, s := range []string{q.r.Method, q.r.URL.Path, q.meta.APIKey} {
		_, _ = h.WriteString(s) // never returns an error
		_, _ = h.Write([]byte{0})
	}
	_ = q.body.writeTo(h)
	q.fingerprint = strconv.FormatUint(h.Sum64(), 16)
}

// quarantined reports whether the request is suspected of crashing endpoints.
func (q *request) quarantined() bool {
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return q.entry.quarantine.Blocked(time.Now(), q.fingerprint)
}

// priority returns the priority of the request at the endpoint. The priority of the workspace
// overrides that of the route.
func (q *request) priority() int {
	if q.workspace != nil && q.workspace.HasPriority {
		return q.workspace.Priority
	}
	return q.route.Priority
}

// refuse logs a refusal and sends it to the caller. It closes the connection of a caller that is gone: the server would send 200 if
// nothing was written.
func (q *request) refuse(s *httpRefusal) {
	e := q.entry
	e.cfg.Metrics.CountRefusal(s.refusal.Reason)
	e.cfg.Log.Infow("a request was refused", q.logFields("reason", string(s.refusal.Reason), "ran", string(s.refusal.Ran),
		"status", s.status, "retryAfterMillis", s.retryAfter.Milliseconds(), "why", s.refusal.Message)...)
	if s.refusal.Reason == cfverror.ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	if q.stream.hasStarted() {
		q.abortStream(s.refusal.Message)
	}
	q.notTaken(s.refusal.Reason)
	if s.retryAfter > 0 {
		q.w.Header().Set("Retry-After", strconv.FormatFloat(s.retryAfter.Seconds(), 'f', 3, 64))
	}
	q.announceClose()
	q.w.WriteHeader(s.status)
}

// logFields returns the fields of every log line about the request, followed by pairs.
func (q *request) logFields(pairs ...any) []any {
	out := []any{"requestId", q.meta.ID, "millis", (q.entry.cfg.Now() - q.start).Milliseconds(), "beliefMillis", q.stateAge.Milliseconds(), "asOf", int64(q.entry.cfg.State.AsOf()), "sent", q.attempts}
	if q.route != nil {
		out = append(out, "route", q.route.Name, "configVersion", q.index.Config().Version)
	}
	if q.workspace != nil {
		out = append(out, "workspace", q.workspace.Name)
	}
	return slices.Concat(out, pairs)
}

// callerGone reports whether the caller has closed its connection.
func (q *request) callerGone() bool {
	return errors.Is(q.r.Context().Err(), context.Canceled) && !q.ended()
}

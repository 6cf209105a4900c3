package cfventry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/io/cfvreserve"

	"github.com/cespare/xxhash/v2"
)

// request is one request of a caller on its way through the entry.
type request struct {
	entry     *Entry
	w         http.ResponseWriter
	r         *http.Request
	begun     time.Duration
	call      cfvcall.RequestMeta
	index     *cfvfleet.Index
	route     *cfvfleet.Route
	service   *cfvfleet.Service
	workspace *cfvfleet.Workspace
	body      []byte
	until     time.Duration // the final answer is due
	print     string        // fingerprint
	rejected  map[string]bool
	sent      int // endpoints that may have run it
	arrivals  int // endpoints that it was sent to
	stream    *streamState
	grant     *cfvreserve.Grant // where another entry placed it
	age       time.Duration     // of the belief that decided
}

// Figures of requests.
const (
	defaultLimit   = 30 * time.Second // for requests with neither deadline nor time limit
	leastLeft      = 4 * time.Millisecond
	defaultBody    = 8 << 20
	staleRefusal   = 3 * time.Second // an older belief may lack a new route or key
	elsewhere      = 50 * time.Millisecond
	quarantineTime = 30 * time.Second
)

// serve answers one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.stopping.Load() || len(r.TransferEncoding) > 0 {
		// A body in chunks may hide another request behind its end from other parsers, so
		// nothing further is read from this connection.
		w.Header().Set("Connection", "close")
	}
	q := &request{entry: e, w: w, r: r, begun: e.cfg.Now(), rejected: make(map[string]bool)}
	if refusal := q.admit(); refusal != nil {
		q.refuse(refusal)
		return
	}
	q.run()
}

// statusError is a refusal that is answered with a status of its own.
type statusError struct {
	status  int
	refusal *cfverror.Refusal
	after   time.Duration // when the caller may come back
}

func (q *request) deny(status int, reason cfverror.Reason, format string, args ...any) *statusError {
	return &statusError{status: status, refusal: cfverror.NotRun(reason, format, args...)}
}

// later refuses a request that has not run and never will.
func (q *request) later(after time.Duration, reason cfverror.Reason, format string, args ...any) *statusError {
	return &statusError{status: http.StatusServiceUnavailable, refusal: cfverror.NotRun(reason, format, args...), after: after}
}

// admit reads the request and finds its route and workspace.
func (q *request) admit() *statusError {
	e := q.entry
	call, err := e.cfg.Codec.ReadCall(q.r.Header)
	q.call = call
	q.index = e.index()
	age, fresh := e.fresh()
	q.age = age
	if q.index == nil {
		return q.later(elsewhere, cfverror.ReasonSettings, "there is no configuration yet")
	}
	if err != nil {
		return q.deny(http.StatusBadRequest, cfverror.ReasonBadRequest, "%v", err)
	}
	q.route = q.index.Route(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.unknown(http.StatusNotFound, cfverror.ReasonUnknownService, "no route for %s%s", q.r.Host, q.r.URL.Path)
	}
	if q.index.HasWorkspaces() && !q.route.Public {
		if !fresh {
			return q.later(elsewhere, cfverror.ReasonSettings, "the configuration is %s old, and the key may have been removed", age)
		}
		if q.workspace = q.index.Workspace(call.APIKey); q.workspace == nil {
			return q.unknown(http.StatusUnauthorized, cfverror.ReasonUnauthorized, "the key belongs to no workspace")
		}
	}
	q.setLimit()
	if refusal := q.readBody(); refusal != nil {
		return refusal
	}
	q.fingerprint()
	if q.blocked() {
		return q.later(quarantineTime, cfverror.ReasonQuarantined, "the request took endpoints down that ran it")
	}
	return nil
}

// unknown refuses what the configuration does not allow. A belief that may be behind says
// so instead.
func (q *request) unknown(status int, reason cfverror.Reason, format string, args ...any) *statusError {
	if q.age > staleRefusal {
		return q.later(elsewhere, cfverror.ReasonSettings, "the configuration is %s old, and by it: %s", q.age, fmt.Sprintf(format, args...))
	}
	return q.deny(status, reason, format, args...)
}

func (q *request) setLimit() {
	limit := defaultLimit
	if q.call.Timeout > 0 {
		limit = q.call.Timeout
	}
	if q.route.Timeout > 0 {
		limit = min(limit, q.route.Timeout)
	}
	q.until = q.begun + limit
}

func (q *request) left() time.Duration { return q.until - q.entry.cfg.Now() }

func (q *request) readBody() *statusError {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limit := q.index.Config().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return q.deny(http.StatusRequestEntityTooLarge, cfverror.ReasonBodyTooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return q.deny(http.StatusBadRequest, cfverror.ReasonBadRequest, "the body did not arrive: %v", err)
	}
	q.body = body
	return nil
}

// fingerprint names what comes again when the same request is sent once more.
func (q *request) fingerprint() {
	h := xxhash.New()
	for _, s := range []string{q.r.Method, q.r.URL.Path, q.call.APIKey} {
		_, _ = h.WriteString(s) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.print = strconv.FormatUint(h.Sum64(), 16)
}

func (q *request) blocked() bool {
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return q.entry.quarantine.Blocked(time.Now(), q.print)
}

// priority returns the request's rank at the endpoint: that of its workspace goes before
// that of its route.
func (q *request) priority() int {
	if q.workspace != nil && q.workspace.HasPriority {
		return q.workspace.Priority
	}
	return q.route.Priority
}

// refuse answers a request that no endpoint answered.
func (q *request) refuse(s *statusError) {
	e := q.entry
	e.cfg.Metrics.CountRefusal(s.refusal.Reason)
	e.cfg.Log.Infow("a request was refused", q.facts("reason", string(s.refusal.Reason), "ran", string(s.refusal.Ran),
		"status", s.status, "retryAfterMillis", s.after.Milliseconds(), "why", s.refusal.Message)...)
	if s.refusal.Reason == cfverror.ReasonCallerGone {
		return
	}
	if s.after > 0 {
		q.w.Header().Set("Retry-After", strconv.FormatFloat(s.after.Seconds(), 'f', 3, 64))
	}
	q.w.WriteHeader(s.status)
}

// facts are the values that every line about the request bears.
func (q *request) facts(pairs ...any) []any {
	out := []any{"requestId", q.call.ID, "millis", (q.entry.cfg.Now() - q.begun).Milliseconds(), "beliefMillis", q.age.Milliseconds(), "sent", q.arrivals}
	if q.route != nil {
		out = append(out, "route", q.route.Name, "configVersion", q.index.Config().Version)
	}
	if q.workspace != nil {
		out = append(out, "workspace", q.workspace.Name)
	}
	return slices.Concat(out, pairs)
}

// gone reports whether the caller has left.
func (q *request) gone() bool { return errors.Is(q.r.Context().Err(), context.Canceled) }

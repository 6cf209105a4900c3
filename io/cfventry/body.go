package cfventry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvlimit"
)

// Limits on bodies.
const (
	maxBodyPause      = 2 * time.Second        // time without a byte after which a body is ended while memory is scarce
	bodyCheckInterval = 250 * time.Millisecond // between two checks of a body that pauses
	refusalLinger     = 500 * time.Millisecond // for which a refused body is read on, so that its caller gets the refusal
	bodyRetryAfter    = time.Second            // a refused body may be sent again after this time
)

// readBody reads the whole body, so that it can be sent to more than one endpoint. A body that has not arrived when the
// request's time is over, or that pauses while memory is scarce, ends the request.
func (q *request) readBody() *httpRefusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limit := q.entry.maxBodyBytes(q.index.Config().Limits.BodyBytes)
	if q.r.ContentLength > limit {
		return q.denyBody(q.deny(http.StatusRequestEntityTooLarge, cfverror.ReasonBodyTooLarge, "the body has more than %d bytes", limit))
	}
	body := &bodyBuffer{budget: q.entry.cfg.BodyBudget}
	q.body = body
	if !body.reserve(max(q.r.ContentLength, 0)) {
		return q.denyBody(q.noRoom())
	}
	deadline := q.limitBodyTime()
	err := body.read(&progressReader{r: http.MaxBytesReader(q.w, q.r.Body, limit), deadline: deadline})
	deadline.stop(err == nil)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return q.denyBody(q.deny(http.StatusRequestEntityTooLarge, cfverror.ReasonBodyTooLarge, "the body has more than %d bytes", limit))
	case errors.Is(err, errNoRoom):
		return q.denyBody(q.noRoom())
	case q.ended():
		return q.denyBody(q.retryLater(otherEntryRetryAfter, cfverror.ReasonStopping, "this entry stops, and the body has not arrived"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return q.denyBody(q.deny(http.StatusRequestTimeout, cfverror.ReasonTimeout, "the time limit is reached, and %d bytes of the body have arrived", body.size))
	}
	return q.denyBody(q.deny(http.StatusBadRequest, cfverror.ReasonBadRequest, "the body did not arrive: %v", err))
}

// noRoom refuses a body for which the entry has no memory.
func (q *request) noRoom() *httpRefusal {
	return q.retryLater(bodyRetryAfter, cfverror.ReasonBodyMemory, "the bodies of other requests hold %d bytes", q.entry.cfg.BodyBudget.Used())
}

// denyBody closes the connection after a refusal, since the rest of the body is still to come. The server reads a part of
// it after the refusal, so its reads get a deadline too.
func (q *request) denyBody(refusal *httpRefusal) *httpRefusal {
	q.body.release()
	q.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(refusalLinger)) // only connections have deadlines
	return refusal
}

// maxBodyBytes returns the largest body that the entry accepts, given the configured limit.
func (e *Entry) maxBodyBytes(configured int64) int64 {
	limit := configured
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if b := e.cfg.BodyBudget; b != nil && limit > b.Largest() {
		if e.limitWarned.Swap(limit) != limit {
			e.cfg.Log.Warnw("limits.bodyBytes exceeds what limits.memoryMb allows for one request", "bodyBytes", limit, "allowed", b.Largest())
		}
		limit = b.Largest()
	}
	return limit
}

// bodyDeadline ends the reads of a request's body when its time is over or when the entry stops. While the budget for bodies
// is more than half used, it also ends them when nothing has arrived for maxBodyPause.
type bodyDeadline struct {
	conn    *http.ResponseController // only connections have deadlines; other writers don't wait for a body
	budget  *cfvlimit.ByteBudget
	release func() bool // stops waiting for the stop of the entry

	mu     sync.Mutex
	timer  *time.Timer
	lastAt time.Time // when bytes arrived
	over   bool
}

// limitBodyTime returns the deadline of the request's body.
func (q *request) limitBodyTime() *bodyDeadline {
	now := time.Now()
	d := &bodyDeadline{conn: http.NewResponseController(q.w), budget: q.entry.cfg.BodyBudget, lastAt: now}
	_ = d.conn.SetReadDeadline(now.Add(q.deadline - q.start))
	d.release = context.AfterFunc(q.r.Context(), func() { _ = d.conn.SetReadDeadline(time.Now()) })
	if d.budget != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.timer = time.AfterFunc(maxBodyPause, d.checkPause)
	}
	return d
}

// checkPause ends the reads if nothing has arrived for too long and others need the memory.
func (d *bodyDeadline) checkPause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return
	}
	if time.Since(d.lastAt) >= maxBodyPause && d.budget.Scarce() {
		_ = d.conn.SetReadDeadline(time.Now())
		return
	}
	d.timer.Reset(bodyCheckInterval)
}

// stop ends the checks. It removes the deadline of a body that has arrived.
func (d *bodyDeadline) stop(arrived bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.release() && arrived {
		_ = d.conn.SetReadDeadline(time.Time{}) // the server reads on, to notice that the caller leaves
	}
}

// progressReader records when bytes arrive.
type progressReader struct {
	r        io.Reader
	deadline *bodyDeadline
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.deadline.mu.Lock()
		p.deadline.lastAt = time.Now()
		p.deadline.mu.Unlock()
	}
	return n, err
}

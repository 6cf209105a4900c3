package cfventry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvreach"
)

// streamState is the progress of a stream towards the caller.
type streamState struct {
	lastEventID  string // ID of the last event that was sent to the caller
	started      bool   // the response headers have been sent
	batches      int    // batches of events forwarded so far; events that arrive together are one batch
	lastBatchAt  time.Duration
	longestPause time.Duration // longest time between two batches
}

func (s *streamState) hasStarted() bool { return s != nil && s.started }

// recordBatch records that a batch of events was forwarded.
func (s *streamState) recordBatch(now time.Duration) {
	if s.batches > 0 {
		s.longestPause = max(s.longestPause, now-s.lastBatchAt)
	}
	s.batches++
	s.lastBatchAt = now
}

// resumeAfter returns the ID of the event after which the endpoint resumes the stream; empty
// means from the start.
func (q *request) resumeAfter() string {
	if q.stream.hasStarted() {
		return q.stream.lastEventID
	}
	return q.meta.ResumeAfter
}

// Buffer sizes of streams.
const (
	streamReadSize = 4 << 10
	maxEventBytes  = 1 << 20
)

// eventReader splits a stream of server-sent events into batches of complete events. Its buffer is reserved in a budget until it is
// released, except for the size of a usual one.
type eventReader struct {
	r        io.Reader
	budget   *cfvlimit.ByteBudget
	buf      []byte
	reserved int64
	tmp      [streamReadSize]byte
	err      error
}

// next returns all complete events that have arrived, and waits for at least one. An event ends
// with an empty line.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(e.buf, []byte("\n\n")); end >= 0 {
			events := bytes.Clone(e.buf[:end+2])
			e.buf = append(e.buf[:0], e.buf[end+2:]...)
			return events, nil
		}
		if e.err != nil {
			return nil, e.err
		}
		if len(e.buf) > maxEventBytes {
			return nil, errors.New("an event exceeds the size limit")
		}
		n, err := e.r.Read(e.tmp[:])
		if !e.grow(n) {
			return nil, errNoRoom
		}
		e.buf = append(e.buf, e.tmp[:n]...)
		e.err = err
	}
}

// grow makes room for n more bytes. It reports whether there is memory for them, and for the copy of the events that next returns.
func (e *eventReader) grow(n int) bool {
	needed := len(e.buf) + n
	if needed <= cap(e.buf) {
		return true
	}
	size := max(2*cap(e.buf), needed)
	if more := int64(2*size) - 4*streamReadSize - e.reserved; more > 0 {
		if !e.budget.Reserve(e.reserved, more) {
			return false
		}
		e.reserved += more
	}
	buf := make([]byte, len(e.buf), size)
	copy(buf, e.buf)
	e.buf = buf
	return true
}

// release returns the reserved memory.
func (e *eventReader) release() {
	e.budget.Release(e.reserved)
	e.buf, e.reserved = nil, 0
}

// remainder returns the bytes after the last complete event.
func (e *eventReader) remainder() []byte { return e.buf }

// lastEventID returns the ID of the last event that has one; empty if none has.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at >= 0 {
		at++
	} else if !bytes.HasPrefix(events, []byte("id:")) {
		return ""
	} else {
		at = 0
	}
	line := events[at+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// forwardStream forwards complete events to the caller as they arrive. It calls prefillDone after
// the first ones, which show that the endpoint has finished the prefill.
func (q *request) forwardStream(ep *cfvfleet.Endpoint, resp *http.Response, hedge *hedgeTimer, dog *cfvhttp.Watchdog, prefillDone func()) outcome {
	if q.stream == nil {
		q.stream = &streamState{}
	}
	q.answer.unframed = !isFramed(resp)
	events := &eventReader{r: resp.Body, budget: q.entry.cfg.BodyBudget}
	defer events.release()
	for {
		dog.Start(q.stallLimit())
		batch, err := events.next()
		dog.Stop()
		if errors.Is(err, io.EOF) {
			return q.finishStream(ep, resp, events.remainder())
		}
		if err != nil {
			return q.handleStreamError(ep, resp, hedge.fired() || dog.Expired(), err)
		}
		hedge.stop()
		prefillDone()
		q.recordAnswering()
		q.meter()
		if !q.stream.started {
			q.copyHeaders(resp)
			q.w.WriteHeader(resp.StatusCode)
			q.stream.started = true
			q.recordFirstEvent(ep)
		}
		q.stream.recordBatch(q.entry.cfg.Now())
		q.recordEvents(ep, len(batch))
		if id := lastEventID(batch); id != "" {
			q.stream.lastEventID = id
		}
		if _, err := q.w.Write(batch); err != nil {
			return outcomeCallerGone
		}
		if f, ok := q.w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

// recordFirstEvent records the time to the first event and logs it.
func (q *request) recordFirstEvent(ep *cfvfleet.Endpoint) {
	q.entry.cfg.Metrics.Observe("firstEvent."+q.route.Name, q.entry.cfg.Now()-q.start)
	if q.entry.cfg.Log.DebugEnabled() {
		q.entry.cfg.Log.Debugw("a stream began", q.logFields("endpoint", ep.ID, "tokens", q.meta.Prompt.Tokens)...)
	}
}

// finishStream ends a stream whose endpoint closed the response. A stream that ends inside an event was
// broken off, with or without chunks.
func (q *request) finishStream(ep *cfvfleet.Endpoint, resp *http.Response, remainder []byte) outcome {
	if len(remainder) > 0 {
		return q.handleStreamError(ep, resp, false, errors.New("the stream ended in the middle of an event"))
	}
	q.meter() // a stream without events
	q.recordEnd(ep, resp, q.streamEnd(resp))
	if !q.stream.started {
		q.copyHeaders(resp)
		q.w.WriteHeader(resp.StatusCode)
		q.stream.started = true
	}
	q.recordOutcome(ep, false)
	q.entry.cfg.Metrics.Observe("longestPause."+q.route.Name, q.stream.longestPause)
	q.recordServed(ep, resp.StatusCode, "events", q.stream.batches, "longestPauseMillis", q.stream.longestPause.Milliseconds())
	return outcomeDone
}

// stallLimit returns how long a stream may go without a complete event. Callers abandon a stream after
// that time; bytes that complete no event don't count.
func (q *request) stallLimit() time.Duration {
	if q.route.Patience > 0 {
		return q.route.Patience + stallMargin
	}
	return defaultStallLimit
}

// handleStreamError handles a stream that failed before it was complete. The argument cancelled reports
// whether this entry gave up on the endpoint.
func (q *request) handleStreamError(ep *cfvfleet.Endpoint, resp *http.Response, cancelled bool, err error) outcome {
	if !q.callerGone() && !q.ended() {
		q.entry.recordReach(ep.ID, cfvreach.NoResponse, false)
	}
	q.logAttempt(ep, "a stream was interrupted", "error", err.Error(), "lastEvent", q.stream.lastEventID, "hedged", cancelled)
	switch {
	case q.callerGone():
		return outcomeCallerGone
	case q.ended():
		return outcomeExpired
	case errors.Is(err, errNoRoom): // no fault of the endpoint's process
		q.excluded[ep.ID] = true
		return outcomeFailed
	case cancelled:
		q.entry.connPools.closeIdle(ep.ID)
	case errors.Is(err, context.DeadlineExceeded):
		q.recordFailure(ep)
		return outcomeExpired
	case !q.entry.ReachesEndpoints(q.r.Context()):
		return outcomeFailed
	default:
		q.entry.markUnavailable(ep, q.service)
		q.recordEnd(ep, resp, endBrokenOff)
	}
	q.excluded[ep.ID] = true
	q.recordFailure(ep)
	return outcomeFailed
}

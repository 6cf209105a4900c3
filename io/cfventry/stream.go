package cfventry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// streamState is how far a stream has come.
type streamState struct {
	lastID  string // last event that the caller has
	started bool   // the head has been sent
	events  int    // passed on so far, counting those that came together as one
	last    time.Duration
	pause   time.Duration // longest time between two events
}

func (s *streamState) begun() bool { return s != nil && s.started }

// passed notes that events were passed on.
func (s *streamState) passed(now time.Duration) {
	if s.events > 0 {
		s.pause = max(s.pause, now-s.last)
	}
	s.events++
	s.last = now
}

// resumeAfter returns the event after which an endpoint goes on.
func (q *request) resumeAfter() string {
	if q.stream.begun() {
		return q.stream.lastID
	}
	return q.call.ResumeAfter
}

// Sizes of the copying of streams.
const (
	readSize = 4 << 10
	maxEvent = 1 << 20
)

// eventReader cuts a stream into complete events.
type eventReader struct {
	r    io.Reader
	buf  []byte
	tmp  [readSize]byte
	fail error
}

// next returns all complete events that have arrived, waiting for at least one. Events end
// with an empty line.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(e.buf, []byte("\n\n")); end >= 0 {
			events := bytes.Clone(e.buf[:end+2])
			e.buf = append(e.buf[:0], e.buf[end+2:]...)
			return events, nil
		}
		if e.fail != nil {
			return nil, e.fail
		}
		if len(e.buf) > maxEvent {
			return nil, errors.New("an event is too long")
		}
		n, err := e.r.Read(e.tmp[:])
		e.buf = append(e.buf, e.tmp[:n]...)
		e.fail = err
	}
}

// rest returns what follows the last complete event.
func (e *eventReader) rest() []byte { return e.buf }

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
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

// relay passes a stream on event by event.
func (q *request) relay(ep *cfvfleet.Endpoint, resp *http.Response, h *hedge, settle func()) outcome {
	if q.stream == nil {
		q.stream = &streamState{}
	}
	events := &eventReader{r: resp.Body}
	for {
		chunk, err := events.next()
		if errors.Is(err, io.EOF) {
			return q.endStream(ep, resp, events.rest())
		}
		if err != nil {
			return q.streamBroke(ep, h, err)
		}
		h.stop()
		settle()
		if !q.stream.started {
			q.head(resp)
			q.w.WriteHeader(resp.StatusCode)
			q.stream.started = true
			q.began(ep)
		}
		q.stream.passed(q.entry.cfg.Now())
		if id := lastID(chunk); id != "" {
			q.stream.lastID = id
		}
		if _, err := q.w.Write(chunk); err != nil {
			return left
		}
		if f, ok := q.w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

// began counts and logs the first event.
func (q *request) began(ep *cfvfleet.Endpoint) {
	q.entry.cfg.Metrics.Observe("firstEvent."+q.route.Name, q.entry.cfg.Now()-q.begun)
	if q.entry.cfg.Log.DebugEnabled() {
		q.entry.cfg.Log.Debugw("a stream began", q.facts("endpoint", ep.ID, "tokens", q.call.Prompt.Tokens)...)
	}
}

// endStream ends a stream that its endpoint ended.
func (q *request) endStream(ep *cfvfleet.Endpoint, resp *http.Response, rest []byte) outcome {
	if len(rest) > 0 && q.route.Retryable() {
		return q.streamBroke(ep, &hedge{}, errors.New("the stream ended inside an event"))
	}
	if !q.stream.started {
		q.head(resp)
		q.w.WriteHeader(resp.StatusCode)
		q.stream.started = true
	}
	if _, err := q.w.Write(rest); err != nil {
		return left
	}
	q.count(ep, false)
	q.entry.cfg.Metrics.Observe("longestPause."+q.route.Name, q.stream.pause)
	q.done(ep, resp.StatusCode, "events", q.stream.events, "longestPauseMillis", q.stream.pause.Milliseconds())
	return answered
}

// streamBroke judges a stream that ended before its end.
func (q *request) streamBroke(ep *cfvfleet.Endpoint, h *hedge, err error) outcome {
	q.note(ep, "a stream broke off", "error", err.Error(), "lastEvent", q.stream.lastID, "hedged", h.fired())
	switch {
	case q.gone():
		return left
	case h.fired():
		q.entry.upstreams.drop(ep.ID)
	case errors.Is(err, context.DeadlineExceeded):
		q.failed(ep)
		return expired
	default:
		q.entry.suspect(ep, q.service)
		q.crashed(ep)
	}
	q.rejected[ep.ID] = true
	q.failed(ep)
	return broken
}

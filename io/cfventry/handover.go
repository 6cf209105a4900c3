package cfventry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvreach"
)

// Limits and timeouts of requests that are handed over to peers.
const (
	maxHandovers         = 3                     // peers that are asked to take a request
	handoverMargin       = 10 * time.Millisecond // the peer answers so much before the time limit
	handoverIdleTimeout  = 4 * time.Second
	handoverIdleConns    = 16 // for each peer
	handoverKeepAlive    = time.Second
	handoverMaxUnsettled = 3 // keep-alive probes without a response after which a peer counts as gone
)

// handovers hands requests over to peers while this entry is cut off from the endpoints. It is safe for concurrent use.
type handovers struct {
	transport *http.Transport

	mu    sync.Mutex
	peers *cfvreach.Peers
}

// newHandovers returns handovers over connections that dial makes; nil: over TCP.
func newHandovers(dial func(ctx context.Context, network, addr string) (net.Conn, error), now func() time.Duration, budget *cfvlimit.ByteBudget) *handovers {
	if dial == nil {
		dial = (&net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: handoverKeepAlive, Interval: handoverKeepAlive, Count: handoverMaxUnsettled},
		}).DialContext
	}
	return &handovers{peers: cfvreach.NewPeers(), transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &endpointConn{Conn: cfvhttp.ReportResets(conn), head: responseHead{budget: budget}, now: now, openedAt: now(), onIdleEnd: func(time.Duration) {}}, nil
		},
		MaxIdleConnsPerHost: handoverIdleConns, IdleConnTimeout: handoverIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, ReadBufferSize: readBufferSize, WriteBufferSize: writeBufferSize,
	}}
}

// start chooses a peer.
func (h *handovers) start(e *Entry, tried map[string]bool) (cfvfleet.Entry, bool) {
	peers := e.cfg.Peers()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers.Start(e.cfg.Now(), e.cfg.Domain, peers, tried, e.cfg.Random)
}

// finish records the end of a request at a peer.
func (h *handovers) finish(e *Entry, peer string, r cfvreach.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers.Finish(e.cfg.Now(), peer, r)
}

// handsOver reports whether the request is to be handed over to a peer. An entry without peers tries the endpoints.
func (q *request) handsOver() bool {
	e := q.entry
	return e.CutOff() && !q.handedOver && len(e.cfg.Peers()) > 0
}

// handOver hands the request over to peers, one after the other while they refuse it, and reports whether it has ended. If not, it
// may be tried again.
func (q *request) handOver() (ended bool) {
	e := q.entry
	if q.possibleRuns > 0 && !e.takeRetry(q.service.Name, cfverror.ReasonEndpointFailed) {
		q.giveUp(cfverror.ReasonRetryBudget, "the budget of repeats is spent")
		return true
	}
	for q.timeLeft() >= minTimeLeft {
		peer, ok := cfvfleet.Entry{}, false
		if len(q.askedPeers) < maxHandovers {
			peer, ok = e.handovers.start(e, q.askedPeers)
		}
		if !ok {
			e.cfg.Metrics.Count("handovers.noPeer", 1)
			q.giveUp(cfverror.ReasonCutOff, "this entry is cut off from the endpoints, and none of %d peers took the request", len(q.askedPeers))
			return true
		}
		if q.askedPeers == nil {
			q.askedPeers = make(map[string]bool)
		}
		q.askedPeers[peer.Name] = true
		switch q.handOverTo(peer) {
		case outcomeDone:
			return true
		case outcomeCallerGone:
			q.refuse(&httpRefusal{refusal: cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")})
			return true
		case outcomeExpired:
			q.expire()
			return true
		case outcomeFailed:
			if !q.route.Retryable() || q.possibleRuns >= q.route.MaxAttempts {
				q.giveUp(cfverror.ReasonEndpointFailed, "the peer broke off")
				return true
			}
			return false
		case outcomeNotRun:
		}
	}
	q.expire()
	return true
}

// handOverTo sends the request to a peer and forwards its response, unless the request is to be retried.
func (q *request) handOverTo(peer cfvfleet.Entry) outcome {
	e := q.entry
	result := cfvreach.NotTaken
	defer func() { e.handovers.finish(e, peer.Name, result) }() // also if the response is aborted
	e.cfg.Metrics.Count("handovers", 1)
	ctx, cancel := context.WithTimeout(q.r.Context(), q.timeLeft())
	defer cancel()
	var sent sendTracker
	sent.onConn = func(time.Duration) {}
	defer sent.releaseHead()
	resp, err := e.handovers.transport.RoundTrip(q.handoverRequest(sent.trace(ctx), peer))
	sent.endHead()
	if err != nil {
		wasSent := sent.mayHaveSent()
		if wasSent {
			q.possibleRuns++
		}
		q.logHandover(peer, "a peer did not answer", "wasSent", wasSent, "error", err.Error())
		o := q.handoverFailure(wasSent)
		if o == outcomeCallerGone || o == outcomeExpired {
			result = cfvreach.Taken // it says nothing about the peer
		}
		return o
	}
	defer resp.Body.Close()
	switch e.cfg.Codec.ReadHandoverAnswer(resp.Header) {
	case cfvcall.HandoverRefused:
		e.cfg.Metrics.Count("handovers.refused", 1)
		q.logHandover(peer, "a peer did not take a request", "status", resp.StatusCode)
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectBodyBytes))
		return outcomeNotRun
	case cfvcall.HandoverUnknown:
		q.logHandover(peer, "the response does not come from a peer's entry", "status", resp.StatusCode)
		q.possibleRuns++
		return outcomeFailed
	case cfvcall.HandoverTakenStopping:
		result = cfvreach.TakenStopping
	case cfvcall.HandoverTaken:
		result = cfvreach.Taken
	}
	q.possibleRuns++
	if resp.StatusCode/100 == 2 && q.route.Kind == cfvfleet.Streaming {
		return q.forwardPeerStream(peer, resp)
	}
	if q.stream.hasStarted() {
		q.logHandover(peer, "a peer did not go on with a stream", "status", resp.StatusCode, "lastEvent", q.stream.lastEventID)
		return outcomeFailed
	}
	return q.forwardPeerResponse(peer, resp)
}

// handoverRequest returns the request as the caller sent it, with the time that is left.
func (q *request) handoverRequest(ctx context.Context, peer cfvfleet.Entry) *http.Request {
	opts := cfvcall.HandoverOptions{PossibleRuns: q.possibleRuns, ResumeAfter: q.resumeAfter()}
	if q.meta.Timeout > 0 || q.route.Timeout > 0 {
		left := q.timeLeft()
		opts.TimeLeft = max(left-handoverMargin, left/2)
	}
	req := &http.Request{
		Method: q.r.Method, Host: q.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: q.entry.cfg.Codec.HandoverHeader(q.r.Header, opts), Body: q.body.open(), ContentLength: q.body.length(),
	}
	target := *q.r.URL
	target.Scheme, target.Host = "http", peer.Addr
	req.URL = &target
	return req.WithContext(ctx)
}

// handoverFailure returns the outcome of a hop that failed.
func (q *request) handoverFailure(mayHaveRun bool) outcome {
	switch {
	case q.callerGone():
		return outcomeCallerGone
	case q.ended() || q.timeLeft() < minTimeLeft:
		return outcomeExpired
	case mayHaveRun:
		return outcomeFailed
	}
	return outcomeNotRun
}

// forwardPeerResponse sends a peer's response to the caller as it is. It breaks the connection of an incomplete one that has begun.
func (q *request) forwardPeerResponse(peer cfvfleet.Entry, resp *http.Response) outcome {
	e := q.entry
	body := &bodyBuffer{budget: e.cfg.BodyBudget}
	defer body.release()
	err := body.readResponse(resp)
	noRoom := errors.Is(err, errNoRoom)
	if err != nil && !noRoom {
		q.logHandover(peer, "a peer's response was incomplete", "status", resp.StatusCode, "error", err.Error())
		return q.handoverFailure(true)
	}
	q.copyHeaders(resp)
	if noRoom || body.size > maxBufferedResponse {
		q.w.WriteHeader(resp.StatusCode)
		first := body.open()
		defer first.Close()
		if _, err := io.Copy(q.w, io.MultiReader(first, resp.Body)); err != nil {
			q.logHandover(peer, "a peer's long response was incomplete", "error", err.Error())
			panic(http.ErrAbortHandler)
		}
	} else {
		q.w.Header().Set("Content-Length", fmt.Sprint(body.size))
		q.w.WriteHeader(resp.StatusCode)
		if err := body.writeTo(q.w); err != nil {
			q.logHandover(peer, "the response could not be sent to the caller", "error", err.Error())
		}
	}
	q.recordHandedOver(peer, resp.StatusCode)
	return outcomeDone
}

// forwardPeerStream forwards the complete events of a peer's stream as they arrive.
func (q *request) forwardPeerStream(peer cfvfleet.Entry, resp *http.Response) outcome {
	if q.stream == nil {
		q.stream = &streamState{}
	}
	events := &eventReader{r: resp.Body, budget: q.entry.cfg.BodyBudget}
	defer events.release()
	dog := cfvhttp.NewWatchdog(func() { _ = resp.Body.Close() })
	defer dog.Stop()
	for {
		dog.Start(2 * q.stallLimit()) // the peer ends a stalled attempt and resumes the stream sooner
		batch, err := events.next()
		dog.Stop()
		if errors.Is(err, io.EOF) && len(events.remainder()) == 0 {
			q.startStream(resp)
			q.recordHandedOver(peer, resp.StatusCode)
			return outcomeDone
		}
		if err != nil {
			q.logHandover(peer, "a peer's stream was interrupted", "error", err.Error(), "lastEvent", q.stream.lastEventID)
			return q.handoverFailure(true)
		}
		q.startStream(resp)
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

// startStream sends the head of a stream to the caller, unless it was sent before.
func (q *request) startStream(resp *http.Response) {
	if q.stream.started {
		return
	}
	q.copyHeaders(resp)
	q.w.WriteHeader(resp.StatusCode)
	q.stream.started = true
}

// recordHandedOver records that the caller got the response of a peer, which counts it as served.
func (q *request) recordHandedOver(peer cfvfleet.Entry, status int) {
	q.entry.cfg.Metrics.Count("handovers.answered", 1)
	q.recordDuration()
	if status >= http.StatusInternalServerError {
		q.logHandover(peer, "a request was answered by a peer", "status", status)
	}
}

// logHandover logs an event of the request at a peer.
func (q *request) logHandover(peer cfvfleet.Entry, message string, pairs ...any) {
	q.entry.cfg.Log.Infow(message, append(q.logFields("entry", peer.Name, "leftMillis", q.timeLeft().Milliseconds()), pairs...)...)
}

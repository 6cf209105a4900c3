package cfventry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
)

// maxHandedOver is the number of requests of peers that an entry serves at a time.
const maxHandedOver = 256

// PeerHandler returns a handler of the peers' listener. It serves the requests that peers hand over because they are cut off from the
// endpoints, and passes the others to next.
func (e *Entry) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs, ok := e.cfg.Codec.ReadHandover(r.Header)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		e.serveHandedOver(w, r, runs)
	})
}

// serveHandedOver serves a caller's request that a peer handed over and that may have run the given number of times. What this entry
// does not take, the peer may hand over to another.
func (e *Entry) serveHandedOver(w http.ResponseWriter, r *http.Request, runs int) {
	e.running.Add(1)
	defer e.running.Add(-1)
	handedOver := e.handedOver.Add(1)
	defer e.handedOver.Add(-1)
	head := headBytes(r) * headMemoryFactor
	switch {
	case !e.isPeer(r.RemoteAddr):
		e.cfg.Metrics.Count("handovers.strangers", 1)
		e.cfg.Log.Warnw("a request was handed over by an address that belongs to no entry", "addr", r.RemoteAddr)
		w.WriteHeader(http.StatusForbidden)
		return
	case e.takesNone.Load() || e.CutOff() || handedOver > maxHandedOver || !e.cfg.BodyBudget.Reserve(0, head):
		e.cfg.Metrics.Count("handovers.declined", 1)
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		e.cfg.Codec.SetHandoverAnswer(w.Header(), cfvcall.HandoverRefused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.cfg.BodyBudget.Release(head)
	e.cfg.Metrics.Count("handovers.taken", 1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(e.baseContext, func() { cancel(context.Cause(e.baseContext)) })()
	answer := cfvcall.HandoverTaken
	if e.stopping.Load() {
		answer = cfvcall.HandoverTakenStopping
	}
	e.cfg.Codec.SetHandoverAnswer(w.Header(), answer)
	e.serveRequest(w, r.WithContext(ctx), func(q *request) { q.handedOver, q.possibleRuns, q.runsBefore = true, runs, runs })
}

// isPeer reports whether an address is one of an announced entry.
func (e *Entry) isPeer(remote string) (found bool) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	var entries []cfvfleet.Entry
	e.cfg.State.Read(func(v *cfvfleet.View) { entries = v.Roster().Entries() })
	for _, peer := range entries {
		if h, _, err := net.SplitHostPort(peer.Addr); err == nil && h == host {
			return true
		}
	}
	return false
}

// headBytes returns the length of a request's head.
func headBytes(r *http.Request) (n int64) {
	n = int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v))
		}
	}
	return n
}

// notTaken marks the refusal of a request that a peer handed over if another entry may serve it: it did not run here, since it does not fit into
// the time until this entry stops, or this entry has no memory for it or no recent configuration.
func (q *request) notTaken(reason cfverror.Reason) {
	if !q.handedOver || q.possibleRuns > q.runsBefore {
		return
	}
	switch reason {
	case cfverror.ReasonStopping, cfverror.ReasonBodyMemory, cfverror.ReasonSettings:
		q.entry.cfg.Codec.SetHandoverAnswer(q.w.Header(), cfvcall.HandoverRefused)
	}
}

// returnToPeer refuses a request that a peer handed over before this entry was cut off as well, so that the peer asks another entry.
// It returns false for any other request.
func (q *request) returnToPeer() bool {
	e := q.entry
	if !q.handedOver || q.possibleRuns > q.runsBefore || !e.CutOff() {
		return false
	}
	e.cfg.Metrics.CountRefusal(cfverror.ReasonCutOff)
	e.cfg.Log.Infow("a request is returned to the peer that handed it over", q.logFields("peer", q.r.RemoteAddr, "runsBefore", strconv.Itoa(q.runsBefore))...)
	e.cfg.Codec.SetHandoverAnswer(q.w.Header(), cfvcall.HandoverRefused)
	q.w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// handedOverPoll is the time between two looks at the requests of peers that still run when the entry stops.
const handedOverPoll = 10 * time.Millisecond

// awaitHandedOver waits until no request runs that a peer handed over, and then refuses further ones. Until then an entry that stops takes what
// fits into its time, since its peers may know of no other.
func (e *Entry) awaitHandedOver(ctx context.Context) {
	for range 2 { // a request may have been taken just before the others are refused
		for e.handedOver.Load() > 0 && cfvclock.Sleep(ctx, handedOverPoll) {
		}
		e.takesNone.Store(true)
	}
}

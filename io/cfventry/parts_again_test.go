package cfventry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvcall"

	"gotest.tools/v3/assert"
)

// newPartRequest returns a request with the deadly part that has not been sent.
func newPartRequest(e *Entry) *request {
	q := &request{entry: e, r: httptest.NewRequest(http.MethodPost, "http://h/ask/", http.NoBody), w: httptest.NewRecorder(), excluded: make(map[string]bool)}
	q.meta.Prompt = cfvcall.Prompt{Model: "m", Parts: []cfvcall.Part{{ID: deadlyPart}, {ID: "own"}}}
	q.index = e.index()
	q.route = q.index.Route("h", "/ask/")
	q.pickService()
	q.start, q.deadline = e.cfg.Now(), e.cfg.Now()+time.Minute
	return q
}

// Failure: streams that had started were aborted because two endpoints had gone down under a part of their prompt, though
// they could have been resumed at another endpoint (LOST).
func TestStartedStreamIsNotAbortedOnSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newPartEntry(newPartFleet(""))
		crash := func(endpoint string) {
			time.Sleep(time.Second)
			e.parts.RecordCrash(e.cfg.Now(), "s", []string{deadlyPart}, endpoint, false)
			e.parts.RecordAnswer(e.cfg.Now(), e.cfg.Now(), "s", nil)
		}
		crash("a")
		crash("b")
		q := newPartRequest(e)
		q.answer.crashed = true
		assert.Assert(t, q.partRefusal() != nil, "a request whose response has not started")
		q.stream = &streamState{started: true}
		aborted := func() (out bool) {
			defer func() { out = recover() != nil }()
			q.partRefusal()
			return false
		}
		assert.Assert(t, !aborted(), "aborted on a suspicion")
		crash("c")
		assert.Assert(t, aborted(), "not aborted though the part is blocked")
	})
}

// Failure: a request that an endpoint had gone down under was sent on to others without a check for suspect parts, if
// another endpoint had rejected it in between (BUDGET).
func TestCrashIsRememberedAfterRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPartFleet("")
		fleet.answer = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n"
		e := newPartEntry(fleet)
		e.cfg.Codec.ReadResponseMeta = func(_ int, h http.Header) cfvcall.ResponseMeta {
			return cfvcall.ResponseMeta{RequestID: h.Get(testRequestID), NotRun: h.Get("Rejected") != ""}
		}
		q := newPartRequest(e)
		q.answer.crashed = true
		choice, opts, refusal := q.choose()
		assert.Assert(t, refusal == nil)
		result := q.attempt(choice, opts)
		fleet.close()
		e.connPools.retain(nil)
		time.Sleep(time.Minute) // lets the endpoints end
		assert.Equal(t, result, outcomeNotRun)
		assert.Assert(t, q.answer.crashed)
	})
}

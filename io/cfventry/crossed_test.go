package cfventry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"coltsfootvalve/core/cfvcall"

	"gotest.tools/v3/assert"
)

// Failure, reported by operators of similar systems: an endpoint wrote an earlier rejection once more on a kept connection, and
// it was taken for the rejection of a request that was running there.
func TestRepeatedRejectionTellsNothingOfTheNextRequest(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\n%sNotrun: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		header string // of the rejection that the endpoint writes before its answer to r2
		status int
	}{
		"without an id":                {"", http.StatusBadGateway},
		"with the id of the other one": {"Id: r1\r\n", http.StatusBadGateway},
		"with its own id":              {"Id: r2\r\n", http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
					if id == "r2" {
						_, _ = fmt.Fprintf(w, rejection, tt.header)
						return
					}
					_, _ = fmt.Fprintf(w, rejection, "Id: "+id+"\r\n")
				}}
				defer endpoint.close()
				e := newRawEntry(endpoint)
				defer e.connPools.retain(nil)
				assert.Equal(t, ask(e, "/book/", "r1").Code, http.StatusServiceUnavailable)
				assert.Equal(t, ask(e, "/book/", "r2").Code, tt.status)
			})
		})
	}
}

// Failure: a request that was rejected for its weights is sent to the same endpoint again. If that writes the rejection once
// more, the request may be running there, and was sent on to another one.
func TestRejectedRequestUsesAnotherConnectionAtTheSameEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		repeated := 0
		endpoint := &rawEndpoint{answer: func(w io.Writer, id string, n int) {
			const misdirected = "HTTP/1.1 421 Misdirected\r\nId: %s\r\nWeights: 2\r\nContent-Length: 0\r\n\r\n"
			if n > 0 {
				repeated++
			}
			_, _ = fmt.Fprintf(w, misdirected, id)
		}}
		defer endpoint.close()
		e := newRawEntry(endpoint)
		defer e.connPools.retain(nil)
		read := e.cfg.Codec.ReadResponseMeta
		e.cfg.Codec.ReadResponseMeta = func(status int, h http.Header) cfvcall.ResponseMeta {
			meta := read(status, h)
			if meta.Misdirected = status == http.StatusMisdirectedRequest; meta.Misdirected {
				meta.WeightVersion = 2
			}
			return meta
		}
		ask(e, "/book/", "r1")
		assert.Assert(t, endpoint.seen > 1, "it is sent again")
		assert.Equal(t, repeated, 0, "on a connection with an earlier rejection of the same request")
	})
}

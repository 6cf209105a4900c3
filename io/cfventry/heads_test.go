package cfventry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvlimit"

	"gotest.tools/v3/assert"
)

// endlessConn is a connection on which as many bytes arrive as are asked for.
type endlessConn struct{ net.Conn }

func (endlessConn) Read(p []byte) (int, error) { return len(p), nil }

// Guards against entries that end for their memory: heads were read, however many others were held.
func TestHeadsAreReservedUntilTheirRequestEnds(t *testing.T) {
	const budgetBytes = 100 * headMemoryFactor
	budget := cfvlimit.NewByteBudget(budgetBytes)
	refusals := 0
	c := &headConn{Conn: endlessConn{}, budget: budget, onFull: func() { refusals++ }, reading: true}
	read := func(n int) error {
		_, err := c.Read(make([]byte, n))
		return err
	}
	assert.NilError(t, read(60))
	assert.Equal(t, budget.Used(), int64(60*headMemoryFactor))
	c.setState(http.StateActive)
	assert.NilError(t, read(1000), "the body has a reservation of its own")
	assert.Equal(t, budget.Used(), int64(60*headMemoryFactor), "the head is needed until the request ends")
	c.setState(http.StateIdle)
	assert.Equal(t, budget.Used(), int64(0))
	assert.NilError(t, read(60), "the next head")
	err := read(41)
	assert.Assert(t, errors.Is(err, errNoRoom))
	var closesQuietly *net.OpError
	assert.Assert(t, errors.As(err, &closesQuietly) && closesQuietly.Op == "read")
	assert.Equal(t, refusals, 1)
	c.setState(http.StateClosed)
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against requests that are read and get neither an answer nor a refusal, since there is no memory for their head.
func TestRequestWithoutMemoryForItsHeadIsRefused(t *testing.T) {
	const head = "GET /look/1 HTTP/1.1\r\nHost: h\r\nId: r\r\n"
	for name, sent := range map[string]string{
		"a whole request": head + "\r\n", "a long head": head + "Long: " + strings.Repeat("x", 20_000) + "\r\n\r\n", "with a body": head + "Content-Length: 5000\r\n\r\n" + strings.Repeat("b", 5000),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newColdFleet(ctx, t, 1, 1)
				e := f.entries[0]
				e.cfg.BodyBudget = cfvlimit.NewByteBudget(100)
				f.listenOn(e, "10.1.0.1:80")
				conn, err := f.network.DialContext(ctx, "tcp", "10.1.0.1:80")
				assert.NilError(t, err)
				began := time.Now()
				_, err = io.WriteString(conn, sent)
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if assert.Check(t, err, "no refusal after %s", time.Since(began)) {
					assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && resp.Close, fmt.Sprint(resp))
					assert.Check(t, time.Since(began) < 100*time.Millisecond, "the refusal came after %s", time.Since(began))
				}
				_ = conn.Close()
				_ = e.callerServer.Close()
				_ = e.readyServer.Close()
				f.close(cancel)
			})
		})
	}
}

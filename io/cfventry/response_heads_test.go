package cfventry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvlimit"

	"gotest.tools/v3/assert"
)

// Guards against entries that end for their memory: heads of responses were read, however many others were held.
func TestHeadsOfResponsesAreReservedUntilTheirAttemptEnds(t *testing.T) {
	const over = 100
	budget := cfvlimit.NewByteBudget(2 * over * headMemoryFactor)
	newConn := func() *endpointConn { return &endpointConn{Conn: endlessConn{}, head: responseHead{budget: budget}} }
	read := func(c *endpointConn, n int) error {
		_, err := c.Read(make([]byte, n))
		return err
	}
	first, second := newConn(), newConn()
	first.head.begin()
	assert.NilError(t, read(first, readBufferSize))
	assert.Equal(t, budget.Used(), int64(0), "a usual head")
	assert.NilError(t, read(first, over))
	assert.Equal(t, budget.Used(), int64(over*headMemoryFactor))
	first.head.end()
	assert.NilError(t, read(first, 10*over), "the body has a reservation of its own")
	second.head.begin()
	assert.Assert(t, errors.Is(read(second, readBufferSize+2*over), errNoRoom))
	first.head.release()
	assert.Equal(t, budget.Used(), int64(0))
	second.head.begin()
	assert.NilError(t, read(second, readBufferSize+over))
}

// Guards against endpoints that count as down because the entry has no memory for the head of a response.
func TestHeadWithoutRoomIsAFailedAttemptOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := &rawEndpoint{}
		endpoint.answer = func(w io.Writer, id string, _ int) {
			pad := ""
			if id == "long" {
				pad = "X: " + strings.Repeat("x", 3*readBufferSize) + "\r\n"
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nStamp: s\r\n"+pad+"Content-Length: 2\r\n\r\nok")
		}
		e := newRawEntryWithBudget(endpoint, cfvlimit.NewByteBudget(2*readBufferSize))
		assert.Equal(t, ask(e, "/book/", "long").Code, http.StatusBadGateway)
		assert.Assert(t, !e.dispatcher.Unavailable(e.cfg.Now(), "e"))
		assert.Equal(t, ask(e, "/book/", "short").Code, http.StatusOK)
		assert.Equal(t, e.cfg.BodyBudget.Used(), int64(0))
		endpoint.close()
		e.connPools.retain(nil)
		time.Sleep(time.Minute) // lets the endpoint end
	})
}

// newRawEntryWithBudget returns an entry like newRawEntry with a budget for bodies and heads.
func newRawEntryWithBudget(endpoint *rawEndpoint, budget *cfvlimit.ByteBudget) *Entry {
	cfg := newRawEntry(endpoint).cfg
	cfg.BodyBudget = budget
	return New(cfg)
}

// Guards against entries that end for their memory: the bytes of an event were kept until it was complete, however many other streams did
// so.
func TestIncompleteEventsAreReserved(t *testing.T) {
	const budgetBytes = 256 << 10
	budget := cfvlimit.NewByteBudget(budgetBytes)
	first := &eventReader{r: strings.NewReader(strings.Repeat("x", 40<<10) + "\n\n" + "id"), budget: budget}
	batch, err := first.next()
	assert.NilError(t, err)
	assert.Equal(t, len(batch), 40<<10+2)
	assert.Assert(t, budget.Used() > 40<<10 && budget.Used() < budgetBytes)
	second := &eventReader{r: strings.NewReader(strings.Repeat("x", 200<<10)), budget: budget}
	_, err = second.next()
	assert.ErrorIs(t, err, errNoRoom)
	first.release()
	second.release()
	assert.Equal(t, budget.Used(), int64(0))
	usual := &eventReader{r: strings.NewReader("id: 1\n\n"), budget: cfvlimit.NewByteBudget(0)}
	_, err = usual.next()
	assert.NilError(t, err)
}

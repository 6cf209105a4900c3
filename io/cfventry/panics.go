package cfventry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"coltsfootvalve/common/cfvhttp"

	"github.com/labstack/echo/v4"
)

// handle serves a request of a caller. If its handler panics, the caller gets status 500, or a broken connection if a part of a
// response was sent already.
func (e *Entry) handle(c echo.Context) error {
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			abort(c)
		default:
			e.handlePanic(c, p)
		}
	}()
	e.serve(c.Response(), c.Request())
	return nil
}

// handlePanic logs and counts a panic, and ends its request.
func (e *Entry) handlePanic(c echo.Context, p any) {
	e.cfg.Metrics.Count("callers.panics", 1)
	e.cfg.Log.Warnw("the handler of a request panicked", "panic", fmt.Sprint(p), "path", c.Request().URL.Path, "sent", c.Response().Committed, "stack", string(debug.Stack()))
	if c.Response().Committed {
		abort(c)
		return
	}
	header := c.Response().Header()
	clear(header) // may be of another response
	header.Set("Connection", "close")
	c.Response().WriteHeader(http.StatusInternalServerError)
}

// abort breaks the connection of an incomplete response. HTTP/1.0 has no chunks, so only a reset tells its callers from a response that
// ends.
func abort(c echo.Context) {
	if c.Request().ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if l, ok := cfvhttp.InnermostConn(conn).(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

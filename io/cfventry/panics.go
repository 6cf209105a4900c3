package cfventry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/labstack/echo/v4"
)

// handle serves a request of a caller. If its handler panics, the caller gets status 500, or a closed connection if a part of another
// response was sent already.
func (e *Entry) handle(c echo.Context) error {
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			panic(p)
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
		panic(http.ErrAbortHandler)
	}
	header := c.Response().Header()
	clear(header) // may be of another response
	header.Set("Connection", "close")
	c.Response().WriteHeader(http.StatusInternalServerError)
}

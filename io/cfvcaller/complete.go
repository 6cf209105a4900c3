package cfvcaller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvserve"

	"github.com/labstack/echo/v4"
)

// maxCompletionBytes limits the body of a completion until its service, and so the limit of the
// service, is known.
const maxCompletionBytes = 64 << 20

// complete handles a chat or text completion.
func (a *API) complete(c echo.Context) error {
	body, err := readBody(c, maxCompletionBytes)
	if err != nil {
		return err
	}
	req, err := cfvopenai.DecodeRequest(body)
	if err != nil {
		a.cfg.Metrics.CountRefusal(cfverror.ReasonBadRequest)
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	svc, err := a.service(req.Model, false)
	if err != nil {
		return err
	}
	if int64(len(body)) > svc.MaxBodyBytes {
		return cfverror.NotRun(cfverror.ReasonBodyTooLarge, "body: larger than %d bytes", svc.MaxBodyBytes)
	}
	s := &streamWriter{c: c}
	resp, err := a.cfg.Server.Complete(c.Request().Context(), cfvserve.Completion{
		RequestID: requestIDOf(c), Workspace: workspaceOf(c), Service: svc, Path: c.Request().URL.Path, Request: req,
	}, s.emit)
	switch {
	case err != nil && s.started:
		return s.endWithError(err)
	case err != nil:
		return err
	case req.Stream && resp.Status == http.StatusOK:
		return s.end()
	}
	return writeResponse(c, resp)
}

// streamWriter writes the chunks of a stream to the caller as server-sent events.
type streamWriter struct {
	c       echo.Context
	started bool
}

func (s *streamWriter) emit(chunk cfvopenai.Response) error {
	if !s.started {
		s.started = true
		s.c.Response().Header().Set("Content-Type", "text/event-stream")
		s.c.Response().Header().Set("Cache-Control", "no-store")
		s.c.Response().WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return cfverror.Unknown(cfverror.ReasonInternal, "%v", err)
	}
	return s.write(string(data))
}

func (s *streamWriter) write(data string) error {
	if _, err := fmt.Fprintf(s.c.Response(), "data: %s\n\n", data); err != nil {
		return cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")
	}
	s.c.Response().Flush()
	return nil
}

func (s *streamWriter) end() error {
	return s.write(cfvopenai.StreamEnd)
}

// endWithError writes an error event and no [DONE] event, so that the caller knows that the
// stream is incomplete.
func (s *streamWriter) endWithError(err error) error {
	r := cfverror.From(err)
	data, merr := json.Marshal(errorJSON{errorBody{
		Message: r.Message, Type: "coltsfootvalve_error", Code: string(r.Reason), Reason: string(r.Reason), Ran: string(cfverror.RanYes),
	}})
	if merr != nil {
		return merr
	}
	return s.write(string(data))
}

// passedResponseHeaders are the headers of an endpoint's response that are passed to the
// caller.
var passedResponseHeaders = []string{"Content-Type", cfvserve.HeaderReplay, cfvopenai.HeaderVersion, "Location", "Etag", "Last-Modified", "Retry-After"}

func writeResponse(c echo.Context, r cfvserve.Response) error {
	for _, name := range passedResponseHeaders {
		if v := r.Header.Get(name); v != "" {
			c.Response().Header().Set(name, v)
		}
	}
	c.Response().WriteHeader(r.Status)
	_, err := c.Response().Write(r.Body)
	if err != nil {
		return cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")
	}
	return nil
}

// call handles a call to a plain service.
func (a *API) call(c echo.Context) error {
	svc, err := a.service(c.Param("service"), true)
	if err != nil {
		return err
	}
	body, err := readBody(c, svc.MaxBodyBytes)
	if err != nil {
		return err
	}
	key := c.Request().Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return cfverror.NotRun(cfverror.ReasonBadRequest, "%s: longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	path := "/" + c.Param("*")
	if q := c.Request().URL.RawQuery; q != "" {
		path += "?" + q
	}
	resp, err := a.cfg.Server.Call(c.Request().Context(), cfvserve.Call{
		RequestID: requestIDOf(c), Workspace: workspaceOf(c), Service: svc,
		Method: c.Request().Method, Path: path, Header: forwardedHeaders(c.Request().Header), Body: body, Key: key,
	})
	if err != nil {
		return err
	}
	return writeResponse(c, resp)
}

// forwardedHeaders returns the headers of a caller's request that are passed to the service.
// The API key is never passed on.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "If-Modified-Since", HeaderIdempotencyKey} {
		if v := h.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	for name, v := range h {
		if strings.HasPrefix(name, "X-App-") {
			out[name] = v
		}
	}
	return out
}

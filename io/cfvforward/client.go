// Package cfvforward sends requests to endpoints and reads their responses. Its errors tell
// whether any byte of a request may have been sent, which decides whether a retry is safe.
package cfvforward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvstream"
	"coltsfootvalve/io/cfvopenai"
)

// Limits of connections and responses.
const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	maxResponseBytes    = 64 << 20
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// Config configures a client.
type Config struct {
	Dial cfvhttp.DialFunc // nil to use the network of the operating system
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{http: cfvhttp.NewClientWithDial(cfg.Dial, dialTimeout, maxIdleConnsPerHost)}
}

// Call is one request to an endpoint.
type Call struct {
	RequestID   string
	Address     string
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	IdleTimeout time.Duration      // maximum time without a byte of a body, or without an event of a stream
	OnHeader    func(ResponseMeta) // called when the response header is received; may be nil
}

// ResponseMeta is the state of an endpoint as reported in its response headers.
type ResponseMeta struct {
	BootID  string
	Version string
	Leaving bool
}

// Response is an endpoint's response. The body is empty if it was streamed.
type Response struct {
	Meta   ResponseMeta
	Status int
	Header http.Header
	Body   []byte
}

// responseReader reads a response body with an idle timeout.
type responseReader struct {
	resp        *http.Response
	watchdog    *cfvhttp.Watchdog
	cancel      context.CancelFunc
	idleTimeout time.Duration
}

// Read reads from the body. Each read that returns data restarts the idle timeout.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if n > 0 {
		r.watchdog.Start(r.idleTimeout)
	}
	return n, err
}

func (r *responseReader) close() {
	r.watchdog.Stop()
	r.cancel()
	r.resp.Body.Close()
}

// send sends the call and returns when the response header is received. The header must begin
// within headerTimeout, and then be complete soon.
func (c *Client) send(ctx context.Context, call Call, headerTimeout time.Duration) (*responseReader, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		cancel(nil)
		return nil, cfverror.NotRun(cfverror.ReasonBadRequest, "%v", err)
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(cfvopenai.HeaderRequestID, call.RequestID)
	req.GetBody = nil // the transport can't resend the request without GetBody
	idleErr := cfverror.Unknown(cfverror.ReasonEndpointSilent, "the endpoint %s was silent for too long", call.Address)
	watchdog := cfvhttp.NewWatchdog(func() { cancel(idleErr) })
	watchdog.Start(headerTimeout)
	resp, err := c.http.Do(req.WithContext(watchdog.WatchHead(ctx)))
	if err != nil {
		watchdog.Stop()
		err = sendError(ctx, call, err)
		cancel(nil)
		return nil, err
	}
	if !cfvhttp.IsFinalStatus(resp.StatusCode) {
		watchdog.Stop()
		cancel(nil)
		resp.Body.Close()
		return nil, cfverror.Unknown(cfverror.ReasonEndpointFailed, "endpoint %s answered with the status %03d", call.Address, resp.StatusCode)
	}
	watchdog.Start(call.IdleTimeout)
	if call.OnHeader != nil {
		call.OnHeader(readResponseMeta(resp.Header))
	}
	return &responseReader{resp, watchdog, func() { cancel(nil) }, call.IdleTimeout}, nil
}

// sendError converts an error of sending a request to a refusal.
func sendError(ctx context.Context, call Call, err error) error {
	var r *cfverror.Refusal
	switch {
	case errors.As(context.Cause(ctx), &r):
		return r
	case cfvhttp.NotSent(err):
		return cfverror.NotRun(cfverror.ReasonConnect, "no connection to endpoint %s", call.Address)
	case ctx.Err() != nil:
		return contextError(ctx)
	default:
		return cfverror.Unknown(cfverror.ReasonEndpointFailed, "endpoint %s broke off: %v", call.Address, err)
	}
}

// contextError returns the refusal for a context that has ended: the deadline has passed or
// the caller has disconnected.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cfverror.Unknown(cfverror.ReasonTimeout, "the request took longer than its service allows")
	}
	return cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")
}

func readResponseMeta(h http.Header) ResponseMeta {
	return ResponseMeta{
		BootID:  h.Get(cfvopenai.HeaderBootID),
		Version: h.Get(cfvopenai.HeaderVersion),
		Leaving: h.Get(cfvopenai.HeaderLeaving) == "true",
	}
}

// Do sends the call and returns the complete response. It returns an error if the response
// ends early or has the ID of another request.
func (c *Client) Do(ctx context.Context, call Call, headerTimeout time.Duration) (resp Response, err error) {
	r, err := c.send(ctx, call, headerTimeout)
	if err != nil {
		return resp, err
	}
	defer r.close()
	resp = Response{Meta: readResponseMeta(r.resp.Header), Status: r.resp.StatusCode, Header: r.resp.Header}
	resp.Body, err = cfvhttp.ReadBody(r, maxResponseBytes)
	if err != nil {
		return resp, readError(r.resp.Request.Context(), call, err)
	}
	if id := r.resp.Header.Get(cfvopenai.HeaderRequestID); id != "" {
		err = cfvstream.New(call.RequestID).CheckID(id)
	}
	return resp, err
}

func readError(ctx context.Context, call Call, err error) error {
	var r *cfverror.Refusal
	if errors.As(context.Cause(ctx), &r) {
		return r
	}
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	return cfverror.Unknown(cfverror.ReasonResponseTruncated, "the answer of endpoint %s ended early: %v", call.Address, err)
}

// Stream sends the call and passes each checked chunk of the stream to emit, starting with the
// next token that the checker expects. It returns when the end of the stream is received. A
// response with an error status is returned with its status and body, without an error.
func (c *Client) Stream(ctx context.Context, call Call, headerTimeout time.Duration, checker *cfvstream.Checker, emit func(cfvopenai.Response) error) (resp Response, err error) {
	if checker.NextOffset() > 0 {
		call.Header = call.Header.Clone()
		call.Header.Set(cfvopenai.HeaderResumeFrom, strconv.Itoa(checker.NextOffset()))
	}
	r, err := c.send(ctx, call, headerTimeout)
	if err != nil {
		return resp, err
	}
	defer r.close()
	resp = Response{Meta: readResponseMeta(r.resp.Header), Status: r.resp.StatusCode, Header: r.resp.Header}
	if resp.Status != http.StatusOK {
		resp.Body, _ = io.ReadAll(io.LimitReader(r.resp.Body, maxResponseBytes)) // within one idle timeout
		return resp, nil
	}
	events := cfvopenai.NewWatchedEventReader(r.resp.Body, func() { r.watchdog.Start(call.IdleTimeout) })
	for !checker.Ended() {
		r.watchdog.Start(call.IdleTimeout)
		data, err := events.Next()
		r.watchdog.Stop() // the caller may be slow to take the event
		if err != nil {
			return resp, readError(r.resp.Request.Context(), call, err)
		}
		if err := handleEvent(data, checker, emit); err != nil {
			return resp, err
		}
	}
	return resp, nil
}

// handleEvent checks one event of a stream and passes it to emit.
func handleEvent(data []byte, checker *cfvstream.Checker, emit func(cfvopenai.Response) error) error {
	if string(data) == cfvopenai.StreamEnd {
		checker.End()
		return nil
	}
	var chunk cfvopenai.Response
	if err := json.Unmarshal(data, &chunk); err != nil {
		return cfverror.Unknown(cfverror.ReasonResponseTruncated, "a chunk can't be read: %v", err)
	}
	if chunk.Offset == nil {
		if err := checker.CheckID(chunk.ID); err != nil {
			return err
		}
		return emit(chunk)
	}
	pass, err := checker.Accept(chunk.ID, *chunk.Offset)
	if err != nil || !pass {
		return err
	}
	return emit(chunk)
}

// OrderVersion orders an endpoint to load a version.
func (c *Client) OrderVersion(ctx context.Context, address string, o cfvopenai.VersionOrder) error {
	if err := cfvhttp.Call(ctx, c.http, http.MethodPost, "http://"+address+"/orders/version", o, nil); err != nil {
		return fmt.Errorf("order version: %w", err)
	}
	return nil
}

// ReadLoad reads an endpoint's load report.
func (c *Client) ReadLoad(ctx context.Context, address string) (r cfvopenai.LoadReport, err error) {
	if err = cfvhttp.Call(ctx, c.http, http.MethodGet, "http://"+address+"/load", nil, &r); err != nil {
		return r, fmt.Errorf("read load: %w", err)
	}
	return r, nil
}

// Package cfvforward sends requests to endpoints and reads their answers: every send is
// on a connection whose failure tells whether a byte may have left.
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

// Bounds of a connection to an endpoint.
const (
	dialTimeout    = time.Second
	idlePerHost    = 64
	maxAnswerBytes = 64 << 20
)

// Client sends to endpoints. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: cfvhttp.NewClient(dialTimeout, idlePerHost)}
}

// Call is one request to an endpoint.
type Call struct {
	RequestID   string
	Address     string
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	IdleTimeout time.Duration      // longest quiet time of the answer
	OnHeader    func(ResponseMeta) // called when the answer's header is there; nil for none
}

// Meta is what an endpoint says of itself with an answer.
type ResponseMeta struct {
	BootID  string
	Version string
	Leaving bool
}

// Answer is a whole answer.
type Response struct {
	Meta   ResponseMeta
	Status int
	Header http.Header
	Body   []byte
}

// sent is an answer whose body is being read under a bound on silence.
type sent struct {
	resp   *http.Response
	quiet  *time.Timer
	cancel context.CancelFunc
	bound  time.Duration
}

// Read reads the body; each byte that comes starts the bound on silence anew.
func (s *sent) Read(p []byte) (int, error) {
	n, err := s.resp.Body.Read(p)
	if n > 0 {
		s.quiet.Reset(s.bound)
	}
	return n, err
}

func (s *sent) close() {
	s.quiet.Stop()
	s.cancel()
	s.resp.Body.Close()
}

// send sends the call and returns once the answer's header is there.
func (c *Client) send(ctx context.Context, call Call, first time.Duration) (*sent, error) {
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
	req.GetBody = nil // without it the transport never sends a request twice
	silent := cfverror.Unknown(cfverror.ReasonEndpointSilent, "the endpoint %s was silent for too long", call.Address)
	quiet := time.AfterFunc(first, func() { cancel(silent) })
	resp, err := c.http.Do(req)
	if err != nil {
		quiet.Stop()
		err = classify(ctx, call, err)
		cancel(nil)
		return nil, err
	}
	quiet.Reset(call.IdleTimeout)
	if call.OnHeader != nil {
		call.OnHeader(meta(resp.Header))
	}
	return &sent{resp, quiet, func() { cancel(nil) }, call.IdleTimeout}, nil
}

// classify turns a failure to send or read into a refusal.
func classify(ctx context.Context, call Call, err error) error {
	var r *cfverror.Refusal
	switch {
	case errors.As(context.Cause(ctx), &r):
		return r
	case cfvhttp.NotSent(err):
		return cfverror.NotRun(cfverror.ReasonConnect, "no connection to endpoint %s", call.Address)
	case ctx.Err() != nil:
		return ended(ctx)
	default:
		return cfverror.Unknown(cfverror.ReasonEndpointFailed, "endpoint %s broke off: %v", call.Address, err)
	}
}

// ended tells a request whose time ran out from one whose caller left.
func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cfverror.Unknown(cfverror.ReasonTimeout, "the request took longer than its service allows")
	}
	return cfverror.Unknown(cfverror.ReasonCallerGone, "the caller left")
}

func meta(h http.Header) ResponseMeta {
	return ResponseMeta{
		BootID:  h.Get(cfvopenai.HeaderBootID),
		Version: h.Get(cfvopenai.HeaderVersion),
		Leaving: h.Get(cfvopenai.HeaderLeaving) == "true",
	}
}

// Whole sends the call and returns its whole answer. An answer that ends early, or that
// carries another request's id, is an error.
func (c *Client) Do(ctx context.Context, call Call, first time.Duration) (a Response, err error) {
	s, err := c.send(ctx, call, first)
	if err != nil {
		return a, err
	}
	defer s.close()
	a = Response{Meta: meta(s.resp.Header), Status: s.resp.StatusCode, Header: s.resp.Header}
	a.Body, err = io.ReadAll(io.LimitReader(s, maxAnswerBytes))
	if err != nil {
		return a, readFailure(s.resp.Request.Context(), call, err)
	}
	if id := s.resp.Header.Get(cfvopenai.HeaderRequestID); id != "" {
		err = cfvstream.New(call.RequestID).CheckID(id)
	}
	return a, err
}

func readFailure(ctx context.Context, call Call, err error) error {
	var r *cfverror.Refusal
	if errors.As(context.Cause(ctx), &r) {
		return r
	}
	if ctx.Err() != nil {
		return ended(ctx)
	}
	return cfverror.Unknown(cfverror.ReasonResponseTruncated, "the answer of endpoint %s ended early: %v", call.Address, err)
}

// Stream sends the call and passes each checked chunk to emit, from the checker's next
// token on. It returns nil once the end mark came. An error status is returned as an
// answer with its status and body.
func (c *Client) Stream(ctx context.Context, call Call, first time.Duration, check *cfvstream.Checker, emit func(cfvopenai.Response) error) (a Response, err error) {
	if check.NextOffset() > 0 {
		call.Header = call.Header.Clone()
		call.Header.Set(cfvopenai.HeaderResumeFrom, strconv.Itoa(check.NextOffset()))
	}
	s, err := c.send(ctx, call, first)
	if err != nil {
		return a, err
	}
	defer s.close()
	a = Response{Meta: meta(s.resp.Header), Status: s.resp.StatusCode, Header: s.resp.Header}
	if a.Status != http.StatusOK {
		a.Body, _ = io.ReadAll(io.LimitReader(s, maxAnswerBytes))
		return a, nil
	}
	events := cfvopenai.NewEventReader(s)
	for !check.Ended() {
		data, err := events.Next()
		if err != nil {
			return a, readFailure(s.resp.Request.Context(), call, err)
		}
		if err := take(data, check, emit); err != nil {
			return a, err
		}
	}
	return a, nil
}

// take checks one event and passes it on.
func take(data []byte, check *cfvstream.Checker, emit func(cfvopenai.Response) error) error {
	if string(data) == cfvopenai.StreamEnd {
		check.End()
		return nil
	}
	var chunk cfvopenai.Response
	if err := json.Unmarshal(data, &chunk); err != nil {
		return cfverror.Unknown(cfverror.ReasonResponseTruncated, "a chunk can't be read: %v", err)
	}
	if chunk.Offset == nil {
		if err := check.CheckID(chunk.ID); err != nil {
			return err
		}
		return emit(chunk)
	}
	pass, err := check.Accept(chunk.ID, *chunk.Offset)
	if err != nil || !pass {
		return err
	}
	return emit(chunk)
}

// Order orders an endpoint to load a version.
func (c *Client) OrderVersion(ctx context.Context, address string, o cfvopenai.VersionOrder) error {
	if err := cfvhttp.Call(ctx, c.http, http.MethodPost, "http://"+address+"/orders/version", o, nil); err != nil {
		return fmt.Errorf("order version: %w", err)
	}
	return nil
}

// Load reads an endpoint's load report.
func (c *Client) ReadLoad(ctx context.Context, address string) (r cfvopenai.LoadReport, err error) {
	if err = cfvhttp.Call(ctx, c.http, http.MethodGet, "http://"+address+"/load", nil, &r); err != nil {
		return r, fmt.Errorf("read load: %w", err)
	}
	return r, nil
}

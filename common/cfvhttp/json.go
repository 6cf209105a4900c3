// Package cfvhttp has helpers for HTTP clients and servers.
package cfvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// MaxResponseBytes is the maximum length of the body of a control-plane response.
const MaxResponseBytes = 8 << 20

// MaxHeaderBytes is the maximum length of the head of a response. Without a limit, net/http reads 10 MB.
const MaxHeaderBytes = 64 << 10

// StatusError is the error for a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// WriteJSON writes v as a JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request's body, of at most limit bytes, into v and reports whether it
// succeeded. After an error it has responded with status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	if err := dec.Decode(v); err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// Call sends in as JSON and decodes the response into out; either may be nil.
func Call(ctx context.Context, c *http.Client, method, url string, in, out any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, url, err)
		}
	}()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := ReadBody(resp.Body, MaxResponseBytes)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{resp.StatusCode, strings.TrimSpace(string(data[:min(len(data), 300)]))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// ErrBodyTooLong is the error of a body that is longer than its limit.
var ErrBodyTooLong = errors.New("the body is too long")

// ReadBody reads a whole body of at most limit bytes. A longer one is an error, so that its start is not taken for all of it.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrBodyTooLong
	}
	return data, err
}

// IsFinalStatus reports whether a final response may have the status. http.Client also returns 101, and every number of three digits
// below 100 or above 599, of which servers pass on some and panic at others.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// NotSent reports whether the request failed because no connection could be established, so
// that no byte of it has reached the server.
func NotSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a DialFunc that fails after the given time. A nil DialFunc uses the
// network of the operating system.
func (f DialFunc) WithTimeout(d time.Duration) DialFunc {
	if f == nil {
		return (&net.Dialer{Timeout: d}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return f(ctx, network, address)
	}
}

// reportResets connects to an address. See ReportResets.
func (f DialFunc) reportResets(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := f(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return ReportResets(c), nil
}

// NewClient returns a client with its own connection pool, which keeps at most
// maxIdlePerHost idle connections to each host.
func NewClient(dialTimeout time.Duration, maxIdlePerHost int) *http.Client {
	return NewClientWithDial(nil, dialTimeout, maxIdlePerHost)
}

// NewClientWithDial returns a client like NewClient that connects with dial; nil uses the
// network of the operating system.
func NewClientWithDial(dial DialFunc, dialTimeout time.Duration, maxIdlePerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial.WithTimeout(dialTimeout).reportResets,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeaderBytes,
	}}
}

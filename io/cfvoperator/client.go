package cfvoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// callTimeout bounds one operator's call.
const requestTimeout = 30 * time.Second

// Client calls a node's operator API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the node at the base URL.
func NewClient(base, token string) *Client {
	return &Client{base, token, &http.Client{Timeout: requestTimeout}}
}

// Do sends body, JSON or nothing, and reads the answer into out.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, out any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return newAPIError(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// Refusal is the error of a node that answered and refused.
type APIError struct {
	Status  int
	Reason  string
	Message string
}

// Error returns the reason and the message.
func (r *APIError) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Message)
}

// refusal returns the error that an answer names.
func newAPIError(status int, data []byte) error {
	var e ErrorJSON
	if json.Unmarshal(data, &e) == nil && e.Error != "" {
		return &APIError{status, e.Reason, e.Error}
	}
	return &APIError{status, "status " + strconv.Itoa(status), string(data)}
}

// Change asks for a change and returns the revision accepted.
func (c *Client) Change(ctx context.Context, j ChangesJSON) (revision uint64, err error) {
	data, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	var out AcceptedJSON
	err = c.Do(ctx, http.MethodPost, "/settings/changes", data, &out)
	return out.Revision, err
}

// Status reads a node's state.
func (c *Client) Status(ctx context.Context) (s StatusJSON, err error) {
	err = c.Do(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

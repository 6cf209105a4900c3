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

// requestTimeout limits one request to the operator API.
const requestTimeout = 30 * time.Second

// Client is a client of a node's operator API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the node at the base URL. If token is empty, requests
// are sent without authorization.
func NewClient(base, token string) *Client {
	return &Client{base, token, &http.Client{Timeout: requestTimeout}}
}

// Do sends a request with a JSON body, or none if body is empty, and decodes the response into
// out unless out is nil. A response with an error status is returned as an APIError.
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

// APIError is an error response of a node.
type APIError struct {
	Status  int
	Reason  string
	Message string
}

// Error returns the reason and the message.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// newAPIError returns the error described by a response with an error status.
func newAPIError(status int, data []byte) error {
	var e ErrorJSON
	if json.Unmarshal(data, &e) == nil && e.Error != "" {
		return &APIError{status, e.Reason, e.Error}
	}
	return &APIError{status, "status " + strconv.Itoa(status), string(data)}
}

// Change proposes a change of the settings and returns the new revision.
func (c *Client) Change(ctx context.Context, j ChangesJSON) (revision uint64, err error) {
	data, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	var out AcceptedJSON
	err = c.Do(ctx, http.MethodPost, "/settings/changes", data, &out)
	return out.Revision, err
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (s StatusJSON, err error) {
	err = c.Do(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

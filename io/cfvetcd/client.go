package cfvetcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// ErrConflict is returned if a key does not have the expected revision.
var ErrConflict = errors.New("key was changed by another writer")

// Config configures a client.
type Config struct {
	Addresses        []string         // base URLs, tried in turn
	Timeout          time.Duration    // timeout of one call
	WatchIdleTimeout time.Duration    // maximum time without data on a watch
	Dial             cfvhttp.DialFunc // nil to use the network of the operating system
}

// Client calls the key-value store. After a failed call it uses the next address. It is safe
// for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint64
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: cfvhttp.NewClientWithDial(cfg.Dial, time.Second, 8)}
}

func (c *Client) currentAddress() string {
	return c.cfg.Addresses[int(c.next.Load())%len(c.cfg.Addresses)]
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	err := cfvhttp.Call(ctx, c.http, http.MethodPost, c.currentAddress()+path, in, out)
	if err != nil {
		c.next.Add(1)
	}
	return err
}

// Get reads a key. It returns revision 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (value []byte, revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read key %q: %w", key, err)
		}
	}()
	var resp RangeResponse
	if err = c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return nil, 0, err
	}
	if len(resp.KVs) == 0 {
		return nil, 0, nil
	}
	return resp.KVs[0].Value, resp.KVs[0].ModRevision, nil
}

// Swap writes a key if it has the expected revision (compare-and-swap), 0 for a new key, and
// returns the new revision. If it returns ErrConflict, nothing was written. After any other
// error the key may have been written.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("swap key %q: %w", key, err)
		}
	}()
	req := TxnRequest{
		Compare: []Compare{{Target: "MOD", Result: "EQUAL", Key: []byte(key), ModRevision: expected}},
		Success: []Operation{{Put: &PutRequest{Key: []byte(key), Value: value, Lease: lease}}},
	}
	var resp TxnResponse
	if err = c.call(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		return 0, ErrConflict
	}
	return resp.Header.Revision, nil
}

// Put writes a key regardless of its revision.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease int64) error {
	return c.write(ctx, key, Operation{Put: &PutRequest{Key: []byte(key), Value: value, Lease: lease}})
}

// Delete deletes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	return c.write(ctx, key, Operation{Delete: &DeleteRequest{Key: []byte(key)}})
}

// write runs one operation regardless of the key's revision.
func (c *Client) write(ctx context.Context, key string, op Operation) error {
	var resp TxnResponse
	if err := c.call(ctx, "/v3/kv/txn", TxnRequest{Success: []Operation{op}}, &resp); err != nil {
		return fmt.Errorf("write key %q: %w", key, err)
	}
	return nil
}

// Grant creates a lease. Its length is rounded down to whole seconds.
func (c *Client) Grant(ctx context.Context, length time.Duration) (id int64, err error) {
	var resp GrantResponse
	err = c.call(ctx, "/v3/lease/grant", GrantRequest{TTL: int64(length / time.Second)}, &resp)
	return resp.ID, err
}

// Watch calls onChange once at the start and after each change of the key. It returns an error
// when the connection ends or no data arrives for WatchIdleTimeout. The store sends progress
// notifications more often than that.
func (c *Client) Watch(ctx context.Context, key string, onChange func()) (err error) {
	defer func() { err = fmt.Errorf("watch key %q: %w", key, err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.cfg.WatchIdleTimeout, cancel)
	defer idleTimer.Stop()
	body, err := json.Marshal(WatchRequest{Create: RangeRequest{Key: []byte(key)}})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.currentAddress()+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.next.Add(1)
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for first := true; ; first = false {
		var frame WatchFrame
		if err := dec.Decode(&frame); err != nil {
			return err
		}
		idleTimer.Reset(c.cfg.WatchIdleTimeout)
		if first || len(frame.Result.Events) > 0 {
			onChange()
		}
	}
}

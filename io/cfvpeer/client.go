package cfvpeer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvwire"
	"coltsfootvalve/io/cfvwire/cfvwireconnect"

	"connectrpc.com/connect"
)

// Limits of connections between entry VMs. Silent connections are detected by calls that time
// out, not by frequent pings: in a large fleet, pinging every idle connection would cost more
// than all other traffic.
const (
	dialTimeout            = 500 * time.Millisecond
	pingIdleTime           = 30 * time.Second
	pingTimeout            = time.Second
	maxMessageBytes        = 32 << 20
	maxConsecutiveTimeouts = 2 // calls in a row that time out before the connection is replaced
)

// ClientConfig configures a client.
type ClientConfig struct {
	TLS     *TLSConfig       // nil for unencrypted connections
	Traffic *cfvhttp.Traffic // counts the bytes sent and received
	Dial    cfvhttp.DialFunc // nil to use the network of the operating system
}

// Client calls peers by address and keeps a connection to each. It is safe for concurrent
// use.
type Client struct {
	cfg    ClientConfig
	scheme string

	mu     sync.Mutex
	byAddr map[string]*peer
}

// peer is the connection to one peer.
type peer struct {
	transport *http.Transport
	client    cfvwireconnect.PeerClient
	timeouts  int // calls in a row that timed out
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Traffic == nil {
		cfg.Traffic = &cfvhttp.Traffic{}
	}
	c := &Client{cfg: cfg, scheme: "http://", byAddr: make(map[string]*peer)}
	if cfg.TLS != nil {
		c.scheme = "https://"
	}
	return c
}

func (c *Client) newPeer(address string) *peer {
	t := &http.Transport{
		DialContext: c.cfg.Traffic.Dial(c.cfg.Dial.WithTimeout(dialTimeout)),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		Protocols:   new(http.Protocols),

		MaxResponseHeaderBytes: cfvhttp.MaxHeaderBytes,
	}
	if c.cfg.TLS == nil {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP2(true)
		t.TLSClientConfig = c.cfg.TLS.clientConfig()
	}
	client := cfvwireconnect.NewPeerClient(&http.Client{Transport: t}, c.scheme+address, connect.WithReadMaxBytes(maxMessageBytes))
	return &peer{transport: t, client: client}
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byAddr[address]
	if !ok {
		p = c.newPeer(address)
		c.byAddr[address] = p
	}
	return p
}

// recordCallEnd records the result of a call. If maxConsecutiveTimeouts calls in a row time out,
// the connection may be lost without an error, so the next call opens a new one.
func (c *Client) recordCallEnd(address string, p *peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts >= maxConsecutiveTimeouts && c.byAddr[address] == p {
		delete(c.byAddr, address)
		p.transport.CloseIdleConnections()
	}
}

// call calls one method of a peer.
func call[Req, Resp any](ctx context.Context, c *Client, address string, req *Req,
	method func(cfvwireconnect.PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	p := c.peer(address)
	resp, err := method(p.client, ctx, connect.NewRequest(req))
	c.recordCallEnd(address, p, err)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Probe checks a member and exchanges gossip with it.
func (c *Client) Probe(ctx context.Context, address string, p Probe) (r ProbeReply, err error) {
	resp, err := call(ctx, c, address, probeToWire(p), cfvwireconnect.PeerClient.Probe)
	if err != nil {
		return r, fmt.Errorf("probe %s: %w", address, err)
	}
	return probeReplyFromWire(resp), nil
}

// Reserve requests a slot from a group's owner.
func (c *Client) Reserve(ctx context.Context, address string, r cfvslot.Request) (d cfvslot.Decision, err error) {
	resp, err := call(ctx, c, address, requestToWire(r), cfvwireconnect.PeerClient.Reserve)
	if err != nil {
		return d, fmt.Errorf("reserve at %s: %w", address, err)
	}
	return decisionFromWire(r.Slot, resp), nil
}

// Release returns slots to their owner.
func (c *Client) Release(ctx context.Context, address string, list []cfvslot.Release) error {
	_, err := call(ctx, c, address, &cfvwire.ReleaseRequest{Releases: convert(list, releaseToWire)}, cfvwireconnect.PeerClient.Release)
	if err != nil {
		return fmt.Errorf("release at %s: %w", address, err)
	}
	return nil
}

// Recognise requests an entry's inventory of a group.
func (c *Client) Recognise(ctx context.Context, address string, r Recognise) (inv cfvslot.Inventory, err error) {
	requestedAt := time.Now()
	req := &cfvwire.RecogniseRequest{Group: r.Group, Owner: r.Owner, LeaseMillis: millis(r.Lease)}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Recognise)
	if err != nil {
		return inv, fmt.Errorf("recognise at %s: %w", address, err)
	}
	return inventoryFromWire(r.Group, requestedAt, resp), nil
}

// FetchSettings fetches the settings of a peer.
func (c *Client) FetchSettings(ctx context.Context, address string, f FetchSettings) (s Settings, err error) {
	req := &cfvwire.FetchSettingsRequest{Revision: f.Revision, Pieces: f.KnownPieces}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.FetchSettings)
	if err != nil {
		return s, fmt.Errorf("fetch settings at %s: %w", address, err)
	}
	return Settings{resp.GetHead(), resp.GetPieces()}, nil
}

// Claim claims an idempotency key at the writer of its journal.
func (c *Client) Claim(ctx context.Context, address string, cl cfvbooking.Claim) (r ClaimReply, err error) {
	req := &cfvwire.ClaimRequest{
		Key: cl.Key, Fingerprint: cl.Fingerprint, Attempt: cl.Attempt, Entry: cl.Entry, Started: cl.StartMillis,
	}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Claim)
	if err != nil {
		return r, fmt.Errorf("claim at %s: %w", address, err)
	}
	return claimReplyFromWire(cl.Key, resp), nil
}

// Conclude sends the result of a claimed request and reports whether it was written.
func (c *Client) Conclude(ctx context.Context, address string, cl cfvbooking.Conclusion) (bool, error) {
	req := &cfvwire.ConcludeRequest{Key: cl.Key, Attempt: cl.Attempt, State: uint32(cl.State), Answer: responseToWire(cl.Response)}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Conclude)
	if err != nil {
		return false, fmt.Errorf("conclude at %s: %w", address, err)
	}
	return resp.GetWritten(), nil
}

// Report sends this entry's evidence about a move to the entry that judges the move.
func (c *Client) Report(ctx context.Context, address string, r Report) error {
	req := &cfvwire.ReportRequest{
		Move: moveToWire(r.Move), Entry: r.Report.Entry, Started: r.Report.StartMillis,
		Evidence: convert(r.Report.Evidence, evidenceToWire),
	}
	if _, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Report); err != nil {
		return fmt.Errorf("report to %s: %w", address, err)
	}
	return nil
}

// Admit asks the entry that keeps a workspace's limits to admit a request. It returns the reason
// of a refusal, or "" if the request is admitted.
func (c *Client) Admit(ctx context.Context, address string, a cfvlimit.Admission) (reason string, err error) {
	req := &cfvwire.AdmitRequest{
		Workspace: a.Workspace, RequestId: a.RequestID, Entry: a.Entry, Started: a.EntryStarted,
		Concurrent: int32(a.MaxConcurrent), PerSecond: int32(a.MaxPerSecond), LimitMillis: millis(a.MaxDuration),
	}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Admit)
	if err != nil {
		return "", fmt.Errorf("admit at %s: %w", address, err)
	}
	return resp.GetReason(), nil
}

// Dismiss reports that admitted requests have ended.
func (c *Client) Dismiss(ctx context.Context, address string, d Dismiss) error {
	req := &cfvwire.DismissRequest{Workspace: d.Workspace, RequestIds: d.RequestIDs}
	if _, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Dismiss); err != nil {
		return fmt.Errorf("dismiss at %s: %w", address, err)
	}
	return nil
}

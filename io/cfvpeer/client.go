package cfvpeer

import (
	"context"
	"fmt"
	"net"
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

// Timings of a connection between entry VMs. Silence is found by calls that time out, not
// by pings: a ping on each idle connection costs more than all else in a large fleet.
const (
	dialTimeout  = 500 * time.Millisecond
	pingAfter    = 30 * time.Second
	pingTimeout  = time.Second
	maxPeerBytes = 32 << 20
	maxTimeouts  = 2 // calls in a row without an answer before the connection is replaced
)

// ClientConfig configures the calls to peers.
type ClientConfig struct {
	TLS     *TLSConfig       // nil for plain connections
	Traffic *cfvhttp.Traffic // counts the bytes of the calls
}

// Client calls peers by address. It is safe for concurrent use.
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
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: c.cfg.Traffic.Dial(d.DialContext),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		Protocols:   new(http.Protocols),
	}
	if c.cfg.TLS == nil {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP2(true)
		t.TLSClientConfig = c.cfg.TLS.client()
	}
	client := cfvwireconnect.NewPeerClient(&http.Client{Transport: t}, c.scheme+address, connect.WithReadMaxBytes(maxPeerBytes))
	return &peer{transport: t, client: client}
}

func (c *Client) at(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byAddr[address]
	if !ok {
		p = c.newPeer(address)
		c.byAddr[address] = p
	}
	return p
}

// ended notes how a call ended. A connection on which calls time out one after the other
// may have gone silent for good: the next call makes a new one.
func (c *Client) ended(address string, p *peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts >= maxTimeouts && c.byAddr[address] == p {
		delete(c.byAddr, address)
		p.transport.CloseIdleConnections()
	}
}

// call makes one call to a peer.
func call[Req, Resp any](ctx context.Context, c *Client, address string, req *Req,
	method func(cfvwireconnect.PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	p := c.at(address)
	resp, err := method(p.client, ctx, connect.NewRequest(req))
	c.ended(address, p, err)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Probe probes a member.
func (c *Client) Probe(ctx context.Context, address string, p Probe) (r ProbeReply, err error) {
	resp, err := call(ctx, c, address, probeToWire(p), cfvwireconnect.PeerClient.Probe)
	if err != nil {
		return r, fmt.Errorf("probe %s: %w", address, err)
	}
	return probeReplyFromWire(resp), nil
}

// Reserve asks an owner for a slot.
func (c *Client) Reserve(ctx context.Context, address string, r cfvslot.Request) (d cfvslot.Decision, err error) {
	resp, err := call(ctx, c, address, requestToWire(r), cfvwireconnect.PeerClient.Reserve)
	if err != nil {
		return d, fmt.Errorf("reserve at %s: %w", address, err)
	}
	return decisionFromWire(r.Slot, resp), nil
}

// Release gives slots back to their owner.
func (c *Client) Release(ctx context.Context, address string, list []cfvslot.Release) error {
	_, err := call(ctx, c, address, &cfvwire.ReleaseRequest{Releases: convert(list, releaseToWire)}, cfvwireconnect.PeerClient.Release)
	if err != nil {
		return fmt.Errorf("release at %s: %w", address, err)
	}
	return nil
}

// Recognise asks an entry for its inventory of a group.
func (c *Client) Recognise(ctx context.Context, address string, r Recognise) (inv cfvslot.Inventory, err error) {
	asked := time.Now()
	req := &cfvwire.RecogniseRequest{Group: r.Group, Owner: r.Owner, LeaseMillis: millis(r.Lease)}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Recognise)
	if err != nil {
		return inv, fmt.Errorf("recognise at %s: %w", address, err)
	}
	return inventoryFromWire(r.Group, asked, resp), nil
}

// FetchSettings reads a peer's settings.
func (c *Client) FetchSettings(ctx context.Context, address string, f FetchSettings) (s Settings, err error) {
	req := &cfvwire.FetchSettingsRequest{Revision: f.Revision, Pieces: f.KnownPieces}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.FetchSettings)
	if err != nil {
		return s, fmt.Errorf("fetch settings at %s: %w", address, err)
	}
	return Settings{resp.GetHead(), resp.GetPieces()}, nil
}

// Claim claims a key at its journal's writer.
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

// Conclude says how a claimed request ended and reports whether that is written.
func (c *Client) Conclude(ctx context.Context, address string, cl cfvbooking.Conclusion) (bool, error) {
	req := &cfvwire.ConcludeRequest{Key: cl.Key, Attempt: cl.Attempt, State: uint32(cl.State), Answer: answerToWire(cl.Response)}
	resp, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Conclude)
	if err != nil {
		return false, fmt.Errorf("conclude at %s: %w", address, err)
	}
	return resp.GetWritten(), nil
}

// Report hands a move's evidence to its judge.
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

// Admit asks the keeper of a workspace's limits; a reason is a refusal.
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

// Dismiss says that admitted requests have ended.
func (c *Client) Dismiss(ctx context.Context, address string, d Dismiss) error {
	req := &cfvwire.DismissRequest{Workspace: d.Workspace, RequestIds: d.RequestIDs}
	if _, err := call(ctx, c, address, req, cfvwireconnect.PeerClient.Dismiss); err != nil {
		return fmt.Errorf("dismiss at %s: %w", address, err)
	}
	return nil
}

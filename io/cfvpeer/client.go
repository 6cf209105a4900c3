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

// Timings of a connection between entry VMs. A connection that stays silent is pinged,
// and replaced when the ping is not answered.
const (
	dialTimeout  = 500 * time.Millisecond
	pingAfter    = 2 * time.Second
	pingTimeout  = time.Second
	maxPeerBytes = 32 << 20
)

// ClientConfig configures the calls to peers.
type ClientConfig struct {
	TLS     *TLSConfig       // nil for plain connections
	Traffic *cfvhttp.Traffic // counts the bytes of the calls
}

// Client calls peers by address. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	scheme string

	mu     sync.Mutex
	byAddr map[string]cfvwireconnect.PeerClient
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	if cfg.Traffic == nil {
		cfg.Traffic = &cfvhttp.Traffic{}
	}
	t := &http.Transport{
		DialContext: cfg.Traffic.Dial(d.DialContext),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		Protocols:   new(http.Protocols),
	}
	scheme := "http://"
	if cfg.TLS == nil {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP2(true)
		t.TLSClientConfig = cfg.TLS.client()
		scheme = "https://"
	}
	return &Client{
		http:   &http.Client{Transport: t},
		scheme: scheme,
		byAddr: make(map[string]cfvwireconnect.PeerClient),
	}
}

func (c *Client) at(address string) cfvwireconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byAddr[address]
	if !ok {
		p = cfvwireconnect.NewPeerClient(c.http, c.scheme+address, connect.WithReadMaxBytes(maxPeerBytes))
		c.byAddr[address] = p
	}
	return p
}

// Probe probes a member.
func (c *Client) Probe(ctx context.Context, address string, p Probe) (r ProbeReply, err error) {
	resp, err := c.at(address).Probe(ctx, connect.NewRequest(probeToWire(p)))
	if err != nil {
		return r, fmt.Errorf("probe %s: %w", address, err)
	}
	return probeReplyFromWire(resp.Msg), nil
}

// Reserve asks an owner for a slot.
func (c *Client) Reserve(ctx context.Context, address string, r cfvslot.Request) (d cfvslot.Decision, err error) {
	resp, err := c.at(address).Reserve(ctx, connect.NewRequest(requestToWire(r)))
	if err != nil {
		return d, fmt.Errorf("reserve at %s: %w", address, err)
	}
	return decisionFromWire(r.Slot, resp.Msg), nil
}

// Release gives slots back to their owner.
func (c *Client) Release(ctx context.Context, address string, list []cfvslot.Release) error {
	_, err := c.at(address).Release(ctx, connect.NewRequest(&cfvwire.ReleaseRequest{Releases: convert(list, releaseToWire)}))
	if err != nil {
		return fmt.Errorf("release at %s: %w", address, err)
	}
	return nil
}

// Recognise asks an entry for its inventory of a group.
func (c *Client) Recognise(ctx context.Context, address string, r Recognise) (inv cfvslot.Inventory, err error) {
	asked := time.Now()
	req := &cfvwire.RecogniseRequest{Group: r.Group, Owner: r.Owner, LeaseMillis: millis(r.Lease)}
	resp, err := c.at(address).Recognise(ctx, connect.NewRequest(req))
	if err != nil {
		return inv, fmt.Errorf("recognise at %s: %w", address, err)
	}
	return inventoryFromWire(r.Group, asked, resp.Msg), nil
}

// FetchSettings reads a peer's settings.
func (c *Client) FetchSettings(ctx context.Context, address string, f FetchSettings) (s Settings, err error) {
	req := &cfvwire.FetchSettingsRequest{Revision: f.Revision, Pieces: f.Pieces}
	resp, err := c.at(address).FetchSettings(ctx, connect.NewRequest(req))
	if err != nil {
		return s, fmt.Errorf("fetch settings at %s: %w", address, err)
	}
	return Settings{resp.Msg.GetHead(), resp.Msg.GetPieces()}, nil
}

// Claim claims a key at its journal's writer.
func (c *Client) Claim(ctx context.Context, address string, cl cfvbooking.Claim) (r ClaimReply, err error) {
	req := &cfvwire.ClaimRequest{
		Key: cl.Key, Fingerprint: cl.Fingerprint, Attempt: cl.Attempt, Entry: cl.Entry, Started: cl.Started,
	}
	resp, err := c.at(address).Claim(ctx, connect.NewRequest(req))
	if err != nil {
		return r, fmt.Errorf("claim at %s: %w", address, err)
	}
	return claimReplyFromWire(cl.Key, resp.Msg), nil
}

// Conclude says how a claimed request ended and reports whether that is written.
func (c *Client) Conclude(ctx context.Context, address string, cl cfvbooking.Conclusion) (bool, error) {
	req := &cfvwire.ConcludeRequest{Key: cl.Key, Attempt: cl.Attempt, State: uint32(cl.State), Answer: answerToWire(cl.Answer)}
	resp, err := c.at(address).Conclude(ctx, connect.NewRequest(req))
	if err != nil {
		return false, fmt.Errorf("conclude at %s: %w", address, err)
	}
	return resp.Msg.GetWritten(), nil
}

// Report hands a move's evidence to its judge.
func (c *Client) Report(ctx context.Context, address string, r Report) error {
	req := &cfvwire.ReportRequest{
		Move: moveToWire(r.Move), Entry: r.Report.Entry, Started: r.Report.Started,
		Evidence: convert(r.Report.Evidence, evidenceToWire),
	}
	if _, err := c.at(address).Report(ctx, connect.NewRequest(req)); err != nil {
		return fmt.Errorf("report to %s: %w", address, err)
	}
	return nil
}

// Admit asks the keeper of a workspace's limits; a reason is a refusal.
func (c *Client) Admit(ctx context.Context, address string, a cfvlimit.Admission) (reason string, err error) {
	req := &cfvwire.AdmitRequest{
		Workspace: a.Workspace, RequestId: a.RequestID, Entry: a.Entry, Started: a.Started,
		Concurrent: int32(a.Concurrent), PerSecond: int32(a.PerSecond), LimitMillis: millis(a.Limit),
	}
	resp, err := c.at(address).Admit(ctx, connect.NewRequest(req))
	if err != nil {
		return "", fmt.Errorf("admit at %s: %w", address, err)
	}
	return resp.Msg.GetReason(), nil
}

// Dismiss says that admitted requests have ended.
func (c *Client) Dismiss(ctx context.Context, address string, d Dismiss) error {
	req := &cfvwire.DismissRequest{Workspace: d.Workspace, RequestIds: d.RequestIDs}
	if _, err := c.at(address).Dismiss(ctx, connect.NewRequest(req)); err != nil {
		return fmt.Errorf("dismiss at %s: %w", address, err)
	}
	return nil
}

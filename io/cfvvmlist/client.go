// Package cfvvmlist is a client of the platform's list of live and leaving VMs. The list lags
// behind the actual state.
package cfvvmlist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// VM is one entry of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Role          string `json:"role"` // RoleEntry or RoleEndpoint
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"` // live, or StateLeaving
}

// Roles and states of VMs.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
	StateLeaving = "leaving"
)

// List is the response of the platform's VM list service.
type List struct {
	VMs []VM `json:"vms"`
}

// Config configures a client.
type Config struct {
	Address string // base URL
	Timeout time.Duration
	Dial    cfvhttp.DialFunc // nil to use the network of the operating system
}

// Client reads the list.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: cfvhttp.NewClientWithDial(cfg.Dial, time.Second, 1)}
}

// Read returns the current list.
func (c *Client) Read(ctx context.Context) (vms []VM, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var d List
	if err = cfvhttp.Call(ctx, c.http, http.MethodGet, c.cfg.Address+"/vms", nil, &d); err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	return d.VMs, nil
}

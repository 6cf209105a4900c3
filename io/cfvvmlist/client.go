// Package cfvvmlist reads the platform's lagging list of live and leaving VMs.
package cfvvmlist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// VM is one line of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Role          string `json:"role"` // entry or endpoint
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"` // live or leaving
}

// Roles and states of VMs.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
	StateLeaving = "leaving"
)

// Document is the whole list.
type List struct {
	VMs []VM `json:"vms"`
}

// Config configures a client.
type Config struct {
	Address string // base URL
	Timeout time.Duration
}

// Client reads the list.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: cfvhttp.NewClient(time.Second, 1)}
}

// Read returns the list as it is shown now.
func (c *Client) Read(ctx context.Context) (vms []VM, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var d List
	if err = cfvhttp.Call(ctx, c.http, http.MethodGet, c.cfg.Address+"/vms", nil, &d); err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	return d.VMs, nil
}

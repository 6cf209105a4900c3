// Command standins runs stand-ins for the outside systems: small servers that implement their
// protocols and support fault injection. Each stand-in is a subcommand.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfakekv"
	"coltsfootvalve/standins/cfvfakeplain"
	"coltsfootvalve/standins/cfvfakestore"
	"coltsfootvalve/standins/cfvfakevmlist"

	"github.com/jessevdk/go-flags"
)

// listenOptions holds the options that all stand-ins share.
type listenOptions struct {
	Listen string `long:"listen" value-name:"ADDRESS" required:"true" description:"IP address and port to listen on"`
}

// serve serves HTTP requests until the process receives SIGTERM or an interrupt.
func (o listenOptions) serve(h http.Handler) error {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

type kvCommand struct {
	listenOptions
	Writes  int           `long:"writes" default:"500" description:"maximum writes per second; 0 for no limit"`
	Reads   int           `long:"reads" default:"2000" description:"maximum reads per second; 0 for no limit"`
	Latency time.Duration `long:"latency" default:"2ms" description:"duration of a call"`
}

// Execute runs the key-value store.
func (c *kvCommand) Execute([]string) error {
	return c.serve(cfvfakekv.New(cfvfakekv.Config{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, Latency: c.Latency}).Handler())
}

type engineCommand struct {
	listenOptions
	Name           string        `long:"name" required:"true" description:"name of the engine"`
	Version        string        `long:"version" default:"v1" description:"version of the weights"`
	Prefill        time.Duration `long:"prefill" default:"50us" description:"prefill time per token"`
	Decode         time.Duration `long:"decode" default:"5ms" description:"decode time per token"`
	Batch          int           `long:"batch" default:"32" description:"maximum number of concurrent requests"`
	MaxCold        int           `long:"cold-bears" default:"4" description:"concurrent requests above which a cold engine crashes"`
	ColdFor        time.Duration `long:"cold-for" default:"3s" description:"how long an engine stays cold after a start"`
	Blocks         int           `long:"blocks" default:"256" description:"blocks in the prefix cache"`
	ReportLag      time.Duration `long:"lag" default:"500ms" description:"age of load reports"`
	CrashOn        string        `long:"crash-on" description:"a prompt with this text crashes the engine"`
	LoadTime       time.Duration `long:"load-for" default:"400ms" description:"duration of loading weights"`
	EventLag       time.Duration `long:"event-lag" default:"1s" description:"delay until cache events are published"`
	DropEventEvery int           `long:"event-gap" default:"50" description:"every n-th cache event is lost; 0: none is lost"`
	Fencing        bool          `long:"fencing" description:"refuse orders with an old fencing token"`
}

// Execute runs a model engine.
func (c *engineCommand) Execute([]string) error {
	return c.serve(cfvfakeengine.New(cfvfakeengine.Config{
		Name: c.Name, Version: c.Version, PrefillPerToken: c.Prefill, DecodePerToken: c.Decode, MaxBatch: c.Batch,
		MaxColdRequests: c.MaxCold, ColdFor: c.ColdFor, ColdSlowdown: 3, CacheBlocks: c.Blocks, LoadReportLag: c.ReportLag,
		CrashOn: c.CrashOn, EnforceFencing: c.Fencing,
		WeightsLoadTime: c.LoadTime, EventLag: c.EventLag, DropEventEvery: c.DropEventEvery,
	}).Handler())
}

type plainCommand struct {
	listenOptions
	Name       string        `long:"name" required:"true" description:"name of the service"`
	HonoursKey bool          `long:"honours-key" description:"run each idempotency key at most once"`
	Work       time.Duration `long:"work" default:"5ms" description:"duration of a call"`
}

// Execute runs a plain service.
func (c *plainCommand) Execute([]string) error {
	return c.serve(cfvfakeplain.New(cfvfakeplain.Config{Name: c.Name, HonoursIdempotencyKey: c.HonoursKey, CallTime: c.Work}).Handler())
}

type storeCommand struct {
	listenOptions
	Memory    int           `long:"memory" default:"4096" description:"blocks in memory"`
	Disk      int           `long:"disk" default:"65536" description:"blocks on disk"`
	DiskDelay time.Duration `long:"disk-delay" default:"5ms" description:"added read time of a block on disk"`
	BlockTime time.Duration `long:"block-time" default:"1ms" description:"transfer time of a block on the link"`
}

// Execute runs a store VM.
func (c *storeCommand) Execute([]string) error {
	return c.serve(cfvfakestore.New(cfvfakestore.Config{
		MemoryBlocks: c.Memory, DiskBlocks: c.Disk, DiskDelay: c.DiskDelay, BlockTime: c.BlockTime,
	}).Handler())
}

type vmListCommand struct {
	listenOptions
	Lag time.Duration `long:"lag" default:"1s" description:"age of the list"`
}

// Execute runs the VM list.
func (c *vmListCommand) Execute([]string) error {
	return c.serve(cfvfakevmlist.New(cfvfakevmlist.Config{Lag: c.Lag}).Handler())
}

func main() {
	p := flags.NewNamedParser("standins", flags.Default)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"kv", "Run the key-value store", &kvCommand{}},
		{"engine", "Run a model engine", &engineCommand{}},
		{"store", "Run a store VM", &storeCommand{}},
		{"plain", "Run a plain service", &plainCommand{}},
		{"vmlist", "Run the VM list", &vmListCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(1)
	}
}

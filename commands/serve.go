package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/io/cfvnode"
)

// version is the version of the program.
const version = "0.1.0"

// gcPercent is the GOGC value of a node. It is lower than the default because the settings of
// many workspaces make up a large long-lived heap.
const gcPercent = 40

type serveCommand struct {
	con      *console
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the node's settings file"`
}

// Execute runs a node until a signal. The first signal shuts it down gracefully, the second
// one immediately.
func (c *serveCommand) Execute([]string) error {
	cfg, err := cfvnode.ReadConfig(c.Settings)
	if err != nil {
		return err
	}
	if err := cfvlog.SetLevel(cfg.LogLevel); err != nil {
		return fmt.Errorf("logLevel: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	n, err := cfvnode.New(cfg, c.con.errOut)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if s := n.Stop(ctx); s.Interrupted > 0 {
		return fmt.Errorf("%d requests were aborted at shutdown", s.Interrupted)
	}
	return nil
}

type checkCommand struct {
	con      *console
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"the node's settings file"`
}

// Execute checks a settings file.
func (c *checkCommand) Execute([]string) error {
	cfg, err := cfvnode.ReadConfig(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.con.out, "%s: valid settings for node %s\n", c.Settings, cfg.Name)
	return err
}

type versionCommand struct {
	con *console
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.con.out, "coltsfootvalve", version)
	return err
}

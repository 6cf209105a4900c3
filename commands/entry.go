package commands

import (
	"net"
	"runtime/debug"
	"strconv"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/platform"
)

type entryCommand struct {
	con        *console
	LogLevel   string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level that is logged"`
	Metrics    int    `long:"metrics-port" value-name:"PORT" default:"0" description:"port at which counters and histograms are served under /metrics; 0: only at the address for entries"`
	LogSuccess int    `long:"log-success" value-name:"N" default:"50" description:"log one in N served requests; 0: none"`
}

// memoryShare is the part of the machine's memory that the heap may fill; the rest is left
// for stacks and for bytes that the kernel holds.
const memoryShare = 0.6

// Execute runs an entry until SIGTERM.
func (c *entryCommand) Execute([]string) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if err := cfvlog.SetLevel(c.LogLevel); err != nil {
		return err
	}
	out := cfvlog.Buffer(c.con.out)
	defer out.Close()
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	h := newHostedEntry(settings, cfvlog.New(out, settings.Node), c.LogSuccess)
	if c.Metrics > 0 {
		h.metricsAddr = net.JoinHostPort(settings.IP, strconv.Itoa(c.Metrics))
	}
	return h.run()
}

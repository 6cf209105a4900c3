package commands

import (
	"net"
	"runtime/debug"
	"strconv"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/platform"
)

// entryCommand runs an entry on the hosting platform.
type entryCommand struct {
	con        *console
	LogLevel   string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"minimum level of logged messages"`
	Metrics    int    `long:"metrics-port" value-name:"PORT" default:"0" description:"port that serves /metrics; 0: only the peer address serves it"`
	LogSuccess int    `long:"log-success" value-name:"N" default:"50" description:"log one of every N served requests; 0: none"`
	Learn      string `long:"learn-capacity" choice:"on" choice:"off" default:"off" description:"place requests by the measured speed of endpoints"`
}

// heapMemoryShare is the share of the VM's memory that the heap may use. The rest is left
// for stacks and for memory that the kernel holds.
const heapMemoryShare = 0.6

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
	if settings.MemoryMB > 0 { // a limit of 0 would keep the garbage collector running all the time
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	h := newHostedEntry(settings, cfvlog.New(out, settings.Node), c.LogSuccess, c.Learn == "on")
	if c.Metrics > 0 {
		h.metricsAddr = net.JoinHostPort(settings.IP, strconv.Itoa(c.Metrics))
	}
	return h.run()
}

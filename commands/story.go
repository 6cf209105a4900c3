package commands

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"coltsfootvalve/common/cfvlog"
)

// storyCommand prints the timeline of one request from logs.
type storyCommand struct {
	con    *console
	Window time.Duration `long:"window" default:"3s" description:"time before and after the request for which updates of the entries are shown"`
	Args   struct {
		Request string   `positional-arg-name:"REQUEST" required:"true" description:"request id"`
		Files   []string `positional-arg-name:"FILE" description:"log files; default: standard input"`
	} `positional-args:"true"`
}

// Execute prints the log lines in order, followed by the cause.
func (c *storyCommand) Execute([]string) error {
	lines, unreadable, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	story := cfvlog.RequestLines(lines, c.Args.Request, c.Window)
	cause, ok := cfvlog.Cause(story, c.Args.Request)
	if !ok {
		return fmt.Errorf("request %s not found in %d lines (%d unreadable); only a sample of served requests is logged, see --log-success", c.Args.Request, len(lines), unreadable)
	}
	for _, l := range story {
		if err := c.print("", l); err != nil {
			return err
		}
	}
	return c.print("cause: ", cause)
}

// readLogs reads the lines of all files, or of standard input if there are none. It also
// returns the number of lines that cannot be parsed.
func readLogs(files []string) (lines []cfvlog.Line, unreadable int, err error) {
	appendLog := func(r io.Reader, name string) error {
		more, bad, err := cfvlog.Read(r)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines, unreadable = append(lines, more...), unreadable+bad
		return nil
	}
	if len(files) == 0 {
		return lines, unreadable, appendLog(os.Stdin, "standard input")
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		if err = errors.Join(appendLog(f, name), f.Close()); err != nil {
			return nil, 0, err
		}
	}
	return lines, unreadable, nil
}

// print writes one log line, with its values sorted by name.
func (c *storyCommand) print(prefix string, l cfvlog.Line) error {
	var values []string
	for name, v := range l.Values {
		values = append(values, fmt.Sprintf("%s=%v", name, v))
	}
	sort.Strings(values)
	_, err := fmt.Fprintf(c.con.out, "%s%s %s %s: %s (%s)\n", prefix, l.Time.Format("15:04:05.000"), l.Node, l.Component, l.Message, strings.Join(values, " "))
	return err
}

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

// storyCommand tells what the logs say of one request.
type storyCommand struct {
	con    *console
	Window time.Duration `long:"window" default:"3s" description:"how far around the request what entries learned is told"`
	Args   struct {
		Request string   `positional-arg-name:"REQUEST" required:"true" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"logs; standard input if there are none"`
	} `positional-args:"true"`
}

// Execute prints the lines in order, and the cause last.
func (c *storyCommand) Execute([]string) error {
	lines, unread, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	story := cfvlog.RequestLines(lines, c.Args.Request, c.Window)
	cause, ok := cfvlog.Cause(story, c.Args.Request)
	if !ok {
		return fmt.Errorf("request %s is in none of %d lines (%d can't be read); served requests are logged one in so many, see --log-success", c.Args.Request, len(lines), unread)
	}
	for _, l := range story {
		if err := c.print("", l); err != nil {
			return err
		}
	}
	return c.print("cause: ", cause)
}

// readLogs reads all files, or standard input where there are none.
func readLogs(files []string) (lines []cfvlog.Line, unread int, err error) {
	take := func(r io.Reader, name string) error {
		more, bad, err := cfvlog.Read(r)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines, unread = append(lines, more...), unread+bad
		return nil
	}
	if len(files) == 0 {
		return lines, unread, take(os.Stdin, "standard input")
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		if err = errors.Join(take(f, name), f.Close()); err != nil {
			return nil, 0, err
		}
	}
	return lines, unread, nil
}

// print writes one line with its values in the order of their names.
func (c *storyCommand) print(prefix string, l cfvlog.Line) error {
	var values []string
	for name, v := range l.Values {
		values = append(values, fmt.Sprintf("%s=%v", name, v))
	}
	sort.Strings(values)
	_, err := fmt.Fprintf(c.con.out, "%s%s %s %s: %s (%s)\n", prefix, l.Time.Format("15:04:05.000"), l.Node, l.Component, l.Message, strings.Join(values, " "))
	return err
}

package commands

import (
	"fmt"
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvreport"
)

// lateCommand tells which streams were late, and why.
type lateCommand struct {
	con    *console
	First  time.Duration `long:"first" default:"800ms" description:"how late the first event may come"`
	Pause  time.Duration `long:"pause" default:"300ms" description:"how long the pause between two events may be"`
	Output string        `long:"output" choice:"text" choice:"json" default:"text" description:"how the table is written"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs; standard input if there are none"`
	} `positional-args:"true"`
}

// Execute prints a row for each cause and route.
func (c *lateCommand) Execute([]string) error {
	if c.First <= 0 || c.Pause <= 0 {
		return fmt.Errorf("--first and --pause: want more than 0, got %s and %s", c.First, c.Pause)
	}
	lines, unread, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	streams := cfvreport.ParseStreams(lines)
	if len(streams) == 0 {
		return fmt.Errorf("no placement of a prompt is in %d lines (%d can't be read); entries log them with --log-level debug --log-success 1", len(lines), unread)
	}
	late := cfvreport.CountCauses(streams, cfvreport.Limits{TimeToFirstEvent: c.First, Pause: c.Pause, LongPromptTokens: cfvdispatch.LongPromptTokens})
	rows := [][]string{{"route", "streams", "share", "first event (median)", "cause"}}
	for _, r := range late {
		rows = append(rows, []string{r.Route, fmt.Sprint(r.Count), fmt.Sprintf("%.3f", r.Share), r.First.String(), string(r.Cause)})
	}
	return c.con.print(operatorOptions{Output: c.Output}, late, rows)
}

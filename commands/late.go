package commands

import (
	"fmt"
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvreport"
)

// lateCommand reports which streams were late, and why.
type lateCommand struct {
	con    *console
	First  time.Duration `long:"first" default:"800ms" description:"time to the first event from which a stream is late"`
	Pause  time.Duration `long:"pause" default:"300ms" description:"pause between two events from which a stream is late"`
	Output string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"log files; default: standard input"`
	} `positional-args:"true"`
}

// Execute prints a row for each combination of route and cause.
func (c *lateCommand) Execute([]string) error {
	if c.First <= 0 || c.Pause <= 0 {
		return fmt.Errorf("--first and --pause must be greater than 0, got %s and %s", c.First, c.Pause)
	}
	lines, unreadable, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	streams := cfvreport.ParseStreams(lines)
	if len(streams) == 0 {
		return fmt.Errorf("no placement of a prompt found in %d lines (%d unreadable); entries log placements with --log-level debug --log-success 1", len(lines), unreadable)
	}
	late := cfvreport.CountCauses(streams, cfvreport.Limits{TimeToFirstEvent: c.First, Pause: c.Pause, LongPromptTokens: cfvdispatch.LongPromptTokens})
	rows := [][]string{{"route", "streams", "share", "first event (median)", "cause"}}
	for _, r := range late {
		rows = append(rows, []string{r.Route, fmt.Sprint(r.Count), fmt.Sprintf("%.3f", r.Share), r.First.String(), string(r.Cause)})
	}
	return c.con.print(operatorOptions{Output: c.Output}, late, rows)
}

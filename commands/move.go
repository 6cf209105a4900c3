package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"coltsfootvalve/io/cfvoperator"

	"github.com/jessevdk/go-flags"
)

// addMove adds the commands that move a service between versions.
func addMove(p *flags.Parser, con *console) {
	top, err := p.AddCommand("move", "Move a service to another version", "Moves the traffic of a service to another version in steps over time, and back if the new version fails.", &struct{}{})
	if err != nil {
		panic(err)
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"start", "Start a move", "Starts moving the traffic of a service to a version. The move completes or is rolled back automatically.\n\nExample: coltsfootvalve move start assistant v2 --within 30m", &moveStart{con: con}},
		{"status", "Show moves", "Shows the latest move of each service.\n\nExample: coltsfootvalve move status", &moveStatus{con: con}},
		{"takeBack", "Roll a move back", "Rolls back the current move of a service.\n\nExample: coltsfootvalve move takeBack assistant", &moveTakeBack{con: con}},
	} {
		if _, err := top.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
}

type moveStart struct {
	con *console
	changeOptions
	Within time.Duration `long:"within" default:"30m" description:"time until the deadline of the move"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Version string `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute starts a move unless another move of the service is in progress. The expected
// revision makes sure that only one of two operators who start moves at the same time
// succeeds; the other gets a conflict.
func (c *moveStart) Execute([]string) error {
	s, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	for _, m := range s.Moves {
		if m.Service == c.Args.Service && (m.State == "moving" || m.State == "waiting") {
			return fmt.Errorf("service %s: a move to %s is in progress; roll it back first with move takeBack", m.Service, m.To)
		}
	}
	if c.Expected == 0 {
		c.Expected = s.Revision
	}
	path, now := "services/"+c.Args.Service, time.Now()
	return c.con.change(c.changeOptions,
		cfvoperator.ChangeJSON{Path: path, Name: "moveTo", Value: c.Args.Version},
		cfvoperator.ChangeJSON{Path: path, Name: "moveStart", Value: strconv.FormatInt(now.UnixMilli(), 10)},
		cfvoperator.ChangeJSON{Path: path, Name: "moveDeadline", Value: strconv.FormatInt(now.Add(c.Within).UnixMilli(), 10)},
		cfvoperator.ChangeJSON{Path: path, Name: "moveTakenBack", Value: "false"},
	)
}

type moveStatus struct {
	con *console
	operatorOptions
}

// Execute prints the moves.
func (c *moveStatus) Execute([]string) error {
	s, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"service", "from", "to", "state", "share", "deadline", "cause"}}
	for _, m := range s.Moves {
		rows = append(rows, []string{m.Service, m.From, m.To, m.State, strconv.Itoa(m.Share) + "%", m.Deadline, m.Cause})
	}
	return c.con.print(c.operatorOptions, s.Moves, rows)
}

type moveTakeBack struct {
	con *console
	changeOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute rolls a move back.
func (c *moveTakeBack) Execute([]string) error {
	return c.con.change(c.changeOptions, cfvoperator.ChangeJSON{
		Path: "services/" + c.Args.Service, Name: "moveTakenBack", Value: "true",
	})
}

type logLevelCommand struct {
	con *console
	operatorOptions
	Args struct {
		Level string `positional-arg-name:"LEVEL" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute changes a node's log level while it runs.
func (c *logLevelCommand) Execute([]string) error {
	return c.client().Do(context.Background(), http.MethodPost, "/log/level/"+c.Args.Level, nil, nil)
}

type metricsCommand struct {
	con *console
	operatorOptions
}

// Execute prints a node's metrics.
func (c *metricsCommand) Execute([]string) error {
	var doc json.RawMessage
	if err := c.client().Do(context.Background(), http.MethodGet, "/metrics.json", nil, &doc); err != nil {
		return err
	}
	c.Output = "json"
	return c.con.print(c.operatorOptions, doc, nil)
}

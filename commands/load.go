package commands

import (
	"context"
	"fmt"
	"time"

	"coltsfootvalve/io/cfvload"
)

type loadCommand struct {
	con       *console
	Entries   []string      `long:"entry" value-name:"ADDRESS" required:"true" description:"callers' address of an entry; may be repeated"`
	Keys      []string      `long:"key" value-name:"KEY" required:"true" description:"workspace key; may be repeated"`
	Model     string        `long:"model" default:"assistant" description:"service to ask"`
	Rate      float64       `long:"rate" default:"20" description:"requests a second"`
	For       time.Duration `long:"for" default:"10s" description:"length of the load"`
	Long      float64       `long:"long" default:"0.5" description:"share of requests with a long prompt"`
	Returning float64       `long:"returning" default:"0.7" description:"share of long prompts that were sent before"`
	Bytes     int           `long:"prompt-bytes" default:"32000" description:"length of a long prompt"`
	Tokens    int           `long:"tokens" default:"16" description:"tokens of an answer"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Plot      string        `long:"plot" value-name:"FILE" description:"draw the load to a PNG or SVG"`
	Output    string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the answer"`
}

// Execute sends a load and prints what it showed.
func (c *loadCommand) Execute([]string) error {
	r := cfvload.Run(context.Background(), cfvload.Config{
		Entries: c.Entries, Keys: c.Keys, Model: c.Model, Rate: c.Rate, Length: c.For,
		LongShare: c.Long, Returning: c.Returning, PromptBytes: c.Bytes, Tokens: c.Tokens, Seed: c.Seed,
		Progress: func(s cfvload.Sample) {
			fmt.Fprintf(c.con.errOut, "second %d: served %d, refused %d, p95 to first token %s\n", s.Second, s.Served, s.Refused, s.P95)
		},
	})
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return r.WriteJSON(c.con.out)
	}
	return c.con.print(operatorOptions{}, nil, r.Rows())
}

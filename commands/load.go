package commands

import (
	"context"
	"fmt"
	"time"

	"coltsfootvalve/io/cfvload"
)

// loadCommand sends a small load to entries.
type loadCommand struct {
	con       *console
	Entries   []string      `long:"entry" value-name:"ADDRESS" required:"true" description:"caller address of an entry; may be repeated"`
	Keys      []string      `long:"key" value-name:"KEY" required:"true" description:"API key of a workspace; may be repeated"`
	Model     string        `long:"model" default:"assistant" description:"service that the requests are sent to"`
	Rate      float64       `long:"rate" default:"20" description:"requests per second"`
	For       time.Duration `long:"for" default:"10s" description:"duration of the load"`
	Long      float64       `long:"long" default:"0.5" description:"share of requests with a long prompt"`
	Returning float64       `long:"returning" default:"0.7" description:"share of long prompts that repeat an earlier one"`
	Bytes     int           `long:"prompt-bytes" default:"32000" description:"length of a long prompt in bytes"`
	Tokens    int           `long:"tokens" default:"16" description:"tokens per response"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the random load"`
	Plot      string        `long:"plot" value-name:"FILE" description:"plot the results to a PNG or SVG file"`
	Output    string        `long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
}

// Execute sends a load and prints its results.
func (c *loadCommand) Execute([]string) error {
	r := cfvload.Run(context.Background(), cfvload.Config{
		Entries: c.Entries, Keys: c.Keys, Model: c.Model, Rate: c.Rate, Duration: c.For,
		LongShare: c.Long, ReturningShare: c.Returning, PromptBytes: c.Bytes, MaxTokens: c.Tokens, Seed: c.Seed,
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

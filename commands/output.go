package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"coltsfootvalve/io/cfvoperator"
)

// client returns a client for the node given by the options.
func (o operatorOptions) client() *cfvoperator.Client {
	return cfvoperator.NewClient(o.Node, o.Token)
}

// isRefusal reports whether err is a node's refusal of a request.
func isRefusal(err error) bool {
	var r *cfvoperator.APIError
	return errors.As(err, &r)
}

// print writes v as JSON, or rows as a table. The first row is the heading.
func (c *console) print(o operatorOptions, v any, rows [][]string) error {
	if o.Output == "json" {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprintf(w, "%s\t", cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

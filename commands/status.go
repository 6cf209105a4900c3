package commands

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/io/cfvoperator"
)

type statusCommand struct {
	con *console
	operatorOptions
}

// Execute prints a node's state.
func (c *statusCommand) Execute([]string) error {
	s, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"node", "revision", "running", "slots in use", "stopping"},
		{s.Node, strconv.FormatUint(s.Revision, 10), strconv.FormatInt(s.Running, 10), strconv.Itoa(s.InUse), strconv.FormatBool(s.Stopping)},
		{}, {"member", "region", "failure domain", "status", "address"}}
	for _, m := range s.Members {
		rows = append(rows, []string{m.Name, m.Region, m.FailureDomain, m.Status, m.Address})
	}
	rows = append(rows, []string{}, []string{"endpoint", "group", "version", "boot", "held", "bound", "state", "waiting"})
	for _, e := range s.Endpoints {
		rows = append(rows, []string{e.Name, e.Group, e.Version, e.BootID, strconv.Itoa(e.Held), strconv.Itoa(e.Bound), endpointState(e), strconv.Itoa(e.Waiting)})
	}
	return c.con.print(c.operatorOptions, s, rows)
}

func endpointState(e cfvoperator.EndpointJSON) string {
	switch {
	case e.Shut:
		return "shut"
	case e.Cold:
		return "cold"
	default:
		return "warm"
	}
}

type explainCommand struct {
	con *console
	operatorOptions
	Args struct {
		RequestID string `positional-arg-name:"REQUEST_ID" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the recorded steps of a request.
func (c *explainCommand) Execute([]string) error {
	var e cfvoperator.ExplanationJSON
	err := c.client().Do(context.Background(), http.MethodGet, "/requests/"+url.PathEscape(c.Args.RequestID), nil, &e)
	if err != nil {
		return err
	}
	rows := [][]string{{"request", e.RequestID}, {"workspace", e.Workspace}, {}, {"after", "step"}}
	for _, n := range e.Notes {
		rows = append(rows, []string{(time.Duration(n.AfterMicros) * time.Microsecond).String(), n.Text})
	}
	return c.con.print(c.operatorOptions, e, rows)
}

type hashKeyCommand struct {
	con *console
}

// Execute prints the hash of the key read from standard input.
func (c *hashKeyCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return fmt.Errorf("no key on standard input: %v", err)
	}
	_, err = fmt.Fprintln(c.con.out, cfvcatalog.HashKey(key))
	return err
}

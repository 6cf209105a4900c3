package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"coltsfootvalve/io/cfvoperator"

	"github.com/jessevdk/go-flags"
)

// changeOptions are the options of commands that change settings.
type changeOptions struct {
	operatorOptions
	Author   string `long:"author" env:"USER" default:"operator" description:"author of the change, for the history"`
	Expected uint64 `long:"expected" value-name:"REVISION" description:"refuse the change unless this is the current revision"`
}

// addSettings adds the settings commands.
func addSettings(p *flags.Parser, con *console) {
	top, err := p.AddCommand("settings", "Read and change settings", "Reads and changes the settings tree.", &struct{}{})
	if err != nil {
		panic(err)
	}
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"get", "Print the tree", "Prints the current settings as a document.\n\nExample: coltsfootvalve settings get", &settingsGet{con: con}},
		{"set", "Set one setting", "Sets one setting at a path.\n\nExample: coltsfootvalve settings set services/assistant queueMillis 500", &settingsSet{con: con}},
		{"unset", "Unset one setting", "Unsets one setting, so that its value is inherited again. Without a name, removes the path itself.\n\nExample: coltsfootvalve settings unset services/assistant queueMillis", &settingsUnset{con: con}},
		{"apply", "Apply a document", "Applies all settings of a document atomically.\n\nExample: coltsfootvalve settings apply tree.json", &settingsApply{con: con}},
		{"diff", "Show what a document changes", "Shows what applying a document would change.\n\nExample: coltsfootvalve settings diff tree.json", &settingsDiff{con: con}},
		{"history", "Show accepted changes", "Shows who changed what and when, newest first.\n\nExample: coltsfootvalve settings history", &settingsHistory{con: con}},
		{"reference", "Print the reference of all settings", "Prints every setting with its type, range, levels and meaning.\n\nExample: coltsfootvalve settings reference", &settingsReference{con: con}},
		{"explain", "Show where values come from", "Shows each effective value at a path and the path that it is inherited from.\n\nExample: coltsfootvalve settings explain services/assistant", &settingsExplain{con: con}},
	} {
		if _, err := top.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
}

type settingsGet struct {
	con *console
	operatorOptions
}

// Execute prints the settings tree.
func (c *settingsGet) Execute([]string) error {
	var doc json.RawMessage
	if err := c.client().Do(context.Background(), http.MethodGet, "/settings", nil, &doc); err != nil {
		return err
	}
	c.Output = "json"
	return c.con.print(c.operatorOptions, doc, nil)
}

// change sends changes to a node and prints the accepted revision.
func (c *console) change(o changeOptions, changes ...cfvoperator.ChangeJSON) error {
	revision, err := o.client().Change(context.Background(), cfvoperator.ChangesJSON{Author: o.Author, Expected: o.Expected, Changes: changes})
	if err != nil {
		return err
	}
	return c.accepted(o.operatorOptions, revision)
}

// accepted prints the revision of an accepted change.
func (c *console) accepted(o operatorOptions, revision uint64) error {
	return c.print(o, cfvoperator.AcceptedJSON{Revision: revision}, [][]string{{"accepted as revision", strconv.FormatUint(revision, 10)}})
}

type settingsSet struct {
	con *console
	changeOptions
	Args struct {
		Path  string `positional-arg-name:"PATH" required:"true"`
		Name  string `positional-arg-name:"NAME" required:"true"`
		Value string `positional-arg-name:"VALUE" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sets one setting.
func (c *settingsSet) Execute([]string) error {
	return c.con.change(c.changeOptions, cfvoperator.ChangeJSON{Path: c.Args.Path, Name: c.Args.Name, Value: c.Args.Value})
}

type settingsUnset struct {
	con *console
	changeOptions
	Args struct {
		Path string `positional-arg-name:"PATH" required:"true"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute unsets one setting, or removes a path if no setting is given.
func (c *settingsUnset) Execute([]string) error {
	return c.con.change(c.changeOptions, cfvoperator.ChangeJSON{Path: c.Args.Path, Name: c.Args.Name, Remove: true})
}

type fileArgs struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

type settingsApply struct {
	con *console
	changeOptions
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute applies a document.
func (c *settingsApply) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	q := url.Values{"author": {c.Author}, "expected": {strconv.FormatUint(c.Expected, 10)}}
	var out cfvoperator.AcceptedJSON
	if err := c.client().Do(context.Background(), http.MethodPost, "/settings/apply?"+q.Encode(), data, &out); err != nil {
		return err
	}
	return c.con.accepted(c.operatorOptions, out.Revision)
}

type settingsDiff struct {
	con *console
	operatorOptions
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute prints what a document would change.
func (c *settingsDiff) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	var out []string
	if err := c.client().Do(context.Background(), http.MethodPost, "/settings/diff", data, &out); err != nil {
		return err
	}
	rows := [][]string{}
	for _, line := range out {
		rows = append(rows, []string{line})
	}
	return c.con.print(c.operatorOptions, out, rows)
}

type settingsHistory struct {
	con *console
	operatorOptions
}

// Execute prints the accepted changes.
func (c *settingsHistory) Execute([]string) error {
	var out []cfvoperator.HistoryJSON
	if err := c.client().Do(context.Background(), http.MethodGet, "/settings/history", nil, &out); err != nil {
		return err
	}
	rows := [][]string{{"revision", "time", "author", "changes"}}
	for _, h := range out {
		rows = append(rows, []string{strconv.FormatUint(h.Revision, 10), h.Time, h.Author, strings.Join(h.Changes, "; ")})
	}
	return c.con.print(c.operatorOptions, out, rows)
}

type settingsExplain struct {
	con *console
	operatorOptions
	Args struct {
		Path string `positional-arg-name:"PATH" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the effective values and their origin.
func (c *settingsExplain) Execute([]string) error {
	var out []cfvoperator.ValueJSON
	path := "/settings/explain?path=" + url.QueryEscape(c.Args.Path)
	if err := c.client().Do(context.Background(), http.MethodGet, path, nil, &out); err != nil {
		return err
	}
	rows := [][]string{{"setting", "value", "from"}}
	for _, v := range out {
		rows = append(rows, []string{v.Name, v.Value, v.Origin})
	}
	return c.con.print(c.operatorOptions, out, rows)
}

// addDomain adds the failure domain commands.
func addDomain(p *flags.Parser, con *console) {
	top, err := p.AddCommand("domain", "Drain failure domains and return them", "Drains failure domains and returns them to service.", &struct{}{})
	if err != nil {
		panic(err)
	}
	for name, drained := range map[string]bool{"drain": true, "return": false} {
		c := &domainCommand{con: con, drained: drained}
		long := fmt.Sprintf("Sets drained=%v for a failure domain.\n\nExample: coltsfootvalve domain %s pampeana/rosario", drained, name)
		if _, err := top.AddCommand(name, "Set drained to "+strconv.FormatBool(drained), long, c); err != nil {
			panic(err)
		}
	}
}

type domainCommand struct {
	con     *console
	drained bool
	changeOptions
	Args struct {
		Domain string `positional-arg-name:"REGION/DOMAIN" required:"true"`
	} `positional-args:"yes" required:"yes"`
}

// Execute drains a failure domain or returns it to service.
func (c *domainCommand) Execute([]string) error {
	if strings.Count(c.Args.Domain, "/") != 1 {
		return fmt.Errorf("failure domain %q: want REGION/DOMAIN", c.Args.Domain)
	}
	return c.con.change(c.changeOptions, cfvoperator.ChangeJSON{
		Path: "regions/" + c.Args.Domain, Name: "drained", Value: strconv.FormatBool(c.drained),
	})
}

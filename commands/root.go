// Package commands implements the command line: running entries and nodes, changing settings
// and reading logs.
package commands

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the command ran and failed
	ExitUsage   = 2 // the command line is wrong
	ExitRefused = 3 // the node refused, for example a change with an outdated revision
)

// console holds the output writers of the commands.
type console struct {
	out    io.Writer
	errOut io.Writer
}

// operatorOptions are the options of commands that send requests to a node.
type operatorOptions struct {
	Node   string `long:"node" value-name:"URL" default:"http://127.0.0.1:7003" env:"COLTSFOOTVALVE_NODE" description:"operator address of a node"`
	Token  string `long:"token" value-name:"TOKEN" env:"COLTSFOOTVALVE_TOKEN" description:"operator token"`
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
}

// Execute runs the command line and returns its exit code.
func Execute(args []string, out, errOut io.Writer) int {
	con := &console{out, errOut}
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "coltsfootvalve"
	p.LongDescription = "A serving system for prompts that return after long pauses."
	addAll(p, con)
	_, err := p.ParseArgs(args)
	return report(err, out, errOut)
}

// addAll adds all commands. It panics on errors, since the definitions are fixed.
func addAll(p *flags.Parser, con *console) {
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run a node", "Runs a node on an entry VM until SIGTERM, then shuts it down gracefully.\n\nExample: coltsfootvalve serve --settings node.json", &serveCommand{con: con}},
		{"entry", "Run an entry on the hosting platform", "Runs an entry on the hosting platform until SIGTERM. The platform names the settings file in the environment.\n\nExample: coltsfootvalve entry --log-success 100", &entryCommand{con: con}},
		{"story", "Show a request's timeline from logs", "Shows from log files or standard input what happened to a request, which updates its entry received meanwhile, and the cause of the outcome.\n\nExample: coltsfootvalve story 9c41d07be2a35f68 entry-*.log", &storyCommand{con: con}},
		{"late", "Show why streams were late", "Counts, from log files or standard input, why the first or a later event of streams was late. Entries must run with --log-level debug --log-success 1.\n\nExample: coltsfootvalve late --first 400ms entry-*.log", &lateCommand{con: con}},
		{"check", "Check a settings file", "Checks a node's settings file and names the invalid field.\n\nExample: coltsfootvalve check --settings node.json", &checkCommand{con: con}},
		{"version", "Print the version", "Prints the version of the program.\n\nExample: coltsfootvalve version", &versionCommand{con: con}},
		{"status", "Show a node's state", "Shows the members, endpoints and settings revision that a node knows.\n\nExample: coltsfootvalve status --node http://127.0.0.1:7003", &statusCommand{con: con}},
		{"explain", "Explain a request", "Shows where a request was sent and why. Ask the node that handled it.\n\nExample: coltsfootvalve explain 4f6c0f9e", &explainCommand{con: con}},
		{"load", "Send a small load", "Sends a small seeded load to entries and prints latency percentiles and refusals by reason.\n\nExample: coltsfootvalve load --entry 127.0.0.1:7001 --key KEY --rate 20 --for 10s", &loadCommand{con: con}},
		{"metrics", "Show a node's counters", "Shows all counters of a node, with refusals and retries by reason.\n\nExample: coltsfootvalve metrics", &metricsCommand{con: con}},
		{"log-level", "Change a node's log level", "Changes a node's log level while it runs.\n\nExample: coltsfootvalve log-level debug", &logLevelCommand{con: con}},
		{"hash-key", "Hash a workspace's key", "Reads a key from standard input and prints its hash for the setting keyHash.\n\nExample: coltsfootvalve hash-key < key.txt", &hashKeyCommand{con: con}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
	addSettings(p, con)
	addDomain(p, con)
	addMove(p, con)
}

// report prints the error, if any, and returns the exit code.
func report(err error, out, errOut io.Writer) int {
	var fe *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(out, fe.Message)
		return ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(errOut, "coltsfootvalve:", fe.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, "coltsfootvalve:", err)
	if isRefusal(err) {
		return ExitRefused
	}
	return ExitFailed
}

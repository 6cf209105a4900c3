// Command coltsfootvalve runs the node of an entry VM and provides the operators' command line.
package main

import (
	"os"

	"coltsfootvalve/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}

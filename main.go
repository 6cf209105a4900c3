// Command coltsfootvalve is an entry VM's node and its operators' command line.
package main

import (
	"os"

	"coltsfootvalve/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}

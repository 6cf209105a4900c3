// Command rig plays the cases of the second review. It runs entries as processes with the command of the deploy file, beside stand-ins
// for the platform's store, for replicas and for clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

// cases are the cases by their names. The argument trouble is false if the disruption is left out.
var cases = map[string]func(f *fleet, trouble bool) (outcome, error){
	"restored-store":  restoredStore,
	"deadly-part":     deadlyPart,
	"crash-in-answer": crashInAnswer,
	"crowd":           crowded,
	"crash-again":     crashAgain,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER")
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	defer f.close()
	rec.line("case %s, with the disruption: %t", os.Args[1], trouble)
	o, err := cases[os.Args[1]](f, trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir)) // for a look at the entries' logs
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	rec.line("%s", o.text)
	fmt.Println(o.text)
	if o.broken {
		return exitBroken
	}
	return exitHeld
}

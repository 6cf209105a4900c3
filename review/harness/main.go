// Command harness plays the scripts of the review: a small deployment with the system's own processes, and
// stand-ins for its clients, its replicas and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(c caseConfig) (broken bool, err error){
	"memory":  playMemory,
	"relays":  playRelays,
	"tenants": playTenants,
	"wall":    playWall,
}

// caseConfig is what a case is played with.
type caseConfig struct {
	bin     string
	trouble bool // with the disruption
	rec     *recorder
	onStop  func(stop func()) // registers a function that ends all processes
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stop := func() {}
	defer func() { // a panic of a case ends its processes too
		if r := recover(); r != nil {
			stop()
			panic(r)
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	go func() {
		<-signals
		stop()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](caseConfig{
		bin: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", rec: rec, onStop: func(f func()) { stop = f },
	})
	stop()
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		code = exitFailed
	case broken:
		rec.say("the rule was broken")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitFailed
	}
	os.Exit(code)
}

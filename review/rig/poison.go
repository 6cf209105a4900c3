package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a request that crashes replicas, from the start of the traffic.
const (
	poisonWork     = 500 * time.Millisecond // until the replica crashes
	poisonDown     = 3 * time.Second        // until it is back
	contactTime    = 3 * time.Second        // contactMs of the settings
	allowedRetries = 3
	answerBytes    = 800
)

// crashAgain sends a request that crashes the replica before it answers. It comes again all the time.
func crashAgain(f *fleet, trouble bool) (outcome, error) {
	return poisoned(f, trouble, poisonOf{interval: 200 * time.Millisecond, length: 75 * time.Second, run: func(_ *replica, _ http.ResponseWriter) {
		time.Sleep(poisonWork)
	}})
}

// crashInAnswer sends a request that crashes the replica in the middle of its answer.
func crashInAnswer(f *fleet, trouble bool) (outcome, error) {
	return poisoned(f, trouble, poisonOf{interval: time.Second, length: 30 * time.Second, run: func(_ *replica, w http.ResponseWriter) {
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		_, _ = w.Write(make([]byte, answerBytes/2)) // the caller may have left
		_ = http.NewResponseController(w).Flush()
		time.Sleep(poisonWork)
	}})
}

// poisonOf describes a request that crashes replicas.
type poisonOf struct {
	interval time.Duration                           // between two attempts
	length   time.Duration                           // of the traffic
	run      func(p *replica, w http.ResponseWriter) // what a replica does before it crashes
}

// poisoned sends a request that crashes replicas again and again, at one entry after the other, beside sound bookings.
func poisoned(f *fleet, trouble bool, o poisonOf) (result outcome, err error) {
	f.store.put("op/config", config(1, "key-a", "key-b"))
	replicas := replicasOf{service: "desk", count: 6, slots: 6, work: 60 * time.Millisecond, downTime: poisonDown}
	if trouble {
		replicas.poison = o.run
	}
	if err = f.addReplicas(replicas); err != nil {
		return result, err
	}
	if err = f.startEntries(3, usual); err != nil {
		return result, err
	}
	f.record.line("all entries are ready")
	t, began := newTraffic(), time.Now()
	var wg sync.WaitGroup
	var callers []*caller
	for _, p := range f.entries {
		c := newCaller(p.front)
		callers = append(callers, c)
		for n := range 4 {
			wg.Go(func() {
				for i := 0; time.Since(began) < o.length; i++ {
					t.send(c, request{id: fmt.Sprintf("sound-%s-%d-%d", p.name, n, i), method: http.MethodPost, path: "/book/1", key: "key-b", body: fmt.Sprintf("booking %d", i)})
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	for i := 0; time.Since(began) < o.length; i++ {
		c := callers[i%len(callers)]
		wg.Go(func() {
			t.send(c, request{id: fmt.Sprintf("poison-%d", i), method: http.MethodPost, path: "/book/9", key: "key-a", body: poisonBody})
		})
		time.Sleep(o.interval)
	}
	wg.Wait()
	return f.judgeCrashes(t, 3, func(r run) bool { return trouble && strings.HasPrefix(r.ID, "poison-") }), nil
}

// judgeCrashes counts the requests that reached replicas later than contactMs after the given crash.
func (f *fleet) judgeCrashes(t *traffic, from int, deadly func(run) bool) outcome {
	crashes := f.log.crashTimes()
	var after time.Time
	if len(crashes) >= from {
		after = crashes[from-1]
	}
	tooLate := func(sent time.Time) bool { return !after.IsZero() && sent.Sub(after) > contactTime }
	ordinal := fmt.Sprintf("contactMs after crash %d", from)
	late := 0
	for _, r := range f.log.all() {
		if !deadly(r) {
			continue
		}
		mark := ""
		if tooLate(t.sent(r.ID)) {
			late++
			mark = ", sent later than " + ordinal
		}
		f.record.line("request %s reached %s at %.3f s, answered %d%s", r.ID, r.Replica, r.At.Sub(f.record.began).Seconds(), t.status(r.ID), mark)
	}
	f.writeRequests(t)
	t.report(f.record, tooLate, ordinal)
	text := fmt.Sprintf("%d such requests reached replicas, sent later than %s, of %d crashes in all", late, ordinal, len(crashes))
	if late > allowedRetries {
		return outcome{true, "BUDGET broken: " + text}
	}
	return outcome{false, "BUDGET held: " + text}
}

package cfvexchange

import (
	"strings"
	"time"

	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// answeringSuffix marks an endpoint whose requests had all got several events when it crashed.
const answeringSuffix = "#answering"

// partsToWire converts an update about parts. The crashes that an answer has cleared are a message of
// their own, whose answer is newer than all of them; in any other message the answer is older than all
// crashes. A message without a part tells of the newest answer of the service.
func partsToWire(u cfvlimit.PartUpdate) (out []*cfvwireentry.PartSuspicion) {
	for service, age := range u.Served {
		out = append(out, &cfvwireentry.PartSuspicion{Service: service, ServedAgeMillis: age.Milliseconds() + 1})
	}
	for _, s := range u.Suspicions {
		open := &cfvwireentry.PartSuspicion{Service: s.Service, Part: s.Part, ServedAgeMillis: -1}
		cleared := &cfvwireentry.PartSuspicion{Service: s.Service, Part: s.Part}
		for _, c := range s.Crashes {
			m := crashToWire(c)
			if !c.Cleared {
				open.Crashes = append(open.Crashes, m)
				if s.Answered {
					open.ServedAgeMillis = max(open.ServedAgeMillis, m.GetAgeMillis())
				}
				continue
			}
			m.AgeMillis++
			if len(cleared.GetCrashes()) == 0 || m.GetAgeMillis() <= cleared.GetServedAgeMillis() {
				cleared.ServedAgeMillis = m.GetAgeMillis() - 1
			}
			cleared.Crashes = append(cleared.Crashes, m)
		}
		if len(open.GetCrashes()) > 0 {
			out = append(out, open)
		}
		if len(cleared.GetCrashes()) > 0 {
			out = append(out, cleared)
		}
	}
	return out
}

func crashToWire(c cfvlimit.PartCrash) *cfvwireentry.PartCrash {
	endpoint := c.Endpoint
	if c.Answering {
		endpoint += answeringSuffix
	}
	return &cfvwireentry.PartCrash{Endpoint: endpoint, AgeMillis: c.Age.Milliseconds()}
}

func partsFromWire(list []*cfvwireentry.PartSuspicion) (u cfvlimit.PartUpdate) {
	u.Served = make(map[string]time.Duration)
	for _, w := range list {
		served := w.GetServedAgeMillis()
		if w.GetService() == "" {
			continue // suspects a whole request
		}
		if w.GetPart() == "" {
			u.Served[w.GetService()] = time.Duration(served) * time.Millisecond
			continue
		}
		s := cfvlimit.PartSuspicion{PartKey: cfvlimit.PartKey{Service: w.GetService(), Part: w.GetPart()}, Answered: served >= 0}
		for _, c := range w.GetCrashes() {
			endpoint, answering := strings.CutSuffix(c.GetEndpoint(), answeringSuffix)
			s.Crashes = append(s.Crashes, cfvlimit.PartCrash{
				Endpoint: endpoint, Answering: answering, Age: time.Duration(c.GetAgeMillis()) * time.Millisecond,
				Cleared: served >= 0 && c.GetAgeMillis() > served,
			})
		}
		u.Suspicions = append(u.Suspicions, s)
	}
	return u
}

// requestsToWire converts suspicions against whole requests, for the request of a pull. They are messages
// without a service, whose part is the fingerprint.
func requestsToWire(now time.Time, ttl time.Duration, list []cfvlimit.Suspicion) (out []*cfvwireentry.PartSuspicion) {
	for _, s := range list {
		w := &cfvwireentry.PartSuspicion{Part: s.Fingerprint, ServedAgeMillis: -1}
		age := max(ttl-s.Until.Sub(now), 0)
		for _, e := range s.Endpoints {
			w.Crashes = append(w.Crashes, &cfvwireentry.PartCrash{Endpoint: e, AgeMillis: age.Milliseconds()})
		}
		out = append(out, w)
	}
	return out
}

func requestsFromWire(now time.Time, ttl time.Duration, list []*cfvwireentry.PartSuspicion) (out []cfvlimit.Suspicion) {
	for _, w := range list {
		if w.GetService() != "" || len(w.GetCrashes()) == 0 {
			continue
		}
		s := cfvlimit.Suspicion{Fingerprint: w.GetPart()}
		age := max(time.Duration(w.GetCrashes()[0].GetAgeMillis())*time.Millisecond, 0)
		for _, c := range w.GetCrashes() {
			s.Endpoints = append(s.Endpoints, c.GetEndpoint())
		}
		s.Until = now.Add(ttl - age)
		out = append(out, s)
	}
	return out
}

package cfvexchange

import (
	"time"

	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// suspicionMessage is a message that tells which requests and parts of prompts are suspected.
type suspicionMessage interface {
	GetParts() []*cfvwireentry.PartSuspicion
	GetServed() []*cfvwireentry.ServedAge
	GetSuspicions() []*cfvwireentry.Suspicion
}

// mergeSuspicions merges the suspicions of a peer.
func (x *Exchange) mergeSuspicions(msg suspicionMessage) {
	x.cfg.MergeParts(cfvlimit.PartUpdate{Suspicions: partsFromWire(msg.GetParts()), Served: servedFromWire(msg.GetServed())})
	for _, s := range suspicionsFromWire(time.Now(), msg.GetSuspicions()) {
		x.cfg.AddSuspicion(s)
	}
}

func partsToWire(list []cfvlimit.PartSuspicion) (out []*cfvwireentry.PartSuspicion) {
	for _, s := range list {
		w := &cfvwireentry.PartSuspicion{Service: s.Service, Part: s.Part, Answered: s.Answered}
		for _, c := range s.Crashes {
			w.Crashes = append(w.Crashes, &cfvwireentry.PartCrash{Endpoint: c.Endpoint, AgeMillis: c.Age.Milliseconds(), Answering: c.Answering, Cleared: c.Cleared})
		}
		out = append(out, w)
	}
	return out
}

func partsFromWire(list []*cfvwireentry.PartSuspicion) (out []cfvlimit.PartSuspicion) {
	for _, w := range list {
		s := cfvlimit.PartSuspicion{PartKey: cfvlimit.PartKey{Service: w.GetService(), Part: w.GetPart()}, Answered: w.GetAnswered()}
		for _, c := range w.GetCrashes() {
			s.Crashes = append(s.Crashes, cfvlimit.PartCrash{
				Endpoint: c.GetEndpoint(), Age: time.Duration(c.GetAgeMillis()) * time.Millisecond, Answering: c.GetAnswering(), Cleared: c.GetCleared(),
			})
		}
		out = append(out, s)
	}
	return out
}

func servedToWire(served map[string]time.Duration) (out []*cfvwireentry.ServedAge) {
	for service, age := range served {
		out = append(out, &cfvwireentry.ServedAge{Service: service, AgeMillis: age.Milliseconds() + 1})
	}
	return out
}

func servedFromWire(list []*cfvwireentry.ServedAge) map[string]time.Duration {
	out := make(map[string]time.Duration, len(list))
	for _, w := range list {
		out[w.GetService()] = time.Duration(w.GetAgeMillis()) * time.Millisecond
	}
	return out
}

func suspicionsToWire(now time.Time, list []cfvlimit.Suspicion) (out []*cfvwireentry.Suspicion) {
	for _, s := range list {
		out = append(out, &cfvwireentry.Suspicion{Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, LeftMillis: s.Until.Sub(now).Milliseconds()})
	}
	return out
}

func suspicionsFromWire(now time.Time, list []*cfvwireentry.Suspicion) (out []cfvlimit.Suspicion) {
	for _, w := range list {
		out = append(out, cfvlimit.Suspicion{Fingerprint: w.GetFingerprint(), Endpoints: w.GetEndpoints(), Until: now.Add(time.Duration(w.GetLeftMillis()) * time.Millisecond)})
	}
	return out
}

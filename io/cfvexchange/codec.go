package cfvexchange

import (
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/core/cfvspeed"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

func recordsToWire(records []cfvmirror.Record) []*cfvwireentry.Record {
	out := make([]*cfvwireentry.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &cfvwireentry.Record{Key: r.Key, Value: r.Value, Revision: r.Revision.Number(), Deleted: r.Deleted})
	}
	return out
}

func recordsFromWire(h cfvmirror.History, records []*cfvwireentry.Record) []cfvmirror.Record {
	out := make([]cfvmirror.Record, 0, len(records))
	for _, r := range records {
		out = append(out, cfvmirror.Record{Key: r.GetKey(), Value: r.GetValue(), Revision: h.Revision(r.GetRevision()), Deleted: r.GetDeleted()})
	}
	return out
}

func lostToWire(list []cfvstate.LostEndpoint) (out []*cfvwireentry.LostRecord) {
	for _, l := range list {
		w := &cfvwireentry.LostRecord{Key: l.Key, Revision: l.Copied.Number()}
		if l.For > 0 {
			w.ForMillis = l.For.Milliseconds() + 1 // 0 would make it certain
		}
		out = append(out, w)
	}
	return out
}

func lostFromWire(h cfvmirror.History, list []*cfvwireentry.LostRecord) (out []cfvstate.LostEndpoint) {
	for _, l := range list {
		out = append(out, cfvstate.LostEndpoint{Key: l.GetKey(), Copied: h.Revision(l.GetRevision()), For: time.Duration(max(l.GetForMillis(), 0)) * time.Millisecond})
	}
	return out
}

// weightsToWire returns the ages of all versions of weights whose age is known, and how long ago this entry or a
// peer heard of the other ones.
func weightsToWire(now time.Duration, v *cfvfleet.View) (known, heard []*cfvwireentry.WeightsAge) {
	for _, model := range v.Models() {
		for _, w := range v.Desired(model).History() {
			age := &cfvwireentry.WeightsAge{Model: model, Version: w.Version, AgeMillis: (now - w.Since).Milliseconds()}
			if w.Certain {
				known = append(known, age)
			} else {
				heard = append(heard, age)
			}
		}
	}
	return known, heard
}

func endpointsToWire(loads map[string]cfvdispatch.Load) []*cfvwireentry.EndpointLoad {
	out := make([]*cfvwireentry.EndpointLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, &cfvwireentry.EndpointLoad{Id: id, Running: uint32(l.Running), Tokens: uint32(l.PendingTokens), Slowness: l.Speed.Factor, Samples: l.Speed.Weight})
	}
	return out
}

func endpointsFromWire(list []*cfvwireentry.EndpointLoad) map[string]cfvdispatch.Load {
	out := make(map[string]cfvdispatch.Load, len(list))
	for _, e := range list {
		out[e.GetId()] = cfvdispatch.Load{Running: int(e.GetRunning()), PendingTokens: int(e.GetTokens()), Speed: cfvspeed.Measure{Factor: e.GetSlowness(), Weight: e.GetSamples()}}
	}
	return out
}

func demandsToWire(demands map[string]cfvdispatch.Demand) []*cfvwireentry.Demand {
	out := make([]*cfvwireentry.Demand, 0, len(demands))
	for service, d := range demands {
		out = append(out, &cfvwireentry.Demand{Service: service, Short: d.ShortMs, Long: d.LongMs, Count: d.Requests})
	}
	return out
}

func demandsFromWire(list []*cfvwireentry.Demand) map[string]cfvdispatch.Demand {
	out := make(map[string]cfvdispatch.Demand, len(list))
	for _, d := range list {
		out[d.GetService()] = cfvdispatch.Demand{ShortMs: d.GetShort(), LongMs: d.GetLong(), Requests: d.GetCount()}
	}
	return out
}

func positionToWire(p cfvparts.Position) *cfvwireentry.StorePosition {
	return &cfvwireentry.StorePosition{Addr: p.Addr, Epoch: p.Epoch, Next: p.Next}
}

func positionFromWire(w *cfvwireentry.StorePosition) cfvparts.Position {
	return cfvparts.Position{Addr: w.GetAddr(), Epoch: w.GetEpoch(), Next: w.GetNext()}
}

func positionsFromWire(list []*cfvwireentry.StorePosition) []cfvparts.Position {
	out := make([]cfvparts.Position, 0, len(list))
	for _, w := range list {
		out = append(out, positionFromWire(w))
	}
	return out
}

// storeUpdateToWire converts an update. It rounds the age up, since an age must never be
// understated.
func storeUpdateToWire(update cfvparts.StoreUpdate) *cfvwireentry.StoreNews {
	out := &cfvwireentry.StoreNews{
		Position: positionToWire(update.Position), Full: update.Full, AgeMillis: update.Age.Milliseconds() + 1, ClockMillis: update.ClockMillis,
		Lost: update.Lost,
	}
	for _, e := range update.Events {
		out.Events = append(out.Events, &cfvwireentry.PartEvent{
			Number: e.Sequence, Salt: e.Salt, Part: e.Part, Tokens: uint32(max(e.Tokens, 0)), Removed: e.Removed,
		})
	}
	return out
}

func storeUpdateFromWire(w *cfvwireentry.StoreNews) cfvparts.StoreUpdate {
	update := cfvparts.StoreUpdate{
		Position: positionFromWire(w.GetPosition()), Full: w.GetFull(), Age: time.Duration(w.GetAgeMillis()) * time.Millisecond,
		ClockMillis: w.GetClockMillis(), Lost: w.GetLost(),
	}
	for _, e := range w.GetEvents() {
		update.Events = append(update.Events, cfvparts.Event{
			Sequence: e.GetNumber(), Salt: e.GetSalt(), Part: e.GetPart(), Tokens: int(e.GetTokens()), Removed: e.GetRemoved(),
		})
	}
	return update
}

package cfvexchange

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// mergeNotices records what endpoints said to peers.
func (x *Exchange) mergeNotices(receivedAt time.Duration, notices []*cfvwireentry.EndpointNotice) {
	for _, n := range notices {
		x.cfg.MergeNotice(receivedAt, noticeFromWire(n))
	}
}

// noticesToWire converts notices of endpoints. It rounds their ages up, so that no notice looks newer than it is.
func noticesToWire(updates []cfvnotice.Update) []*cfvwireentry.EndpointNotice {
	out := make([]*cfvwireentry.EndpointNotice, 0, len(updates))
	for _, u := range updates {
		out = append(out, &cfvwireentry.EndpointNotice{
			Endpoint: u.Endpoint.ID, StartMillis: u.Endpoint.StartMillis, Limit: u.Limit, Leaving: u.Leaving, AgeMillis: u.Age.Milliseconds() + 1,
			Entry: u.Stamp.Entry, Sequence: u.Stamp.Sequence,
		})
	}
	return out
}

func noticeFromWire(w *cfvwireentry.EndpointNotice) cfvnotice.Update {
	return cfvnotice.Update{
		Endpoint: cfvfleet.Incarnation{ID: w.GetEndpoint(), StartMillis: w.GetStartMillis()}, Limit: w.GetLimit(), Leaving: w.GetLeaving(),
		Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Stamp: cfvnotice.Stamp{Entry: w.GetEntry(), Sequence: w.GetSequence()},
	}
}

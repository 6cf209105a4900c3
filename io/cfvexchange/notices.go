package cfvexchange

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
)

// mergeNotices records what endpoints said to peers.
func (x *Exchange) mergeNotices(receivedAt time.Duration, notices []*cfvwireentry.EndpointNotice, brittle []*cfvwireentry.BrittleNotice) {
	for _, n := range notices {
		x.cfg.MergeNotice(receivedAt, noticeFromWire(n))
	}
	for _, n := range brittle {
		x.cfg.MergeNotice(receivedAt, brittleFromWire(n))
	}
}

// noticesToWire converts notices of endpoints. It rounds their ages up, so that no notice looks newer than it is.
func noticesToWire(updates []cfvnotice.Update) (notices []*cfvwireentry.EndpointNotice, brittle []*cfvwireentry.BrittleNotice) {
	for _, u := range updates {
		age := u.Age.Milliseconds() + 1
		switch u.Kind {
		case cfvnotice.Brittle, cfvnotice.Rejection:
			brittle = append(brittle, &cfvwireentry.BrittleNotice{
				Endpoint: u.Endpoint.ID, StartMillis: u.Endpoint.StartMillis, Rejection: u.Kind == cfvnotice.Rejection, Bears: u.Limit, AgeMillis: age,
				Entry: u.Stamp.Entry, Sequence: u.Stamp.Sequence, Factor: u.Factor, Borrowing: u.Borrowing,
			})
		default:
			notices = append(notices, &cfvwireentry.EndpointNotice{
				Endpoint: u.Endpoint.ID, StartMillis: u.Endpoint.StartMillis, Limit: u.Limit, Leaving: u.Kind == cfvnotice.Leaving, AgeMillis: age,
				Entry: u.Stamp.Entry, Sequence: u.Stamp.Sequence,
			})
		}
	}
	return notices, brittle
}

func noticeFromWire(w *cfvwireentry.EndpointNotice) cfvnotice.Update {
	u := cfvnotice.Update{
		Endpoint: cfvfleet.Incarnation{ID: w.GetEndpoint(), StartMillis: w.GetStartMillis()}, Limit: w.GetLimit(),
		Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Stamp: cfvnotice.Stamp{Entry: w.GetEntry(), Sequence: w.GetSequence()},
	}
	if w.GetLeaving() {
		u.Kind = cfvnotice.Leaving
	}
	return u
}

func brittleFromWire(w *cfvwireentry.BrittleNotice) cfvnotice.Update {
	u := cfvnotice.Update{
		Endpoint: cfvfleet.Incarnation{ID: w.GetEndpoint(), StartMillis: w.GetStartMillis()}, Kind: cfvnotice.Brittle, Limit: w.GetBears(),
		Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Stamp: cfvnotice.Stamp{Entry: w.GetEntry(), Sequence: w.GetSequence()},
		Factor: w.GetFactor(), Borrowing: w.GetBorrowing(),
	}
	if w.GetRejection() {
		u.Kind = cfvnotice.Rejection
	}
	return u
}

package cfvstate

import (
	"slices"
	"strings"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
)

// Delta is what a peer lacks of a state.
type Delta struct {
	Records []cfvmirror.Record
	AsOf    cfvmirror.Revision // up to which the records are complete
	Full    bool               // they are all records
	Age     time.Duration      // how long ago the state was known to be complete up to AsOf
	Known   bool               // it was at some time
	Lost    []LostEndpoint
}

// LostEndpoint is an endpoint that is announced in the copy from which the key-value store was restored, although it had been
// removed or was leaving. It stays out of use until it announces itself again.
type LostEndpoint struct {
	Key    string
	Copied cfvmirror.Revision // of the announcement in the copy
	For    time.Duration      // its removal is not certain, so it stays out of use for so long at most; 0: it is
}

// maxLostEndpoints is the maximum number of lost endpoints that a peer is told of.
const maxLostEndpoints = 256

// Delta returns what a peer lacks whose state is complete up to revision since.
func (s *State) Delta(since cfvmirror.Revision) (d Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.AsOf = s.mirror.Revision()
	d.Age, d.Known = s.mirror.Age(s.cfg.Now()) // under the same lock: a revision must not get the confirmation of a newer one
	if since < d.AsOf {
		d.Records, d.Full = s.mirror.Delta(since)
	}
	d.Lost = s.lostEndpoints()
	return d
}

// lostEndpoints returns the endpoints whose removal or leaving the store has lost, sorted by key. The caller must hold the lock.
func (s *State) lostEndpoints() (out []LostEndpoint) {
	s.mirror.LostKeys(func(lost, current cfvmirror.Record) {
		c, _ := s.cfg.Decode(lost) // an error was reported when it was applied
		if current.Deleted || c.Endpoint == nil {
			return
		}
		if lost.Deleted || c.Endpoint.Endpoint != nil && c.Endpoint.Endpoint.Leaving {
			out = append(out, LostEndpoint{Key: lost.Key, Copied: current.Revision})
		}
	})
	now := s.cfg.Now()
	for key, until := range s.withheld {
		if s.mirror.Unseen(key) && until > now {
			out = append(out, LostEndpoint{Key: key, Copied: s.mirror.Current(key).Revision, For: until - now})
		}
	}
	slices.SortFunc(out, func(a, b LostEndpoint) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(len(out), maxLostEndpoints)]
}

// AddLostEndpoints records lost endpoints of which a peer knows. The parameter from is the peer, for the log.
func (s *State) AddLostEndpoints(from string, list []LostEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, l := range list {
		c, err := s.cfg.Decode(cfvmirror.Record{Key: l.Key, Revision: l.Copied, Deleted: true})
		switch {
		case err != nil || c.Endpoint == nil:
			continue
		case l.For > 0 && s.mirror.AddUnseen(l.Key, l.Copied):
			if s.withheld == nil {
				s.withheld = make(map[string]time.Duration)
			}
			s.withheld[l.Key] = now + l.For
		case l.For > 0 || !s.mirror.AddLost(l.Key, l.Copied):
			continue
		}
		s.view.Withdraw(now, c.Endpoint.ID)
		age, known := s.mirror.Age(now)
		s.logChange(from, cfvfleet.Change{Revision: l.Copied, Endpoint: c.Endpoint}, age, known)
	}
}

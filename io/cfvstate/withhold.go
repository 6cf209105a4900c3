package cfvstate

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
)

// RestorePeriod is how long the view keeps what a restored key-value store has lost. Operators and endpoints write it again
// within that time.
const RestorePeriod = cfvfleet.RemovalGracePeriod

// withhold returns the changed records of a restored store that the view is told of at once. It is told later of those that
// the store has lost or has only in an older version, unless they are written again; and of endpoints whose removal it may have lost, once
// the store would have removed them again. The caller must hold the lock.
func (s *State) withhold(now time.Duration, changed []cfvmirror.Record) (rest []cfvmirror.Record) {
	if s.withheld == nil {
		s.withheld = make(map[string]time.Duration)
	}
	anyLost := false
	for _, r := range changed {
		_, lost := s.mirror.Lost(r.Key)
		anyLost = anyLost || lost
		switch {
		case lost && !s.appliesAtOnce(r):
			s.withheld[r.Key] = now + RestorePeriod
		case s.mirror.Unseen(r.Key) && s.isEndpoint(r):
			s.withheld[r.Key] = now + max(RestorePeriod, s.cfg.SilenceTime)
		default:
			rest = append(rest, r)
		}
	}
	if anyLost { // otherwise the store tells by its era what its content has shown before
		s.view.KeyValueStoreRecovered(now)
	}
	return rest
}

// isEndpoint reports whether a record announces an endpoint.
func (s *State) isEndpoint(r cfvmirror.Record) bool {
	c, _ := s.cfg.Decode(r) // an error is reported when the record is applied
	return c.Endpoint != nil && c.Endpoint.Endpoint != nil
}

// appliesAtOnce reports whether the view deals with a lost record itself.
func (s *State) appliesAtOnce(r cfvmirror.Record) bool {
	c, _ := s.cfg.Decode(r) // an error is reported when the record is applied
	return c.Endpoint != nil && r.Deleted || c.RolloutProgress != nil
}

// releaseWithheld tells the view of lost records that were not written again in time. An endpoint that had been removed
// before the store was restored stays removed until it announces itself. The caller must hold the lock.
func (s *State) releaseWithheld(now time.Duration) (applied []cfvfleet.Change) {
	var records []cfvmirror.Record
	for key, until := range s.withheld {
		if now < until {
			continue
		}
		delete(s.withheld, key)
		r := s.mirror.Current(key)
		before, _ := s.mirror.Lost(key)
		if c, _ := s.cfg.Decode(r); c.Endpoint != nil && before.Deleted {
			continue
		}
		records = append(records, r)
	}
	if len(records) == 0 {
		return nil
	}
	return s.applyToView(now, "restored store", records)
}

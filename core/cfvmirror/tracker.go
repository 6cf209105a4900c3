package cfvmirror

// Tracker follows the history of the key-value store by what its responses tell. It is not safe for concurrent use.
type Tracker struct {
	latest History
}

// Latest returns the latest history of which the process knows.
func (t *Tracker) Latest() History { return t.latest }

// Follow records a history of which a peer knows, and reports whether it is later than the latest.
func (t *Tracker) Follow(h History) (later bool) {
	later = h > t.latest
	t.latest = max(t.latest, h)
	return later
}

// HistoryOf returns the history of a response that may have told an era, to a call that was sent when sentIn was the latest history. Any part
// of the way to the store may drop the era, so a response without one tells nothing.
func (t *Tracker) HistoryOf(era int64, told bool, sentIn History) History {
	if !told || era == sentIn.Era() {
		return sentIn
	}
	return NewHistory(era, 0)
}

// RecordUntoldRestore records that the store has been restored since it had a revision, although its responses do not tell another era. It
// reports whether there is a later history than that of the revision.
func (t *Tracker) RecordUntoldRestore(known Revision) bool {
	if next, ok := known.History().Next(); ok {
		t.Follow(next)
	}
	return t.latest > known.History()
}

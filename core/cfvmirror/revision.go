package cfvmirror

// Revision orders the changes of the key-value store. It consists of a history of the store and the number that the store gave the
// change. If the store is restored from an older copy, it gives numbers out again, in another history. So a revision of a later
// history is newer whatever its number.
type Revision int64

// History identifies a history of the key-value store: the era that the store told, and the number of restores since that it did not tell. A
// later history is greater. History 0 is that of a store that has told no era and has not been restored.
type History int64

// Steps between histories and eras. Revisions are sent as JSON numbers in fencing tokens, which are exact up to 2^53: with these steps
// up to era 9007.
const (
	historyStep = 10_000_000_000 // in numbers of changes
	eraStep     = 100            // in histories
)

// NewHistory returns the history after a number of restores that a store in an era did not tell.
func NewHistory(era, untold int64) History { return History(era*eraStep + untold) }

// Era returns the era that the store told, or 0 if it told none.
func (h History) Era() int64 { return int64(h) / eraStep }

// Untold returns the number of restores that the store did not tell.
func (h History) Untold() int64 { return int64(h) % eraStep }

// Next returns the history after another restore that the store does not tell, and false if that can't be represented.
func (h History) Next() (next History, ok bool) {
	return h + 1, (h + 1).Era() == h.Era()
}

// IsRestore reports whether a later history began with a restore. It does not if the store only tells its era for the first time.
func IsRestore(earlier, later History) bool {
	return later > earlier && (earlier > 0 || later.Untold() > 0)
}

// Revision returns the revision of the change with a number.
func (h History) Revision(number int64) Revision { return Revision(int64(h)*historyStep + number) }

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number int64) Revision { return NewHistory(era, 0).Revision(number) }

// History returns the history of the store to which the change belongs.
func (r Revision) History() History { return History(r / historyStep) }

// Era returns the era of the store, or 0 if it told none.
func (r Revision) Era() int64 { return r.History().Era() }

// Number returns the number that the store gave the change.
func (r Revision) Number() int64 { return int64(r) % historyStep }

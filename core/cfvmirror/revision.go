package cfvmirror

// Revision orders the changes of the key-value store. It consists of an era and the number that the store gave the change. If
// the store is restored from an older copy, it gives numbers out again, and its era rises. So a revision of a later era is
// newer whatever its number. Era 0 is that of a store that doesn't tell any.
type Revision int64

// eraStep separates eras. Revisions are sent as JSON numbers in fencing tokens, which are exact up to 2^53: with this step
// up to era 9007.
const eraStep = 1_000_000_000_000

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number int64) Revision { return Revision(era*eraStep + number) }

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r) / eraStep }

// Number returns the number that the store gave the change.
func (r Revision) Number() int64 { return int64(r) % eraStep }

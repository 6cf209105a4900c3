package cfvmirror

import (
	"fmt"
	"os"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

// drawHistory draws random changes of a few keys, in the order of their revisions.
func drawHistory(t *rapid.T) (all []Record) {
	n := rapid.IntRange(1, 60).Draw(t, "changes")
	for i := range n {
		r := Record{Key: fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key")), Revision: Revision(i + 1)}
		if r.Deleted = rapid.Bool().Draw(t, "deleted"); !r.Deleted {
			r.Value = []byte(fmt.Sprint("v", i))
		}
		all = append(all, r)
	}
	return all
}

// content returns the values by key that the mirror holds.
func content(m *Mirror) map[string]string {
	out := make(map[string]string)
	for k, r := range m.records {
		if !r.Deleted {
			out[k] = string(r.Value)
		}
	}
	return out
}

// Mirrors that are updated from each other and from the store in any order hold the content
// of the store at their revision, and their revision never decreases.
func TestMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawHistory(t)
		storeAt := func(revision Revision) map[string]string {
			out := make(map[string]string)
			for _, r := range all {
				if r.Revision > revision {
					break
				}
				if delete(out, r.Key); !r.Deleted {
					out[r.Key] = string(r.Value)
				}
			}
			return out
		}
		mirrors := []*Mirror{New(), New(), New()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, 2).Draw(t, "mirror")]
			before := m.Revision()
			switch rapid.SampledFrom([]string{"watch", "list", "pull"}).Draw(t, "by") {
			case "watch":
				to := Revision(rapid.Int64Range(int64(before), int64(len(all))).Draw(t, "to"))
				m.Merge(all[before:to], to)
			case "list":
				revision := Revision(rapid.Int64Range(0, int64(len(all))).Draw(t, "asOf"))
				var listing []Record
				for k, v := range storeAt(revision) {
					for _, r := range all[:revision] {
						if r.Key == k && string(r.Value) == v {
							listing = append(listing, r)
						}
					}
				}
				m.Replace(listing, revision)
			case "pull":
				peer := mirrors[rapid.IntRange(0, 2).Draw(t, "peer")]
				if peer.Revision() > m.Revision() {
					records, full := peer.Delta(m.Revision())
					if full {
						m.Replace(records, peer.Revision())
					} else {
						m.Merge(records, peer.Revision())
					}
				}
			}
			assert.Assert(t, m.Revision() >= before)
			assert.DeepEqual(t, content(m), storeAt(m.Revision()))
		}
	})
}

func TestAgeIsThatOfTheLastConfirmation(t *testing.T) {
	m := New()
	_, ok := m.Age(5)
	assert.Assert(t, !ok)
	m.Merge(nil, 10)
	m.Confirm(10, 4*time.Second)
	m.Confirm(9, 3*time.Second)  // an older revision
	m.Confirm(11, 9*time.Second) // a revision that the mirror has not reached
	age, ok := m.Age(6 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, age, 2*time.Second)
}

// Failure: dropping tombstones older than a listing lowers the revision from which peers get changes only, and a peer
// keeps a key that was removed before the listing.
func TestPeerOlderThanAListingReceivesAListing(t *testing.T) {
	m := New()
	rev := Revision(0)
	remove := func(n int) {
		var removed []Record
		for range n {
			rev++
			removed = append(removed, Record{Key: fmt.Sprint("k", rev), Revision: rev, Deleted: true})
		}
		m.Merge(removed, rev)
	}
	remove(maxTombstones)
	beforeListing := rev + 1 // the revision of a peer that has a key which is removed before the listing
	rev += 10
	m.Replace(nil, rev)
	remove(10)
	_, full := m.Delta(beforeListing)
	assert.Assert(t, full)
}

func TestPeerThatLagsBehindDroppedTombstonesReceivesAListing(t *testing.T) {
	m := New()
	rev := Revision(0)
	for i := range maxTombstones + 10 {
		key := fmt.Sprint("k", i)
		m.Merge([]Record{{Key: key, Revision: rev + 1}, {Key: key, Revision: rev + 2, Deleted: true}}, rev+2)
		rev += 2
	}
	m.Merge([]Record{{Key: "alive", Revision: rev + 1}}, rev+1)
	records, full := m.Delta(1)
	assert.Assert(t, full)
	assert.Equal(t, len(records), 1)
	_, full = m.Delta(rev)
	assert.Assert(t, !full)
}

package commands

import (
	"net/http"
	"testing"

	"coltsfootvalve/standins/cfvfakeplatform"

	"gotest.tools/v3/assert"
)

// restore restores the key-value store from a copy. Before it responds again, the operator and the endpoints write what was
// lost, the keys are reduced to shopKey, and the given number of other changes follow.
func (f *fleet) restore(c cfvfakeplatform.Copy, changes int) {
	f.keyValueStore.SetAway(true)
	for _, lost := range f.keyValueStore.Restore(c) {
		f.keyValueStore.WriteAgain(lost)
	}
	f.configure(shopKey)
	f.write(changes)
	f.keyValueStore.SetAway(false)
}

// write writes an item that entries don't use.
func (f *fleet) write(times int) {
	for range times {
		f.put("other", map[string]any{})
	}
}

// Guards against keys that are served for good: after the key-value store was restored from an older copy, entries skipped
// all that it wrote up to the revision that they had seen, or never asked for it.
func TestHostedKeyRemovedAfterARestoreIsRefused(t *testing.T) {
	t.Parallel()
	const lost = 20 // changes since the copy was made
	tests := map[string]func(f *fleet){
		"the watched revision is gone":                  func(f *fleet) { f.restore(f.copyAndWrite(lost), 0) },
		"the watched revision has been given out again": func(f *fleet) { f.restore(f.copyAndWrite(lost), 3*lost) },
		"for the second time": func(f *fleet) {
			c := f.copyAndWrite(lost)
			f.keyValueStore.Restore(c)
			f.eventually("the entries have the restored state", func() bool { return f.entries[0].state.AsOf().Number() < c.Revision()+lost })
			f.restore(f.copyAndWrite(lost), 2*lost)
		},
	}
	for name, drill := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 3)
			for i := range f.entries {
				assert.Equal(t, f.send(i, http.MethodPost, "/book/", otherKey, "").status, http.StatusOK)
			}
			drill(f)
			for i := range f.entries {
				f.eventually("the removed key is refused", func() bool {
					return f.send(i, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
				})
				f.eventually("the other key is served", func() bool {
					return f.send(i, http.MethodPost, "/book/", shopKey, "").status == http.StatusOK
				})
			}
			f.eventually("all entries are announced and one leads", func() bool {
				for _, e := range f.entries {
					if _, listed := e.state.Record("entries/" + e.settings.Node); !listed {
						return false
					}
				}
				return f.entries[0].isLeader() || f.entries[1].isLeader() || f.entries[2].isLeader()
			})
		})
	}
}

// copyAndWrite returns a copy of the key-value store after which all entries have applied a number of changes.
func (f *fleet) copyAndWrite(changes int) cfvfakeplatform.Copy {
	c := f.keyValueStore.Copy()
	f.write(changes)
	revision := f.keyValueStore.Revision()
	for i := range f.entries {
		f.eventually("the entry has applied the changes", func() bool { return f.entries[i].state.AsOf().Number() >= revision })
	}
	return c
}

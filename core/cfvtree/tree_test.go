package cfvtree

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

// mustApply returns the tree that a settings document describes.
func mustApply(t testing.TB, doc string) Tree {
	t.Helper()
	changes, err := DecodeChanges([]byte(doc))
	assert.NilError(t, err)
	tree, err := Tree{}.Apply(changes)
	assert.NilError(t, err)
	return tree
}

func ExampleTree_Lookup() {
	changes, _ := DecodeChanges([]byte(`{"root": {"coldSlots": 3}, "regions/pampeana": {}, "regions/pampeana/rosario": {"coldSlots": 4}}`))
	tree, _ := Tree{}.Apply(changes)
	v, origin := tree.Lookup("regions/pampeana/rosario", ColdSlots)
	fmt.Println(v, "from", origin)
	v, origin = tree.Lookup("regions/pampeana/cordoba", ColdSlots)
	fmt.Println(v, "from", origin)
	// Output:
	// 4 from regions/pampeana/rosario
	// 3 from root
}

func TestChildInheritsUnlessItOverrides(t *testing.T) {
	tree := mustApply(t, `{"root": {"priority": 7, "queueMillis": 9}, "services/orders": {"priority": 1}, "workspaces/w": {}}`)
	assert.Equal(t, tree.Int("services/orders", Priority), 1)
	assert.Equal(t, tree.Int("services/orders/v2", QueueMillis), 9)
	assert.Equal(t, tree.Int("workspaces/w", Priority), 7)
	assert.Equal(t, tree.Int("workspaces/w", RequestsPerSecond), 0)
}

// genChange generates a change, which may be invalid.
func genChange(t *rapid.T) Change {
	c := Change{Path: rapid.SampledFrom([]string{Root, "services/a", "services/b", "workspaces/x", "workspaces/y", "regions/r", "regions/r/d"}).Draw(t, "path")}
	c.Name = rapid.SampledFrom([]Name{"", ColdSlots, WarmSlots, QueueMillis, Priority, RequestsPerSecond, Drained}).Draw(t, "name")
	c.Remove = rapid.IntRange(0, 3).Draw(t, "remove") == 0
	if c.Name == Drained {
		c.Value = BoolValue(rapid.Bool().Draw(t, "flag"))
	} else {
		c.Value = IntValue(rapid.IntRange(-1, 20).Draw(t, "number"))
	}
	return c
}

// TestPiecesAndDocumentMatchTree checks that the pieces of a tree and its document have the
// same content, that Apply leaves the original tree unchanged, and that applying a Diff gives
// the other tree.
func TestPiecesAndDocumentMatchTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := Tree{}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			before := string(tree.Encode())
			next, err := tree.Apply([]Change{genChange(t)})
			if string(tree.Encode()) != before {
				t.Fatal("Apply modified the original tree")
			}
			if err != nil {
				continue
			}
			again, err := tree.Apply(Diff(tree, next))
			if err != nil || string(again.Encode()) != string(next.Encode()) {
				t.Fatalf("applying the diff gives a different tree: %v", err)
			}
			tree = next
		}
		pieces, err := tree.Split()
		if err != nil {
			t.Fatal(err)
		}
		joined := Tree{}
		for i, p := range pieces {
			if joined, err = joined.WithPiece(i, p); err != nil {
				t.Fatal(err)
			}
		}
		if string(joined.Encode()) != string(tree.Encode()) {
			t.Fatalf("joined pieces give %s, want %s", joined.Encode(), tree.Encode())
		}
	})
}

func FuzzDecodeChanges(f *testing.F) {
	f.Add([]byte(`{"root": {"coldSlots": 3, "drained": null}}`))
	f.Add([]byte(`{"services/a/b": {"kind": "plain"}}`))
	f.Add([]byte(`{"": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := DecodeChanges(data)
		if err != nil {
			return
		}
		tree, err := Tree{}.Apply(changes)
		if err != nil {
			return
		}
		again, err := DecodeChanges(tree.Encode())
		if err != nil {
			t.Fatalf("an accepted tree can't be decoded again: %v", err)
		}
		if _, err := (Tree{}).Apply(again); err != nil {
			t.Fatalf("an accepted tree is not accepted again: %v", err)
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add(EncodeHead(Head{Revision: 1, Time: time.Unix(1, 0), Pieces: make([]string, PieceCount)}))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := DecodeHead(data); err == nil && (h.Revision == 0 || len(h.Pieces) != PieceCount) {
			t.Fatalf("an incomplete head was accepted: %+v", h)
		}
	})
}

// BenchmarkTree measures how long a node takes to accept a change and to apply a changed piece,
// for several numbers of workspaces.
func BenchmarkTree(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000, 42_000} {
		var changes []Change
		for i := range n {
			changes = append(changes, Change{Path: fmt.Sprint("workspaces/w", i), Name: KeyHash, Value: TextValue(fmt.Sprintf("%064x", i))})
		}
		tree, err := Tree{}.Apply(changes)
		assert.NilError(b, err)
		pieces, err := tree.Split()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("accept/workspaces=%d", n), func(b *testing.B) {
			for i := range b.N {
				if _, err := tree.Apply([]Change{{Path: "workspaces/w1", Name: Priority, Value: IntValue(i % 10)}}); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("apply/workspaces=%d", n), func(b *testing.B) {
			for range b.N {
				if _, err := tree.WithPiece(0, pieces[0]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

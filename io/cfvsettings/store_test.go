package cfvsettings

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvetcd"
	"coltsfootvalve/io/cfvpeer"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

var errUnavailable = errors.New("the key-value store is unavailable")

// fakeKeyValue is a key-value store that can be unavailable, lose responses, apply writes late
// and return stale heads.
type fakeKeyValue struct {
	revision   int64
	keys       map[string]cfvetcd.KeyValue
	down       bool
	loseSwaps  int // number of swaps whose responses are lost
	delaySwaps int // number of swaps that are applied late
	lateWrites []func()
	heads      []cfvetcd.KeyValue // all heads written so far
	readLag    int                // number of heads that a read lags behind
	beforeSwap func()             // runs once before the next swap
	calls      int
}

func newFakeKeyValue() *fakeKeyValue {
	return &fakeKeyValue{keys: make(map[string]cfvetcd.KeyValue)}
}

func (f *fakeKeyValue) get(_ context.Context, key string) ([]byte, int64, error) {
	f.calls++
	if f.down {
		return nil, 0, errUnavailable
	}
	if key == headKey && f.readLag > 0 && len(f.heads) > f.readLag {
		old := f.heads[len(f.heads)-1-f.readLag]
		return old.Value, old.ModRevision, nil
	}
	return f.keys[key].Value, f.keys[key].ModRevision, nil
}

func (f *fakeKeyValue) put(_ context.Context, key string, value []byte, _ int64) error {
	f.calls++
	if f.down {
		return errUnavailable
	}
	f.write(key, value)
	return nil
}

func (f *fakeKeyValue) write(key string, value []byte) {
	f.revision++
	f.keys[key] = cfvetcd.KeyValue{Value: value, ModRevision: f.revision}
	if key == headKey {
		f.heads = append(f.heads, f.keys[key])
	}
}

func (f *fakeKeyValue) swap(_ context.Context, key string, value []byte, expected, _ int64) (int64, error) {
	f.calls++
	if f.beforeSwap != nil {
		run := f.beforeSwap
		f.beforeSwap = nil
		run()
	}
	if f.down {
		return 0, errUnavailable
	}
	apply := func() bool {
		if f.keys[key].ModRevision != expected {
			return false
		}
		f.write(key, value)
		return true
	}
	if f.delaySwaps > 0 {
		f.delaySwaps--
		f.lateWrites = append(f.lateWrites, func() { apply() })
		return 0, errUnavailable
	}
	ok := apply()
	if f.loseSwaps > 0 {
		f.loseSwaps--
		return 0, errUnavailable
	}
	if !ok {
		return 0, cfvetcd.ErrConflict
	}
	return f.revision, nil
}

func (f *fakeKeyValue) remove(_ context.Context, key string) error {
	delete(f.keys, key)
	return nil
}

// newStore returns a store that uses the fake and addresses its peers by their index.
func newStore(f *fakeKeyValue, peers *[]*Store) *Store {
	return New(Config{
		KeyValue: KeyValue{Get: f.get, Swap: f.swap, Put: f.put, Delete: f.remove},
		Fetch: func(_ context.Context, address string, q cfvpeer.FetchSettings) (cfvpeer.Settings, error) {
			var i int
			if _, err := fmt.Sscan(address, &i); err != nil {
				return cfvpeer.Settings{}, err
			}
			return (*peers)[i].HandleFetch(q), nil
		},
		Sleep: func(context.Context, time.Duration) bool { return true },
		Log:   cfvlog.Discard(), Metrics: cfvmetric.New(),
	})
}

// setInt returns the change that sets an integer setting.
func setInt(path string, name cfvtree.Name, n int) []cfvtree.Change {
	return []cfvtree.Change{{Path: path, Name: name, Value: cfvtree.IntValue(n)}}
}

// stateMachine lets several nodes change and read settings in random order. It records the
// accepted changes as the expected result.
type stateMachine struct {
	kv        *fakeKeyValue
	stores    []*Store
	seen      []uint64
	accepted  map[uint64]int // value by revision
	lastValue int
}

func (m *stateMachine) propose(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "node")
	m.lastValue++
	m.kv.loseSwaps = rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "lose")
	m.kv.delaySwaps = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "delay")
	value := m.lastValue
	revision, err := m.stores[i].Propose(t.Context(), Proposal{Author: "t", Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, value)})
	m.kv.loseSwaps, m.kv.delaySwaps = 0, 0
	if err == nil {
		if old, exists := m.accepted[revision]; exists {
			t.Fatalf("revision %d was accepted with value %d and with value %d", revision, old, value)
		}
		m.accepted[revision] = value
	}
	m.check(t)
}

func (m *stateMachine) refresh(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "node")
	m.kv.readLag = rapid.IntRange(0, 2).Draw(t, "stale")
	m.stores[i].refresh(t.Context())
	m.kv.readLag = 0
	m.check(t)
}

func (m *stateMachine) gossip(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "node")
	j := rapid.IntRange(0, len(m.stores)-1).Draw(t, "peer")
	if err := m.stores[i].fetch(t.Context(), fmt.Sprint(j)); err != nil {
		t.Fatal(err)
	}
	m.check(t)
}

func (m *stateMachine) setOutage(t *rapid.T) { m.kv.down = rapid.Bool().Draw(t, "down") }

func (m *stateMachine) applyLateWrites(t *rapid.T) {
	for _, f := range m.kv.lateWrites {
		f()
	}
	m.kv.lateWrites = nil
	m.check(t)
}

func (m *stateMachine) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "node")
	m.stores[i] = newStore(m.kv, &m.stores)
	m.seen[i] = 0
}

// check verifies that the revision of no node decreases and that each node has the value that
// was accepted at its revision.
func (m *stateMachine) check(t *rapid.T) {
	for i, s := range m.stores {
		revision := s.Revision()
		if revision < m.seen[i] {
			t.Fatalf("revision of node %d decreased from %d to %d", i, m.seen[i], revision)
		}
		m.seen[i] = revision
		got := s.Catalog().Tree().Int(cfvtree.Root, cfvtree.QueueMillis)
		if want, ok := m.accepted[revision]; ok && got != want {
			t.Fatalf("node %d has value %d at revision %d, want the accepted value %d", i, got, revision, want)
		}
	}
}

func TestAcceptedNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{kv: newFakeKeyValue(), seen: make([]uint64, 3), accepted: make(map[uint64]int)}
		for range 3 {
			m.stores = append(m.stores, newStore(m.kv, &m.stores))
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "propose2": m.propose, "learn": m.refresh, "gossip": m.gossip,
			"outage": m.setOutage, "arrive": m.applyLateWrites, "restart": m.restart,
		})
		m.finish(t)
	})
}

// finish ends the outage and verifies that every node then reads the last accepted change.
func (m *stateMachine) finish(t *rapid.T) {
	m.kv.down = false
	m.applyLateWrites(t)
	var last uint64
	for revision := range m.accepted {
		last = max(last, revision)
	}
	for i, s := range m.stores {
		s.refresh(t.Context())
		if s.Revision() < last {
			t.Fatalf("node %d has revision %d, want the accepted revision %d", i, s.Revision(), last)
		}
	}
	m.check(t)
}

func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	kv := newFakeKeyValue()
	s := newStore(kv, nil)
	kv.loseSwaps = 1
	revision, err := s.Propose(t.Context(), Proposal{Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, 7)})
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
}

func TestConcurrentChangeIsAConflict(t *testing.T) {
	kv := newFakeKeyValue()
	s, other := newStore(kv, nil), newStore(kv, nil)
	_, err := s.Propose(t.Context(), Proposal{Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, 7)})
	assert.NilError(t, err)
	kv.beforeSwap = func() {
		_, err := other.Propose(t.Context(), Proposal{Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, 8)})
		assert.NilError(t, err)
	}
	_, err = s.Propose(t.Context(), Proposal{Expected: 1, Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, 9)})
	assert.Equal(t, cfverror.From(err).Reason, cfverror.ReasonConflict)
	assert.Equal(t, cfverror.From(err).Ran, cfverror.RanNo)
	assert.Equal(t, other.Catalog().Tree().Int(cfvtree.Root, cfvtree.QueueMillis), 8)
}

func TestNodeStartedInOutageFetchesFromPeers(t *testing.T) {
	kv := newFakeKeyValue()
	var stores []*Store
	stores = append(stores, newStore(kv, &stores))
	_, err := stores[0].Propose(t.Context(), Proposal{Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, 7)})
	assert.NilError(t, err)
	kv.down = true
	started := newStore(kv, &stores)
	assert.NilError(t, started.fetch(t.Context(), "0"))
	assert.Equal(t, started.Revision(), uint64(1))
	assert.Equal(t, started.Catalog().Tree().Int(cfvtree.Root, cfvtree.QueueMillis), 7)
}

func TestHistoryShowsEachAcceptedChange(t *testing.T) {
	kv := newFakeKeyValue()
	s := newStore(kv, nil)
	for i := range 3 {
		_, err := s.Propose(t.Context(), Proposal{Author: fmt.Sprint("op", i), Changes: setInt(cfvtree.Root, cfvtree.QueueMillis, i+1)})
		assert.NilError(t, err)
	}
	list, err := s.History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 3)
	assert.Equal(t, list[0].Author, "op2")
	assert.DeepEqual(t, list[2].Changes, []string{"add root", "set root queueMillis=1"})
}

func TestFortyTwoThousandWorkspacesFitValueLimit(t *testing.T) {
	kv := newFakeKeyValue()
	s := newStore(kv, nil)
	var changes []cfvtree.Change
	for i := range 42_000 {
		path := fmt.Sprintf("workspaces/w%05d", i)
		changes = append(changes,
			cfvtree.Change{Path: path, Name: cfvtree.KeyHash, Value: cfvtree.TextValue(fmt.Sprintf("%064x", i))},
			cfvtree.Change{Path: path, Name: cfvtree.RequestsPerSecond, Value: cfvtree.IntValue(5)})
	}
	_, err := s.Propose(t.Context(), Proposal{Changes: changes})
	assert.NilError(t, err)
	largest := 0
	for key, kv := range kv.keys {
		assert.Assert(t, len(kv.Value) <= 1<<20, key)
		largest = max(largest, len(kv.Value))
	}
	before := kv.calls
	_, err = s.Propose(t.Context(), Proposal{Changes: setInt("workspaces/w00007", cfvtree.RequestsPerSecond, 6)})
	assert.NilError(t, err)
	assert.Equal(t, kv.calls-before, 4, "read the head, write a piece and the history, swap the head")
	t.Logf("largest value %d bytes", largest)
}

func TestInvalidChangeIsRejected(t *testing.T) {
	tests := map[string]struct {
		document string
		want     string
	}{
		"unknown setting":      {`{"root": {"colour": 1}}`, "root: colour: no such setting"},
		"wrong level":          {`{"workspaces/w": {"address": "x"}}`, "workspaces/w: address: not allowed at level workspace"},
		"wrong type":           {`{"root": {"coldSlots": "two"}}`, "root: coldSlots: want integer, got text"},
		"out of range":         {`{"root": {"coldSlots": 0}}`, "root: coldSlots: want 1 to 10000, got 0"},
		"fraction":             {`{"root": {"coldSlots": 1.5}}`, "want an integer, got 1.5"},
		"unknown path":         {`{"planets/x": {}}`, `path "planets/x"`},
		"cold above warm":      {`{"root": {"coldSlots": 9, "warmSlots": 3}}`, "coldSlots 9 is above warmSlots 3"},
		"endpoint w/o service": {`{"regions/r/d/e": {"address": "1.2.3.4:5"}}`, "regions/r/d/e: service: missing"},
		"service unknown":      {`{"regions/r/d/e": {"address": "1.2.3.4:5", "service": "x"}}`, `no service "x"`},
		"same key twice":       {`{"workspaces/a": {"keyHash": "h"}, "workspaces/b": {"keyHash": "h"}}`, "same key as workspaces/a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			changes, err := cfvtree.DecodeChanges([]byte(tt.document))
			if err == nil {
				s := newStore(newFakeKeyValue(), nil)
				_, err = s.Propose(t.Context(), Proposal{Changes: changes})
				assert.Equal(t, s.Revision(), uint64(0))
			}
			assert.Assert(t, err != nil && strings.Contains(err.Error(), tt.want), "%v", err)
		})
	}
}

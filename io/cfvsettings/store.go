// Package cfvsettings keeps the settings tree of a node up to date from the key-value store and
// from peers, and commits changes. The revision of a node never decreases.
package cfvsettings

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvpeer"
)

// Keys of the settings in the key-value store.
const (
	headKey       = "coltsfootvalve/settings/head"
	piecePrefix   = "coltsfootvalve/settings/pieces/"
	historyPrefix = "coltsfootvalve/settings/history/"
)

// watchRetryPause is the pause before a watch that ended is reopened.
const watchRetryPause = 500 * time.Millisecond

// KeyValue holds the operations of the key-value store that a Store uses.
type KeyValue struct {
	Get    func(ctx context.Context, key string) (value []byte, revision int64, err error)
	Swap   func(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Put    func(ctx context.Context, key string, value []byte, lease int64) error
	Delete func(ctx context.Context, key string) error
	Watch  func(ctx context.Context, key string, changed func()) error
}

// Config configures a Store. Tests replace its functions.
type Config struct {
	KeyValue KeyValue
	Fetch    func(ctx context.Context, address string, f cfvpeer.FetchSettings) (cfvpeer.Settings, error)
	OnApply  func(*cfvcatalog.Catalog)
	Sleep    func(ctx context.Context, d time.Duration) bool // defaults to cfvclock.Sleep
	Log      cfvlog.Logger
	Metrics  *cfvmetric.Registry
}

// Store holds the current settings of a node.
type Store struct {
	cfg     Config
	current atomic.Pointer[snapshot]

	mu       sync.Mutex // guards fetching and serializes install
	fetching bool
}

// snapshot is one revision of the settings, with the encoded head and pieces to send to peers.
type snapshot struct {
	head    cfvtree.Head
	encoded []byte
	pieces  map[string][]byte
	tree    cfvtree.Tree
	catalog *cfvcatalog.Catalog
	expired []string // pieces that can be deleted once the snapshot is committed
}

// New returns a Store with an empty tree at revision 0.
func New(cfg Config) *Store {
	if cfg.Sleep == nil {
		cfg.Sleep = cfvclock.Sleep
	}
	s := &Store{cfg: cfg}
	s.current.Store(&snapshot{
		pieces:  make(map[string][]byte),
		catalog: cfvcatalog.New(0, cfvtree.Tree{}),
	})
	return s
}

// Catalog returns the catalog of the current settings.
func (s *Store) Catalog() *cfvcatalog.Catalog {
	return s.current.Load().catalog
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	return s.current.Load().head.Revision
}

// Run watches the head in the key-value store and applies new revisions until ctx is done.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.cfg.KeyValue.Watch(ctx, headKey, func() { s.refresh(ctx) })
		if ctx.Err() != nil {
			return
		}
		s.cfg.Metrics.Count("settings.watchEnded", 1)
		s.cfg.Log.Debug("The watch on the settings ended: %v.", err)
		s.cfg.Sleep(ctx, watchRetryPause)
	}
}

// refresh reads the head from the key-value store and applies it if it is newer.
func (s *Store) refresh(ctx context.Context) {
	data, _, err := s.cfg.KeyValue.Get(ctx, headKey)
	if err != nil || len(data) == 0 {
		return
	}
	if err := s.applyHead(ctx, data, s.readPiece); err != nil {
		s.cfg.Metrics.Count("settings.applyFailed", 1)
		s.cfg.Log.Warn("A new revision of the settings can't be applied: %v.", err)
	}
}

// readPiece reads a piece from the key-value store.
func (s *Store) readPiece(ctx context.Context, name string) ([]byte, error) {
	data, _, err := s.cfg.KeyValue.Get(ctx, piecePrefix+name)
	if err == nil && len(data) == 0 {
		err = fmt.Errorf("settings piece %s: not found", name)
	}
	return data, err
}

// applyHead applies a head if it is newer than the current one. It calls read for each piece
// that the current snapshot lacks.
func (s *Store) applyHead(ctx context.Context, data []byte, read func(context.Context, string) ([]byte, error)) error {
	head, err := cfvtree.DecodeHead(data)
	if err != nil {
		return err
	}
	if head.Revision <= s.Revision() {
		return nil
	}
	current := s.current.Load()
	next := &snapshot{head: head, encoded: data, pieces: make(map[string][]byte, len(head.Pieces))}
	next.tree = current.tree
	for i, name := range head.Pieces {
		piece, ok := current.pieces[name]
		if !ok {
			if piece, err = read(ctx, name); err != nil {
				return err
			}
		}
		next.pieces[name] = piece
		if current.head.Revision > 0 && current.head.Pieces[i] == name {
			continue
		}
		if next.tree, err = next.tree.WithPiece(i, piece); err != nil {
			return err
		}
	}
	next.catalog = cfvcatalog.New(head.Revision, next.tree)
	s.install(next)
	return nil
}

// install makes next the current snapshot unless the current one is at least as new.
func (s *Store) install(next *snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.head.Revision <= s.Revision() {
		return
	}
	s.current.Store(next)
	s.cfg.Metrics.Gauge("settings.revision", int64(next.head.Revision))
	s.cfg.Log.Info("Settings revision %d is in force.", next.head.Revision)
	if s.cfg.OnApply != nil {
		s.cfg.OnApply(next.catalog)
	}
}

// ObservePeerRevision records that the peer at address has the given revision. If it is newer,
// the settings are fetched from the peer in the background, one fetch at a time.
func (s *Store) ObservePeerRevision(ctx context.Context, address string, revision uint64) {
	if revision <= s.Revision() || !s.startFetch() {
		return
	}
	go func() {
		defer s.endFetch()
		if err := s.fetch(ctx, address); err != nil {
			s.cfg.Metrics.Count("settings.fetchFailed", 1)
			s.cfg.Log.Debug("Settings can't be fetched from peer %s: %v.", address, err)
		}
	}()
}

// startFetch reports whether a fetch may start, and if so marks one as running.
func (s *Store) startFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching {
		return false
	}
	s.fetching = true
	return true
}

func (s *Store) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
}

// fetchTimeout limits one fetch from a peer.
const fetchTimeout = 5 * time.Second

// fetch requests newer settings from a peer and applies them.
func (s *Store) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current := s.current.Load()
	req := cfvpeer.FetchSettings{Revision: current.head.Revision, KnownPieces: current.head.Pieces}
	got, err := s.cfg.Fetch(ctx, address, req)
	if err != nil || len(got.Head) == 0 {
		return err
	}
	byName := make(map[string][]byte)
	head, err := cfvtree.DecodeHead(got.Head)
	if err != nil {
		return err
	}
	i := 0
	for _, name := range head.Pieces {
		if _, ok := current.pieces[name]; ok {
			continue
		}
		if i >= len(got.Pieces) {
			return fmt.Errorf("settings piece %s: not sent", name)
		}
		byName[name] = got.Pieces[i]
		i++
	}
	return s.applyHead(ctx, got.Head, func(_ context.Context, name string) ([]byte, error) {
		if err := cfvtree.CheckPiece(name, byName[name]); err != nil {
			return nil, err
		}
		return byName[name], nil
	})
}

// HandleFetch responds to a peer's request for newer settings with the head and the pieces
// that the peer lacks, in the order of the head.
func (s *Store) HandleFetch(f cfvpeer.FetchSettings) cfvpeer.Settings {
	current := s.current.Load()
	if current.head.Revision <= f.Revision {
		return cfvpeer.Settings{}
	}
	has := make(map[string]bool, len(f.KnownPieces))
	for _, name := range f.KnownPieces {
		has[name] = true
	}
	out := cfvpeer.Settings{Head: current.encoded}
	for _, name := range current.head.Pieces {
		if !has[name] {
			out.Pieces = append(out.Pieces, current.pieces[name])
		}
	}
	return out
}

// Package cfvsettings keeps the settings tree of a node in step with the key-value
// service and the peers, and writes accepted changes. A revision never goes back.
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

// Keys of the settings in the key-value service.
const (
	headKey       = "coltsfootvalve/settings/head"
	piecePrefix   = "coltsfootvalve/settings/pieces/"
	historyPrefix = "coltsfootvalve/settings/history/"
)

// retryWatch is the pause before a watch that ended is opened again.
const watchRetryPause = 500 * time.Millisecond

// KeyValue is the part of the key-value service that the store needs.
type KeyValue struct {
	Get    func(ctx context.Context, key string) (value []byte, revision int64, err error)
	Swap   func(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
	Put    func(ctx context.Context, key string, value []byte, lease int64) error
	Delete func(ctx context.Context, key string) error
	Watch  func(ctx context.Context, key string, changed func()) error
}

// Config configures a store. The functions are its seams.
type Config struct {
	KeyValue KeyValue
	Fetch    func(ctx context.Context, address string, f cfvpeer.FetchSettings) (cfvpeer.Settings, error)
	OnApply  func(*cfvcatalog.Catalog)
	Sleep    func(ctx context.Context, d time.Duration) bool // nil sleeps on the clock
	Log      cfvlog.Logger
	Metrics  *cfvmetric.Registry
}

// Store holds the settings in force at a node.
type Store struct {
	cfg     Config
	current atomic.Pointer[snapshot]

	mu       sync.Mutex // guards what follows, and application in order
	fetching bool
}

// snapshot is one revision with everything that a peer may ask for.
type snapshot struct {
	head    cfvtree.Head
	encoded []byte
	pieces  map[string][]byte
	tree    cfvtree.Tree
	catalog *cfvcatalog.Catalog
	expired []string // pieces that can be removed once this is accepted
}

// New returns a store with an empty tree at revision zero.
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

// Catalog returns the settings in force.
func (s *Store) Catalog() *cfvcatalog.Catalog {
	return s.current.Load().catalog
}

// Revision returns the revision in force.
func (s *Store) Revision() uint64 {
	return s.current.Load().head.Revision
}

// Run watches the head until the context ends.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.cfg.KeyValue.Watch(ctx, headKey, func() { s.refresh(ctx) })
		if ctx.Err() != nil {
			return
		}
		s.cfg.Metrics.Count("settings.watchEnded", 1)
		s.cfg.Log.Debug("The watch ended: %v.", err)
		s.cfg.Sleep(ctx, watchRetryPause)
	}
}

// refresh reads the head and applies it if it is newer.
func (s *Store) refresh(ctx context.Context) {
	data, _, err := s.cfg.KeyValue.Get(ctx, headKey)
	if err != nil || len(data) == 0 {
		return
	}
	if err := s.applyHead(ctx, data, s.readPiece); err != nil {
		s.cfg.Metrics.Count("settings.applyFailed", 1)
		s.cfg.Log.Warn("A new head can't be applied: %v.", err)
	}
}

func (s *Store) readPiece(ctx context.Context, name string) ([]byte, error) {
	data, _, err := s.cfg.KeyValue.Get(ctx, piecePrefix+name)
	if err == nil && len(data) == 0 {
		err = fmt.Errorf("settings piece %s: not found", name)
	}
	return data, err
}

// applyHead puts a newer head in force; read returns the pieces that are not known.
func (s *Store) applyHead(ctx context.Context, data []byte, read func(context.Context, string) ([]byte, error)) error {
	head, err := cfvtree.DecodeHead(data)
	if err != nil {
		return err
	}
	if head.Revision <= s.Revision() {
		return nil
	}
	now := s.current.Load()
	next := &snapshot{head: head, encoded: data, pieces: make(map[string][]byte, len(head.Pieces))}
	next.tree = now.tree
	for i, name := range head.Pieces {
		piece, ok := now.pieces[name]
		if !ok {
			if piece, err = read(ctx, name); err != nil {
				return err
			}
		}
		next.pieces[name] = piece
		if now.head.Revision > 0 && now.head.Pieces[i] == name {
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

// install puts a snapshot in force unless a newer one is.
func (s *Store) install(next *snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.head.Revision <= s.Revision() {
		return
	}
	s.current.Store(next)
	s.cfg.Metrics.Gauge("settings.revision", int64(next.head.Revision))
	s.cfg.Log.Info("Revision %d is in force.", next.head.Revision)
	if s.cfg.OnApply != nil {
		s.cfg.OnApply(next.catalog)
	}
}

// HeardOf says that a peer has a revision in force; a newer one is fetched from it.
func (s *Store) ObservePeerRevision(ctx context.Context, address string, revision uint64) {
	if revision <= s.Revision() || !s.startFetch() {
		return
	}
	go func() {
		defer s.endFetch()
		if err := s.fetch(ctx, address); err != nil {
			s.cfg.Metrics.Count("settings.fetchFailed", 1)
			s.cfg.Log.Debug("Settings of %s can't be fetched: %v.", address, err)
		}
	}()
}

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

// fetchTimeout bounds one fetch from a peer.
const fetchTimeout = 5 * time.Second

func (s *Store) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	now := s.current.Load()
	req := cfvpeer.FetchSettings{Revision: now.head.Revision, KnownPieces: now.head.Pieces}
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
		if _, ok := now.pieces[name]; ok {
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

// HandleFetch answers a peer that may have older settings: the head, and the pieces that
// the peer lacks in the head's order.
func (s *Store) HandleFetch(f cfvpeer.FetchSettings) cfvpeer.Settings {
	now := s.current.Load()
	if now.head.Revision <= f.Revision {
		return cfvpeer.Settings{}
	}
	has := make(map[string]bool, len(f.KnownPieces))
	for _, name := range f.KnownPieces {
		has[name] = true
	}
	out := cfvpeer.Settings{Head: now.encoded}
	for _, name := range now.head.Pieces {
		if !has[name] {
			out.Pieces = append(out.Pieces, now.pieces[name])
		}
	}
	return out
}

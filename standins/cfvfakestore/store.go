// Package cfvfakestore is a stand-in for a store VM. It holds cache blocks in a memory tier and a
// disk tier behind a network link of limited speed. Blocks are committed with a manifest and read
// by generation.
package cfvfakestore

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/standins/cfvfault"
)

// maxBlockBytes is the largest block that a store accepts.
const maxBlockBytes = 1 << 20

// Config configures a store VM.
type Config struct {
	MemoryBlocks int           // capacity of the memory tier, which is read without delay
	DiskBlocks   int           // capacity of the disk tier, which holds the blocks that do not fit into memory
	DiskDelay    time.Duration // added to the read time of a block on disk
	BlockTime    time.Duration // transfer time of one block on the link
}

// Stats holds the counters of a store VM.
type Stats struct {
	Held     int           `json:"held"`
	Reads    int           `json:"reads"`
	Refused  int           `json:"refused"`
	Writes   int           `json:"writes"`
	Rejected int           `json:"rejected"` // writes and commits
	Evicted  int           `json:"evicted"`
	LinkBusy time.Duration `json:"linkBusy"`
}

// Store is a fake store VM. It is safe for concurrent use.
type Store struct {
	cfg    Config
	faults cfvfault.Injector
	link   sync.Mutex // transfers one block at a time

	mu         sync.Mutex
	generation uint64
	staged     map[uint64][]byte
	blocks     map[string]*block
	clock      uint64
	stats      Stats
}

type block struct {
	manifest cfvopenai.Manifest
	data     []byte
	lastUsed uint64
}

// New returns an empty store VM.
func New(cfg Config) *Store {
	return &Store{cfg: cfg, staged: make(map[uint64][]byte), blocks: make(map[string]*block)}
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lookup", s.serveLookup)
	mux.HandleFunc("PUT /blocks/{key}", s.serveWrite)
	mux.HandleFunc("POST /manifests", s.serveCommit)
	mux.HandleFunc("GET /blocks/{key}", s.serveRead)
	mux.Handle("POST /fault", &s.faults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		cfvhttp.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

// SetFault injects a fault. It supports Outage, Slow, Truncate and Full.
func (s *Store) SetFault(f cfvfault.Fault) { s.faults.Set(f) }

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Held = len(s.blocks)
	return out
}

// Clear removes all blocks, as a replacement of the VM does.
func (s *Store) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks = make(map[string]*block)
	s.staged = make(map[uint64][]byte)
}

// OverwriteBlocks replaces all blocks by other data under the same keys, as a store does that
// reuses space while readers hold old manifests.
func (s *Store) OverwriteBlocks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, b := range s.blocks {
		s.generation++
		data := []byte("other data of another block")
		s.blocks[key] = &block{data: data, lastUsed: b.lastUsed, manifest: cfvopenai.Manifest{
			Key: key, Generation: s.generation, Length: len(data), Checksum: Checksum(data),
		}}
	}
}

// Checksum returns the checksum of a block, as it is given in its manifest.
func Checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *Store) serveLookup(w http.ResponseWriter, r *http.Request) {
	f := s.faults.FaultFor(r.URL.Path)
	if f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	time.Sleep(f.Delay())
	var req cfvopenai.LookupRequest
	if !cfvhttp.ReadJSON(w, r, 1<<20, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var resp cfvopenai.LookupResponse
	for _, key := range req.Keys {
		if b, ok := s.blocks[key]; ok {
			resp.Manifests = append(resp.Manifests, b.manifest)
		}
	}
	cfvhttp.WriteJSON(w, http.StatusOK, resp)
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	f := s.faults.FaultFor(r.URL.Path)
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlockBytes))
	if err != nil || f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	if f.Mode == cfvfault.Full {
		s.countRejected()
		cfvhttp.WriteJSON(w, http.StatusInsufficientStorage, map[string]string{"error": "full"})
		return
	}
	s.occupyLink(f)
	if f.Mode == cfvfault.Truncate {
		data = data[:len(data)/2]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.staged[s.generation] = data
	s.stats.Writes++
	cfvhttp.WriteJSON(w, http.StatusOK, cfvopenai.StageResponse{Generation: s.generation})
}

// serveCommit makes a staged block readable if it matches the manifest.
func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var m cfvopenai.Manifest
	if !cfvhttp.ReadJSON(w, r, 1<<16, &m) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.staged[m.Generation]
	delete(s.staged, m.Generation)
	if !ok || len(data) != m.Length || Checksum(data) != m.Checksum {
		s.stats.Rejected++
		cfvhttp.WriteJSON(w, http.StatusConflict, map[string]string{"error": "not the block that was written"})
		return
	}
	s.clock++
	s.blocks[m.Key] = &block{m, data, s.clock}
	s.evict()
}

// countRejected counts a rejected write or commit.
func (s *Store) countRejected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Rejected++
}

// evict removes the least recently used blocks until the rest fits into both tiers. The caller
// holds the lock.
func (s *Store) evict() {
	for len(s.blocks) > s.cfg.MemoryBlocks+s.cfg.DiskBlocks {
		var oldest string
		for key, b := range s.blocks {
			if oldest == "" || b.lastUsed < s.blocks[oldest].lastUsed {
				oldest = key
			}
		}
		delete(s.blocks, oldest)
		s.stats.Evicted++
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	f := s.faults.FaultFor(r.URL.Path)
	if f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	generation, _ := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	data, onDisk, ok := s.readBlock(r.PathValue("key"), generation)
	if !ok {
		cfvhttp.WriteJSON(w, http.StatusGone, map[string]string{"error": "the block is gone"})
		return
	}
	if onDisk {
		time.Sleep(s.cfg.DiskDelay)
	}
	s.occupyLink(f)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Mode == cfvfault.Truncate {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// readBlock returns the data of a block and whether it is on disk, if the block still has the
// given generation.
func (s *Store) readBlock(key string, generation uint64) (data []byte, onDisk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[key]
	if !ok || b.manifest.Generation != generation {
		s.stats.Refused++
		return nil, false, false
	}
	newer := 0
	for _, other := range s.blocks {
		if other.lastUsed > b.lastUsed {
			newer++
		}
	}
	s.clock++
	b.lastUsed = s.clock
	s.stats.Reads++
	return b.data, newer >= s.cfg.MemoryBlocks, true
}

// occupyLink occupies the link for the transfer time of one block.
func (s *Store) occupyLink(f cfvfault.Fault) {
	d := s.cfg.BlockTime + f.Delay()
	s.link.Lock()
	time.Sleep(d)
	s.link.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LinkBusy += d
}

package cfvfakeengine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// BlockBytes is the length of one cached block of a prompt: 2000 tokens.
const BlockBytes = 2000 * bytesPerToken

// cache is a prefix cache of a limited number of whole blocks, with LRU eviction.
type cache struct {
	mu     sync.Mutex
	blocks *lru.Cache[string, struct{}]
}

func newCache(n int) *cache {
	blocks, err := lru.New[string, struct{}](max(n, 1))
	if err != nil {
		panic(err) // the size is positive
	}
	return &cache{blocks: blocks}
}

func (c *cache) clear() { c.blocks.Purge() }

// blockKeys returns the keys of the prompt's whole blocks. Each key also depends on all text
// before its block.
func blockKeys(version, salt, text string) []string {
	var out []string
	parent := sha256.Sum256([]byte(version + "\x00" + salt))
	for len(text) >= BlockBytes {
		parent = sha256.Sum256(append(parent[:], text[:BlockBytes]...))
		out = append(out, hex.EncodeToString(parent[:16]))
		text = text[BlockBytes:]
	}
	return out
}

// match returns the number of leading blocks that are cached.
func (c *cache) match(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks.Contains(keys[n]) {
		n++
	}
	return n
}

// add caches the blocks.
func (c *cache) add(keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		c.blocks.Add(k, struct{}{})
	}
}

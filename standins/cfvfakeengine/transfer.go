package cfvfakeengine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvopenai"
)

// Limits of transfers between an engine and a store VM.
const (
	storeDialTimeout = time.Second
	maxIdlePerStore  = 16
	importTimeout    = 2 * time.Second
	exportTimeout    = 5 * time.Second
)

// maxBlockBytes is the largest block that an engine reads.
const maxBlockBytes = 1 << 20

// blockData returns the content of a block. It is different for every key, so that a wrong
// block is detected.
func blockData(blockKey string) []byte {
	return bytes.Repeat([]byte(blockKey), 16)
}

// importBlocks imports the blocks that follow the cached ones, in order, and returns the number
// of leading blocks that are cached afterwards.
func (e *Engine) importBlocks(ctx context.Context, r *activeRequest, keys []string, cached int) int {
	if r.request.Transfer == nil {
		return cached
	}
	byIndex := make(map[int]cfvopenai.ImportBlock)
	for _, b := range r.request.Transfer.Import {
		byIndex[b.Index] = b
	}
	for cached < len(keys) {
		b, ok := byIndex[cached]
		if !ok || !e.importBlock(ctx, b, keys[cached]) {
			break
		}
		cached++
		r.importedBlocks++
	}
	return cached
}

// importBlock reads one block and accepts it only if it matches its manifest.
func (e *Engine) importBlock(ctx context.Context, b cfvopenai.ImportBlock, blockKey string) bool {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/blocks/%s?generation=%d", b.Store, b.Key, b.Generation)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := e.stores.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBlockBytes))
	sum := sha256.Sum256(data)
	valid := err == nil && resp.StatusCode == http.StatusOK && len(data) == b.Length && hex.EncodeToString(sum[:]) == b.Checksum
	e.mu.Lock()
	defer e.mu.Unlock()
	if !valid {
		e.stats.ImportsRefused++
		return false
	}
	e.stats.Imported++
	if !bytes.Equal(data, blockData(blockKey)) {
		e.stats.WrongBlocks++
	}
	return true
}

// exportBlocks writes the requested blocks to their stores and commits each of them.
func (e *Engine) exportBlocks(t *cfvopenai.TransferParams, keys []string) {
	if t == nil {
		return
	}
	for _, b := range t.Export {
		if b.Index >= len(keys) {
			return
		}
		if err := e.exportBlock(b, keys[b.Index]); err != nil {
			return
		}
		e.mu.Lock()
		e.stats.Exported++
		e.mu.Unlock()
	}
}

// exportBlock stages one block at its store and commits it with a manifest.
func (e *Engine) exportBlock(b cfvopenai.ExportBlock, blockKey string) error {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	data := blockData(blockKey)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.Store+"/blocks/"+b.Key, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := e.stores.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var staged cfvopenai.StageResponse
	if err := json.NewDecoder(resp.Body).Decode(&staged); err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	m := cfvopenai.Manifest{Key: b.Key, Generation: staged.Generation, Length: len(data), Checksum: hex.EncodeToString(sum[:])}
	return cfvhttp.Call(ctx, e.stores, http.MethodPost, "http://"+b.Store+"/manifests", m, nil)
}

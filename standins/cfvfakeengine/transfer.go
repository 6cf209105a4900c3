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

// Times that an engine waits for a store VM.
const (
	importTimeout = 2 * time.Second
	exportTimeout = 5 * time.Second
)

// maxBlockBytes bounds a block that is read.
const maxBlockBytes = 1 << 20

// blockData returns what a block holds: it tells the block from every other one, so that
// a wrong block is seen.
func blockData(chainKey string) []byte {
	return bytes.Repeat([]byte(chainKey), 16)
}

// importBlocks reads the blocks that follow those in the cache, in order, and returns how
// many leading blocks are cached then.
func (e *Engine) importBlocks(ctx context.Context, r *activeRequest, keys []string, hit int) int {
	if r.request.Transfer == nil {
		return hit
	}
	byIndex := make(map[int]cfvopenai.ImportBlock)
	for _, b := range r.request.Transfer.Import {
		byIndex[b.Index] = b
	}
	for hit < len(keys) {
		b, ok := byIndex[hit]
		if !ok || !e.importBlock(ctx, b, keys[hit]) {
			break
		}
		hit++
		r.importedBlocks++
	}
	return hit
}

// importBlock reads one block and takes it only if it is what its manifest says.
func (e *Engine) importBlock(ctx context.Context, b cfvopenai.ImportBlock, chainKey string) bool {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/blocks/%s?generation=%d", b.Store, b.Key, b.Generation)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := storeClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBlockBytes))
	sum := sha256.Sum256(data)
	good := err == nil && resp.StatusCode == http.StatusOK && len(data) == b.Length && hex.EncodeToString(sum[:]) == b.Checksum
	e.mu.Lock()
	defer e.mu.Unlock()
	if !good {
		e.stats.ImportsRefused++
		return false
	}
	e.stats.Imported++
	if !bytes.Equal(data, blockData(chainKey)) {
		e.stats.WrongBlocks++
	}
	return true
}

var storeClient = cfvhttp.NewClient(time.Second, 16)

// exportBlocks writes the wanted blocks to their store and commits each.
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

func (e *Engine) exportBlock(b cfvopenai.ExportBlock, chainKey string) error {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	data := blockData(chainKey)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.Store+"/blocks/"+b.Key, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := storeClient.Do(req)
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
	return cfvhttp.Call(ctx, storeClient, http.MethodPost, "http://"+b.Store+"/manifests", m, nil)
}

package cfvfakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/standins/cfvfault"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the length of an answer whose request names none.
const defaultMaxTokens = 16

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		cfvfault.DropConnection()
	}
	req, err := cfvopenai.DecodeRequest(data)
	if err != nil {
		cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	f := e.fault.Take(r.URL.Path)
	if f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	model, version := cfvopenai.SplitVersion(req.Model)
	req.Model = model
	if version != "" && version != e.currentVersion() {
		cfvhttp.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "model not loaded"})
		return
	}
	run, ok := e.begin(r.Context(), req)
	if !ok {
		cfvfault.DropConnection()
	}
	defer run.cancel()
	defer e.end(run)
	run.id = r.Header.Get(cfvopenai.HeaderRequestID)
	run.resume, _ = strconv.Atoi(r.Header.Get(cfvopenai.HeaderResumeFrom))
	if f.Mode == cfvfault.Cross {
		run.id = "other-" + run.id
	}
	e.answer(w, run, f)
}

// answer prefills, then decodes as the request asks.
func (e *Engine) answer(w http.ResponseWriter, r *run, f cfvfault.Fault) {
	if !e.batch.enter(r.ctx, r.request.Priority) {
		cfvfault.DropConnection()
	}
	defer e.batch.leave()
	if !e.prefill(r, f) {
		e.dropped()
		cfvfault.DropConnection()
	}
	w.Header().Set(cfvopenai.HeaderRequestID, r.id)
	w.Header().Set(cfvopenai.HeaderBootID, r.bootID)
	w.Header().Set(cfvopenai.HeaderVersion, r.version)
	if e.isLeaving() {
		w.Header().Set(cfvopenai.HeaderLeaving, "true")
	}
	if f.Mode == cfvfault.Fail || e.versionFails(r) {
		cfvhttp.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": "engine fault"})
		return
	}
	defer func() { go e.exportBlocks(r.request.Transfer, r.keys) }()
	if r.request.Stream {
		e.stream(w, r, f)
		return
	}
	e.whole(w, r, f)
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Engine) currentVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *Engine) versionFails(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Vary.fails(r.version, e.served[r.version], e.stats.Running)
}

func (e *Engine) dropped() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

// prefill waits as long as the uncached part of the prompt costs.
func (e *Engine) prefill(r *run, f cfvfault.Fault) bool {
	text := r.request.PromptText()
	keys := chain(r.version, r.request.CacheSalt, text)
	hit := e.importBlocks(r.ctx, r, keys, e.cache.match(keys))
	r.keys = keys
	r.prompt = (len(text) + bytesPerToken - 1) / bytesPerToken
	r.cached = hit * BlockBytes / bytesPerToken
	cost := time.Duration(r.prompt-r.cached) * e.cfg.PrefillPerToken * time.Duration(r.factor)
	if !wait(r.ctx, cost+f.Delay()) {
		return false
	}
	e.cache.add(keys)
	e.events.add(keys[hit:])
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Prefilled += r.prompt - r.cached
	e.stats.Cached += r.cached
	return true
}

func wait(ctx context.Context, d time.Duration) bool {
	return ctx.Err() == nil && (d <= 0 || cfvclock.Sleep(ctx, d))
}

// Token returns the i-th token of the answer to a prompt, the same on every engine of a
// version.
func Token(version, prompt string, i int) string {
	sum := xxhash.Sum64String(version + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return fmt.Sprintf("w%03d ", sum%1000)
}

func (r *run) length() int {
	if r.request.MaxTokens > 0 {
		return r.request.MaxTokens
	}
	return defaultMaxTokens
}

func (r *run) usage() *cfvopenai.Usage {
	return &cfvopenai.Usage{
		PromptTokens:     r.prompt,
		CompletionTokens: r.length(),
		TotalTokens:      r.prompt + r.length(),
		Details: cfvopenai.UsageDetails{
			CachedTokens: r.cached, ImportedTokens: r.imported * BlockBytes / bytesPerToken,
		},
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *run, f cfvfault.Fault) {
	var b strings.Builder
	for i := range r.length() {
		if !wait(r.ctx, e.cfg.DecodePerToken*time.Duration(r.factor)) {
			e.dropped()
			cfvfault.DropConnection()
		}
		b.WriteString(Token(r.version, r.request.PromptText(), i))
	}
	if f.Mode == cfvfault.None {
		e.end(r)
	}
	stop := "stop"
	c := cfvopenai.Choice{FinishReason: &stop}
	if len(r.request.Messages) > 0 {
		c.Message = &cfvopenai.Message{Role: "assistant", Content: b.String()}
	} else {
		c.Text = b.String()
	}
	data, err := json.Marshal(cfvopenai.Response{
		ID: r.id, Object: "chat.completion", Model: r.request.Model, Choices: []cfvopenai.Choice{c}, Usage: r.usage(),
	})
	if err != nil {
		cfvfault.DropConnection()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Mode == cfvfault.Truncate {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
	if f.Mode == cfvfault.Silent {
		<-r.ctx.Done()
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *run, f cfvfault.Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	n := r.length()
	for i := r.resume; i < n; i++ {
		if !wait(r.ctx, e.cfg.DecodePerToken*time.Duration(r.factor)) {
			e.dropped()
			cfvfault.DropConnection()
		}
		if i >= r.resume+(n-r.resume)/2 && e.breakOff(r, f) {
			cfvfault.DropConnection()
		}
		e.chunk(w, r, i)
	}
	e.end(r)
	stop := "stop"
	e.send(w, cfvopenai.Response{
		ID: r.id, Object: "chat.completion.chunk", Model: r.request.Model,
		Choices: []cfvopenai.Choice{{FinishReason: &stop}}, Usage: r.usage(),
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", cfvopenai.StreamEnd)
}

// breakOff applies a fault in the middle of a stream.
func (e *Engine) breakOff(r *run, f cfvfault.Fault) bool {
	switch f.Mode {
	case cfvfault.Silent:
		<-r.ctx.Done()
		return true
	case cfvfault.Truncate:
		return true
	}
	return false
}

func (e *Engine) chunk(w http.ResponseWriter, r *run, i int) {
	token := Token(r.version, r.request.PromptText(), i)
	c := cfvopenai.Choice{}
	if len(r.request.Messages) > 0 {
		c.Delta = &cfvopenai.Message{Role: "assistant", Content: token}
	} else {
		c.Text = token
	}
	e.send(w, cfvopenai.Response{
		ID: r.id, Object: "chat.completion.chunk", Model: r.request.Model, Offset: &i, Choices: []cfvopenai.Choice{c},
	})
}

func (e *Engine) send(w http.ResponseWriter, a cfvopenai.Response) {
	data, err := json.Marshal(a)
	if err != nil {
		cfvfault.DropConnection()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

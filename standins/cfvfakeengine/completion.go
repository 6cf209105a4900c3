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

// defaultMaxTokens is the length of a response whose request sets no limit.
const (
	defaultMaxTokens = 16
	dribbleInterval  = 100 * time.Millisecond
)

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
	f := e.faults.FaultFor(r.URL.Path)
	if f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	model, version := cfvopenai.SplitVersion(req.Model)
	req.Model = model
	if version != "" && version != e.currentVersion() {
		cfvhttp.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "model not loaded"})
		return
	}
	active, ok := e.begin(r.Context(), req)
	if !ok {
		cfvfault.DropConnection()
	}
	defer active.cancel()
	defer e.end(active)
	active.id = r.Header.Get(cfvopenai.HeaderRequestID)
	active.resumeFrom, _ = strconv.Atoi(r.Header.Get(cfvopenai.HeaderResumeFrom))
	if f.Mode == cfvfault.WrongRequestID {
		active.id = "other-" + active.id
	}
	e.respond(w, active, f)
}

// respond prefills the prompt, then decodes the response, as a stream if the request asks for
// one.
func (e *Engine) respond(w http.ResponseWriter, r *activeRequest, f cfvfault.Fault) {
	if !e.batch.acquire(r.ctx, r.request.Priority) {
		cfvfault.DropConnection()
	}
	defer e.batch.release()
	if !e.prefill(r, f) {
		e.countCancelled()
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
	e.respondWhole(w, r, f)
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

// versionFails reports whether the behaviour of its version makes the request fail.
func (e *Engine) versionFails(r *activeRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.VersionBehaviours.fails(r.version, e.served[r.version], e.stats.Running)
}

// countCancelled counts a request that was cancelled or ended by a restart.
func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

// prefill waits for the prefill time of the uncached part of the prompt. It returns false if the
// request ends first.
func (e *Engine) prefill(r *activeRequest, f cfvfault.Fault) bool {
	text := r.request.PromptText()
	keys := blockKeys(r.version, r.request.CacheSalt, text)
	cachedBlocks := e.importBlocks(r.ctx, r, keys, e.cache.match(keys))
	r.keys = keys
	r.promptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	r.cachedTokens = cachedBlocks * BlockBytes / bytesPerToken
	prefillTime := time.Duration(r.promptTokens-r.cachedTokens) * e.cfg.PrefillPerToken * time.Duration(r.slowdown)
	if !sleep(r.ctx, prefillTime+f.Delay()) {
		return false
	}
	e.cache.add(keys)
	e.events.add(keys[cachedBlocks:])
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Prefilled += r.promptTokens - r.cachedTokens
	e.stats.Cached += r.cachedTokens
	return true
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return ctx.Err() == nil && (d <= 0 || cfvclock.Sleep(ctx, d))
}

// Token returns the i-th token of the response to a prompt. It is the same on every engine that
// runs the version.
func Token(version, prompt string, i int) string {
	sum := xxhash.Sum64String(version + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return fmt.Sprintf("w%03d ", sum%1000)
}

// maxTokens returns the number of tokens of the response.
func (r *activeRequest) maxTokens() int {
	if r.request.MaxTokens > 0 {
		return r.request.MaxTokens
	}
	return defaultMaxTokens
}

func (r *activeRequest) usage() *cfvopenai.Usage {
	return &cfvopenai.Usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: r.maxTokens(),
		TotalTokens:      r.promptTokens + r.maxTokens(),
		Details: cfvopenai.UsageDetails{
			CachedTokens: r.cachedTokens, ImportedTokens: r.importedBlocks * BlockBytes / bytesPerToken,
		},
	}
}

// respondWhole decodes the response and sends it as one JSON document.
func (e *Engine) respondWhole(w http.ResponseWriter, r *activeRequest, f cfvfault.Fault) {
	var b strings.Builder
	for i := range r.maxTokens() {
		if !sleep(r.ctx, e.cfg.DecodePerToken*time.Duration(r.slowdown)) {
			e.countCancelled()
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

// stream decodes the response and sends each token as a server-sent event, from the offset at
// which the request resumes.
func (e *Engine) stream(w http.ResponseWriter, r *activeRequest, f cfvfault.Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	n := r.maxTokens()
	for i := r.resumeFrom; i < n; i++ {
		if !sleep(r.ctx, e.cfg.DecodePerToken*time.Duration(r.slowdown)) {
			e.countCancelled()
			cfvfault.DropConnection()
		}
		if i >= r.resumeFrom+(n-r.resumeFrom)/2 && interruptStream(w, r, f) {
			cfvfault.DropConnection()
		}
		e.sendChunk(w, r, i)
	}
	e.end(r)
	stop := "stop"
	e.sendEvent(w, cfvopenai.Response{
		ID: r.id, Object: "chat.completion.chunk", Model: r.request.Model,
		Choices: []cfvopenai.Choice{{FinishReason: &stop}}, Usage: r.usage(),
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", cfvopenai.StreamEnd)
}

// interruptStream applies a fault in the middle of a stream. It reports whether the connection
// is to be dropped.
func interruptStream(w http.ResponseWriter, r *activeRequest, f cfvfault.Fault) bool {
	switch f.Mode {
	case cfvfault.Silent:
		<-r.ctx.Done()
		return true
	case cfvfault.Dribble:
		dribble(w, r)
		return true
	case cfvfault.Truncate:
		return true
	}
	return false
}

// dribble sends a byte now and then, which completes no event, until the request is cancelled.
func dribble(w http.ResponseWriter, r *activeRequest) {
	for sleep(r.ctx, dribbleInterval) {
		_, _ = io.WriteString(w, ":")
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

func (e *Engine) sendChunk(w http.ResponseWriter, r *activeRequest, i int) {
	token := Token(r.version, r.request.PromptText(), i)
	c := cfvopenai.Choice{}
	if len(r.request.Messages) > 0 {
		c.Delta = &cfvopenai.Message{Role: "assistant", Content: token}
	} else {
		c.Text = token
	}
	e.sendEvent(w, cfvopenai.Response{
		ID: r.id, Object: "chat.completion.chunk", Model: r.request.Model, Offset: &i, Choices: []cfvopenai.Choice{c},
	})
}

func (e *Engine) sendEvent(w http.ResponseWriter, resp cfvopenai.Response) {
	data, err := json.Marshal(resp)
	if err != nil {
		cfvfault.DropConnection()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

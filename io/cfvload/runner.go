// Package cfvload generates a small seeded load of completion requests and measures the time to
// first token, the time between tokens and the refused requests by reason.
package cfvload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootvalve/io/cfvopenai"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config configures a load.
type Config struct {
	Entries        []string      // caller addresses of entries, used in turn
	Keys           []string      // API keys of workspaces, used in turn
	Model          string        // name of the service
	Rate           float64       // mean requests per second; the intervals are exponentially distributed
	Duration       time.Duration // duration of the load
	ReturningShare float64       // share of long prompts that were sent before
	PromptBytes    int           // size of a long prompt; the others are short lookups
	LongShare      float64       // share of requests with a long prompt
	MaxTokens      int           // tokens to generate per response
	Seed           uint64
	Progress       func(Sample) // called each second; may be nil
}

// Sample is the result of one second of a load.
type Sample struct {
	Second  int
	Served  int
	Refused int
	P95     time.Duration // p95 time to first token
}

// Result is the result of a load.
type Result struct {
	Served              int
	Refused             map[string]int          // by reason; "broken" for incomplete responses
	FirstToken          *hdrhistogram.Histogram // time to first token
	ReturningFirstToken *hdrhistogram.Histogram // time to first token of returning prompts
	BetweenTokens       *hdrhistogram.Histogram // time between tokens
	PromptTokens        int                     // prompt tokens of returning prompts
	CachedTokens        int                     // prompt tokens of returning prompts that were read from a cache
	Samples             []Sample
}

// Range of the histograms in microseconds, and their precision in decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// runner sends the requests of a load and collects the results.
type runner struct {
	cfg  Config
	http *http.Client

	mu            sync.Mutex
	result        Result
	currentSecond Sample
	firstTokens   *hdrhistogram.Histogram // times to first token in the current second
}

// Run sends the load, waits for all responses and returns the result.
func Run(ctx context.Context, cfg Config) Result {
	r := &runner{cfg: cfg, firstTokens: newHistogram(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	r.result = Result{Refused: make(map[string]int), FirstToken: newHistogram(), ReturningFirstToken: newHistogram(), BetweenTokens: newHistogram()}
	done := make(chan struct{})
	go r.sampleEverySecond(done)
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(cfg.Seed, 17))
	prompts := 0
	start := time.Now()
	for at, i := time.Duration(0), 0; at < cfg.Duration && ctx.Err() == nil; i++ {
		at += time.Duration(random.ExpFloat64() / cfg.Rate * float64(time.Second))
		q := query{index: i, prompt: -1}
		if random.Float64() < cfg.LongShare {
			q.prompt, q.returning = prompts, false
			if prompts > 0 && random.Float64() < cfg.ReturningShare {
				q.prompt, q.returning = random.IntN(prompts), true
			} else {
				prompts++
			}
		}
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() { r.send(ctx, q) })
	}
	wg.Wait()
	close(done)
	return r.result
}

// query is one request of the load.
type query struct {
	index     int
	prompt    int // index of the long prompt; -1 for a short lookup
	returning bool
}

func (r *runner) sampleEverySecond(done <-chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.recordSecond()
		}
	}
}

func (r *runner) recordSecond() {
	r.mu.Lock()
	s := r.currentSecond
	s.Second = len(r.result.Samples)
	s.P95 = time.Duration(r.firstTokens.ValueAtQuantile(95)) * time.Microsecond
	r.result.Samples = append(r.result.Samples, s)
	r.currentSecond = Sample{}
	r.firstTokens.Reset()
	r.mu.Unlock()
	if r.cfg.Progress != nil {
		r.cfg.Progress(s)
	}
}

// promptText returns the prompt of a request. Requests with the same prompt index have the same
// text.
func (r *runner) promptText(q query) string {
	if q.prompt < 0 {
		return fmt.Sprintf("lookup %d of load %d", q.index, r.cfg.Seed)
	}
	line := fmt.Sprintf("norm %d of load %d; ", q.prompt, r.cfg.Seed)
	return strings.Repeat(line, r.cfg.PromptBytes/len(line)+1)
}

func (r *runner) send(ctx context.Context, q query) {
	body, err := json.Marshal(cfvopenai.Request{
		Model: r.cfg.Model, Stream: true, MaxTokens: r.cfg.MaxTokens,
		Messages: []cfvopenai.Message{{Role: "user", Content: r.promptText(q)}},
	})
	if err != nil {
		return
	}
	url := "http://" + r.cfg.Entries[q.index%len(r.cfg.Entries)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.cfg.Keys[q.index%len(r.cfg.Keys)])
	start := time.Now()
	resp, err := r.http.Do(req)
	if err != nil {
		r.recordRefusal("unreachable")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.recordRefusal(reasonOf(resp.Body))
		return
	}
	r.readStream(q, start, resp.Body)
}

type errorJSON struct {
	Error struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

func reasonOf(body io.Reader) string {
	var e errorJSON
	if json.NewDecoder(body).Decode(&e) != nil || e.Error.Reason == "" {
		return "unknown"
	}
	return e.Error.Reason
}

func (r *runner) recordRefusal(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Refused[reason]++
	r.currentSecond.Refused++
}

// readStream reads a stream until its end and records the result.
func (r *runner) readStream(q query, start time.Time, body io.Reader) {
	events := cfvopenai.NewEventReader(body)
	var first time.Duration
	var usage cfvopenai.Usage
	last := start
	for {
		data, err := events.Next()
		if err != nil {
			r.recordRefusal("broken")
			return
		}
		if string(data) == cfvopenai.StreamEnd {
			r.recordServed(q, first, usage)
			return
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(start)
		} else {
			r.recordTokenGap(now.Sub(last))
		}
		last = now
		var chunk cfvopenai.Response
		if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
}

func (r *runner) recordTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.result.BetweenTokens.RecordValue(d.Microseconds())
}

func (r *runner) recordServed(q query, first time.Duration, u cfvopenai.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Served++
	r.currentSecond.Served++
	_ = r.result.FirstToken.RecordValue(first.Microseconds())
	_ = r.firstTokens.RecordValue(first.Microseconds())
	if q.returning {
		_ = r.result.ReturningFirstToken.RecordValue(first.Microseconds())
		r.result.PromptTokens += u.PromptTokens
		r.result.CachedTokens += u.Details.CachedTokens
	}
}

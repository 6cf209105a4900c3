// Package cfvload sends a small seeded load to entries as callers would, and measures the
// time to first token, the time between tokens, and refusals by reason.
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
	Entries        []string      // callers' addresses, used in turn
	Keys           []string      // workspace keys, used in turn
	Model          string        // service to ask
	Rate           float64       // requests a second
	Duration       time.Duration // of the load
	ReturningShare float64       // share of requests whose prompt was sent before
	PromptBytes    int           // of a long prompt; the others are short lookups
	LongShare      float64       // share of requests with a long prompt
	MaxTokens      int           // of each answer
	Seed           uint64
	Progress       func(Sample) // called each second; nil for no progress
}

// Sample is what one second of a load showed.
type Sample struct {
	Second  int
	Served  int
	Refused int
	P95     time.Duration // to first token
}

// Result is what a load showed.
type Result struct {
	Served              int
	Refused             map[string]int // by reason; "broken" for answers that did not end
	FirstToken          *hdrhistogram.Histogram
	ReturningFirstToken *hdrhistogram.Histogram // time to first token of returning prompts
	BetweenTokens       *hdrhistogram.Histogram // time between tokens
	PromptTokens        int                     // prompt tokens of returning prompts
	CachedTokens        int                     // of them not computed
	Samples             []Sample
}

// Bounds of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

// runner collects what requests showed.
type runner struct {
	cfg  Config
	http *http.Client

	mu     sync.Mutex
	result Result
	second Sample
	firsts *hdrhistogram.Histogram // of this second
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, cfg Config) Result {
	r := &runner{cfg: cfg, firsts: newHistogram(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	r.result = Result{Refused: make(map[string]int), FirstToken: newHistogram(), ReturningFirstToken: newHistogram(), BetweenTokens: newHistogram()}
	done := make(chan struct{})
	go r.sample(done)
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(cfg.Seed, 17))
	prompts := 0
	began := time.Now()
	for at, i := time.Duration(0), 0; at < cfg.Duration && ctx.Err() == nil; i++ {
		at += time.Duration(random.ExpFloat64() / cfg.Rate * float64(time.Second))
		q := query{n: i, prompt: -1}
		if random.Float64() < cfg.LongShare {
			q.prompt, q.returning = prompts, false
			if prompts > 0 && random.Float64() < cfg.ReturningShare {
				q.prompt, q.returning = random.IntN(prompts), true
			} else {
				prompts++
			}
		}
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() { r.send(ctx, q) })
	}
	wg.Wait()
	close(done)
	return r.result
}

// query is one request of the load.
type query struct {
	n         int
	prompt    int // -1 for a short lookup
	returning bool
}

func (r *runner) sample(done <-chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.closeSecond()
		}
	}
}

func (r *runner) closeSecond() {
	r.mu.Lock()
	s := r.second
	s.Second = len(r.result.Samples)
	s.P95 = time.Duration(r.firsts.ValueAtQuantile(95)) * time.Microsecond
	r.result.Samples = append(r.result.Samples, s)
	r.second = Sample{}
	r.firsts.Reset()
	r.mu.Unlock()
	if r.cfg.Progress != nil {
		r.cfg.Progress(s)
	}
}

// text returns a prompt that is the same whenever it returns.
func (r *runner) text(q query) string {
	if q.prompt < 0 {
		return fmt.Sprintf("lookup %d of load %d", q.n, r.cfg.Seed)
	}
	line := fmt.Sprintf("norm %d of load %d; ", q.prompt, r.cfg.Seed)
	return strings.Repeat(line, r.cfg.PromptBytes/len(line)+1)
}

func (r *runner) send(ctx context.Context, q query) {
	body, err := json.Marshal(cfvopenai.Request{
		Model: r.cfg.Model, Stream: true, MaxTokens: r.cfg.MaxTokens,
		Messages: []cfvopenai.Message{{Role: "user", Content: r.text(q)}},
	})
	if err != nil {
		return
	}
	url := "http://" + r.cfg.Entries[q.n%len(r.cfg.Entries)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.cfg.Keys[q.n%len(r.cfg.Keys)])
	began := time.Now()
	resp, err := r.http.Do(req)
	if err != nil {
		r.refused("unreachable")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.refused(reasonOf(resp.Body))
		return
	}
	r.read(q, began, resp.Body)
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

func (r *runner) refused(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Refused[reason]++
	r.second.Refused++
}

// read follows a stream to its end mark.
func (r *runner) read(q query, began time.Time, body io.Reader) {
	events := cfvopenai.NewEventReader(body)
	var first time.Duration
	var usage cfvopenai.Usage
	last := began
	for {
		data, err := events.Next()
		if err != nil {
			r.refused("broken")
			return
		}
		if string(data) == cfvopenai.StreamEnd {
			r.served(q, first, usage)
			return
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(began)
		} else {
			r.between(now.Sub(last))
		}
		last = now
		var chunk cfvopenai.Response
		if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
}

func (r *runner) between(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.result.BetweenTokens.RecordValue(d.Microseconds())
}

func (r *runner) served(q query, first time.Duration, u cfvopenai.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Served++
	r.second.Served++
	_ = r.result.FirstToken.RecordValue(first.Microseconds())
	_ = r.firsts.RecordValue(first.Microseconds())
	if q.returning {
		_ = r.result.ReturningFirstToken.RecordValue(first.Microseconds())
		r.result.PromptTokens += u.PromptTokens
		r.result.CachedTokens += u.Details.CachedTokens
	}
}

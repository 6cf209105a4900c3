// Command demo drives the running processes of scripts/demo.sh as callers would, prints
// a line for each step, and fails if any line is wrong.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvoperator"

	"github.com/jessevdk/go-flags"
)

// longPromptBytes is the length of the demo's long prompt: about twelve thousand tokens.
const longPromptBytes = 48_000

type options struct {
	Ports     int      `long:"ports" description:"print so many free ports and exit"`
	Wait      string   `long:"wait" description:"wait until the URL answers 200 and exit"`
	VMList    string   `long:"vmlist" description:"put standard input at the URL and exit"`
	Entries   []string `long:"entry" description:"callers' address of an entry"`
	Operators []string `long:"operator" description:"operators' address of an entry"`
	Desks     []string `long:"desk" description:"address of an order desk"`
	Key       string   `long:"key" description:"workspace key"`
	Load      int      `long:"load" description:"send so many requests and exit"`
	Killed    bool     `long:"killed" description:"the last entry is killed during the load"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	switch {
	case o.Ports > 0:
		return printPorts(o.Ports)
	case o.Wait != "":
		return wait(o.Wait)
	case o.VMList != "":
		return put(o.VMList, os.Stdin)
	case o.Load > 0:
		return load(o)
	}
	return steps(o)
}

func printPorts(n int) error {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

func wait(url string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not answer", url)
}

func put(url string, body io.Reader) error {
	req, err := http.NewRequest(http.MethodPut, url, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// result is what one request showed.
type result struct {
	status int
	first  time.Duration
	cached int
	whole  bool
	body   string
	id     string
}

func post(entry, path, key, id, idempotency string, body any) (result, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return result{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	if err != nil {
		return result{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(cfvopenai.HeaderRequestID, id)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	r := result{status: resp.StatusCode, id: id}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		r.body, r.first, r.whole = string(text), time.Since(began), err == nil
		return r, err
	}
	return r, r.readStream(resp.Body, began)
}

func (r *result) readStream(body io.Reader, began time.Time) error {
	events := cfvopenai.NewEventReader(body)
	for {
		data, err := events.Next()
		if err != nil {
			return err
		}
		if r.first == 0 {
			r.first = time.Since(began)
		}
		if string(data) == cfvopenai.StreamEnd {
			r.whole = true
			return nil
		}
		var chunk cfvopenai.Response
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		if chunk.Usage != nil {
			r.cached = chunk.Usage.Details.CachedTokens
		}
	}
}

func chat(content string, tokens int) cfvopenai.Request {
	return cfvopenai.Request{
		Model: "assistant", Stream: true, MaxTokens: tokens,
		Messages: []cfvopenai.Message{{Role: "user", Content: content}},
	}
}

// line is one line of the demo's table.
type line struct {
	step, entry, route string
	r                  result
	want               string
	ok                 bool
}

func steps(o options) error {
	prompt := strings.Repeat("Density and flammability norm, table 4, sheet 17. ", longPromptBytes/50)
	var lines []line
	add := func(step string, entry int, path, key, idem string, body any, want string, good func(result) bool) {
		id := strings.ReplaceAll(step, " ", "-")
		r, err := post(o.Entries[entry], path, key, id, idem, body)
		route := route(o.Operators[entry], id)
		lines = append(lines, line{step, o.Entries[entry], route, r, want, err == nil && good(r)})
	}
	served := func(r result) bool { return r.status == http.StatusOK && r.whole }
	add("long prompt", 0, "/v1/chat/completions", o.Key, "", chat(prompt, 16), "200, whole", served)
	add("prompt returns", 2, "/v1/chat/completions", o.Key, "", chat(prompt, 16), "200, most tokens cached", func(r result) bool {
		return served(r) && r.cached >= 10_000
	})
	add("short lookup", 1, "/v1/chat/completions", o.Key, "", chat("Which grade is 28 kg/m3?", 4), "200, whole", served)
	order := map[string]int{"blocks": 12}
	add("booking", 0, "/services/orders/book", o.Key, "order-77", order, "201", func(r result) bool { return r.status == http.StatusCreated })
	add("booking again", 3, "/services/orders/book", o.Key, "order-77", order, "201, kept answer", func(r result) bool {
		return r.status == http.StatusCreated && strings.Contains(r.body, `"run":1`)
	})
	add("wrong key", 1, "/v1/chat/completions", "nobody", "", chat("hello", 1), "401", func(r result) bool {
		return r.status == http.StatusUnauthorized
	})
	return report(o, lines)
}

func report(o options, lines []line) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "step\tentry\troute\tstatus\tfirst token\tcached tokens\twanted\tright")
	good := true
	for _, l := range lines {
		good = good && l.ok
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%v\n", l.step, l.entry, l.route, l.r.status, l.r.first.Round(100*time.Microsecond), l.r.cached, l.want, l.ok)
	}
	runs, err := countRuns(o.Desks, "order-77")
	good = good && err == nil && runs == 1
	fmt.Fprintf(w, "runs of the booking\t\t\t%d\t\t\t1\t%v\n", runs, runs == 1)
	if err := w.Flush(); err != nil {
		return err
	}
	if !good {
		return fmt.Errorf("a line is wrong")
	}
	return nil
}

// route returns the step of a request's explanation that names its endpoint.
func route(operator, id string) string {
	var e cfvoperator.ExplanationJSON
	err := cfvoperator.NewClient("http://"+operator, "").Do(context.Background(), http.MethodGet, "/requests/"+id, nil, &e)
	if err != nil {
		return "-"
	}
	for _, n := range e.Notes {
		if rest, ok := strings.CutPrefix(n.Text, "slot on "); ok {
			name, _, _ := strings.Cut(rest, " ")
			return name
		}
		if strings.HasPrefix(n.Text, "answer kept") {
			return "kept answer"
		}
	}
	return "-"
}

func countRuns(desks []string, key string) (total int, err error) {
	for _, d := range desks {
		resp, err := http.Get("http://" + d + "/runs")
		if err != nil {
			return total, err
		}
		runs := make(map[string]int)
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			return total, err
		}
		total += runs[key]
	}
	return total, nil
}

// load sends short requests to all entries for some seconds; one entry may be killed
// meanwhile. Every request at another entry must be served, also at one that is frozen.
func load(o options) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, failed := make(map[string]int), make(map[string]int)
	for i := range o.Load {
		entry := o.Entries[i%len(o.Entries)]
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			r, err := post(entry, "/v1/chat/completions", o.Key, fmt.Sprintf("load-%d", i), "", chat(fmt.Sprintf("lookup %d", i), 4))
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.status == http.StatusOK && r.whole {
				served[entry]++
			} else {
				failed[entry]++
			}
		})
	}
	wg.Wait()
	last := o.Entries[len(o.Entries)-1]
	bad := 0
	for _, e := range o.Entries {
		name := e
		if o.Killed && e == last {
			name += " (killed)"
		} else {
			bad += failed[e]
		}
		fmt.Printf("entry %s: served %d, failed %d\n", name, served[e], failed[e])
	}
	if bad > 0 {
		return fmt.Errorf("%d requests at entries that live were not served", bad)
	}
	return nil
}

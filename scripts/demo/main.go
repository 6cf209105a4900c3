// Command demo sends requests to the processes that scripts/demo.sh has started, prints a
// table with one line per step, and exits with 1 if a line differs from what is expected.
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
	Ports         int      `long:"ports" description:"print this number of free ports and exit"`
	Wait          string   `long:"wait" description:"wait until the URL returns 200 and exit"`
	VMList        string   `long:"vmlist" description:"send standard input to the URL with PUT and exit"`
	Entries       []string `long:"entry" description:"caller address of an entry"`
	Operators     []string `long:"operator" description:"operator address of an entry"`
	OrderServices []string `long:"desk" description:"address of an endpoint of the orders service"`
	Key           string   `long:"key" description:"workspace key"`
	Load          int      `long:"load" description:"send this number of requests and exit"`
	Killed        bool     `long:"killed" description:"the last entry is killed during the load"`
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
		return waitHealthy(o.Wait)
	case o.VMList != "":
		return putVMList(o.VMList, os.Stdin)
	case o.Load > 0:
		return runLoad(o)
	}
	return runSteps(o)
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

func waitHealthy(url string) error {
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
	return fmt.Errorf("%s did not return 200 within 20 seconds", url)
}

func putVMList(url string, body io.Reader) error {
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

// response is the part of a response that the table shows or the steps check.
type response struct {
	status       int
	firstToken   time.Duration
	cachedTokens int
	complete     bool
	body         string
	id           string
}

func post(entry, path, key, id, idempotency string, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(cfvopenai.HeaderRequestID, id)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	r := response{status: resp.StatusCode, id: id}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		r.body, r.firstToken, r.complete = string(text), time.Since(start), err == nil
		return r, err
	}
	return r, r.readStream(resp.Body, start)
}

func (r *response) readStream(body io.Reader, start time.Time) error {
	events := cfvopenai.NewEventReader(body)
	for {
		data, err := events.Next()
		if err != nil {
			return err
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(start)
		}
		if string(data) == cfvopenai.StreamEnd {
			r.complete = true
			return nil
		}
		var chunk cfvopenai.Response
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		if chunk.Usage != nil {
			r.cachedTokens = chunk.Usage.Details.CachedTokens
		}
	}
}

func chat(content string, tokens int) cfvopenai.Request {
	return cfvopenai.Request{
		Model: "assistant", Stream: true, MaxTokens: tokens,
		Messages: []cfvopenai.Message{{Role: "user", Content: content}},
	}
}

// stepResult is one line of the table.
type stepResult struct {
	step, entry, route string
	response           response
	want               string
	ok                 bool
}

func runSteps(o options) error {
	prompt := strings.Repeat("Density and flammability norm, table 4, sheet 17. ", longPromptBytes/50)
	var results []stepResult
	add := func(step string, entry int, path, key, idempotency string, body any, want string, check func(response) bool) {
		id := strings.ReplaceAll(step, " ", "-")
		r, err := post(o.Entries[entry], path, key, id, idempotency, body)
		route := routeTaken(o.Operators[entry], id)
		results = append(results, stepResult{step, o.Entries[entry], route, r, want, err == nil && check(r)})
	}
	served := func(r response) bool { return r.status == http.StatusOK && r.complete }
	add("long prompt", 0, "/v1/chat/completions", o.Key, "", chat(prompt, 16), "200, complete", served)
	add("prompt returns", 2, "/v1/chat/completions", o.Key, "", chat(prompt, 16), "200, most tokens cached", func(r response) bool {
		return served(r) && r.cachedTokens >= 10_000
	})
	add("short lookup", 1, "/v1/chat/completions", o.Key, "", chat("Which grade is 28 kg/m3?", 4), "200, complete", served)
	order := map[string]int{"blocks": 12}
	add("booking", 0, "/services/orders/book", o.Key, "order-77", order, "201", func(r response) bool { return r.status == http.StatusCreated })
	add("booking again", 3, "/services/orders/book", o.Key, "order-77", order, "201, stored response", func(r response) bool {
		return r.status == http.StatusCreated && strings.Contains(r.body, `"run":1`)
	})
	add("wrong key", 1, "/v1/chat/completions", "nobody", "", chat("hello", 1), "401", func(r response) bool {
		return r.status == http.StatusUnauthorized
	})
	return printTable(o, results)
}

func printTable(o options, results []stepResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "step\tentry\troute\tstatus\tfirst token\tcached tokens\texpected\tok")
	allOK := true
	for _, s := range results {
		allOK = allOK && s.ok
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%v\n", s.step, s.entry, s.route, s.response.status, s.response.firstToken.Round(100*time.Microsecond), s.response.cachedTokens, s.want, s.ok)
	}
	runs, err := countRuns(o.OrderServices, "order-77")
	allOK = allOK && err == nil && runs == 1
	fmt.Fprintf(w, "runs of the booking\t\t\t%d\t\t\t1\t%v\n", runs, runs == 1)
	if err := w.Flush(); err != nil {
		return err
	}
	if !allOK {
		return fmt.Errorf("a line of the table differs from what is expected")
	}
	return nil
}

// routeTaken returns the name of the endpoint that served a request, as the operator API
// explains the request.
func routeTaken(operator, id string) string {
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
			return "stored response"
		}
	}
	return "-"
}

func countRuns(services []string, key string) (total int, err error) {
	for _, s := range services {
		resp, err := http.Get("http://" + s + "/runs")
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

// runLoad sends short requests to all entries, one every 10 ms. The last entry may be killed
// meanwhile. Every request to another entry must be served, even if the entry is paused for
// some time.
func runLoad(o options) error {
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
			if err == nil && r.status == http.StatusOK && r.complete {
				served[entry]++
			} else {
				failed[entry]++
			}
		})
	}
	wg.Wait()
	last := o.Entries[len(o.Entries)-1]
	notServed := 0
	for _, e := range o.Entries {
		name := e
		if o.Killed && e == last {
			name += " (killed)"
		} else {
			notServed += failed[e]
		}
		fmt.Printf("entry %s: served %d, failed %d\n", name, served[e], failed[e])
	}
	if notServed > 0 {
		return fmt.Errorf("%d requests to running entries were not served", notServed)
	}
	return nil
}

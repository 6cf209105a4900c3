package cfvnode

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
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvsettings"
	"coltsfootvalve/io/cfvvmlist"
	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfakekv"
	"coltsfootvalve/standins/cfvfakenet"
	"coltsfootvalve/standins/cfvfakeplain"
	"coltsfootvalve/standins/cfvfakestore"
	"coltsfootvalve/standins/cfvfakevmlist"

	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

// API keys of the two workspaces of every test cluster.
const (
	chamberKey = "chamber-key"
	gnomesKey  = "gnomes-key"
)

// clusterConfig describes a test cluster.
type clusterConfig struct {
	entries    int
	domains    []string
	engines    int // in each domain
	services   int // in each domain
	stores     int
	engine     func(*cfvfakeengine.Config)
	service    cfvfakeplain.Config
	settings   string // settings document applied after the one that newCluster builds
	nodeConfig func(*Config)
}

// fakeLatency is how long a network in memory takes to deliver data.
const fakeLatency = 4 * time.Millisecond

// cluster runs nodes and stand-ins in the test process, connected over loopback or, on virtual
// time, over a network in memory.
type cluster struct {
	t         testing.TB
	network   *cfvfakenet.Network // nil to use loopback
	kv        *cfvfakekv.Server
	vmList    *cfvfakevmlist.List
	vms       []cfvvmlist.VM
	mu        sync.Mutex // guards nodes while one of them is replaced
	nodes     []*Node
	logs      *lockedBuffer
	engines   map[string]*cfvfakeengine.Engine
	services  map[string]*cfvfakeplain.Service
	stores    map[string]*cfvfakestore.Store
	addresses map[string]string // addresses of endpoints, by settings path
	client    *http.Client
	reserved  map[string]net.Listener
}

// lockedBuffer is a buffer for the logs of several nodes. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// runVirtual runs a test of a cluster on virtual time, over a network in memory, so that its
// result does not depend on the speed of the test host.
func runVirtual(t *testing.T, s clusterConfig, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := cfvfakenet.New(fakeLatency)
		t.Cleanup(func() {
			network.Close()
			time.Sleep(2 * time.Minute) // longer than every timeout, so that all goroutines end
		})
		test(t, newClusterOn(t, network, s))
	})
}

// newCluster starts a cluster on loopback and waits until it serves requests.
func newCluster(t testing.TB, s clusterConfig) *cluster {
	t.Helper()
	return newClusterOn(t, nil, s)
}

func newClusterOn(t testing.TB, network *cfvfakenet.Network, s clusterConfig) *cluster {
	t.Helper()
	if len(s.domains) == 0 {
		s.domains = []string{"rosario", "cordoba"}
	}
	c := &cluster{
		t: t, network: network, kv: cfvfakekv.New(cfvfakekv.Config{}), vmList: cfvfakevmlist.New(cfvfakevmlist.Config{}), logs: &lockedBuffer{},
		engines: make(map[string]*cfvfakeengine.Engine), services: make(map[string]*cfvfakeplain.Service),
		stores:    make(map[string]*cfvfakestore.Store),
		addresses: make(map[string]string), reserved: make(map[string]net.Listener),
	}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: c.dial()}}
	kv, list := c.startServer(c.kv.Handler()), c.startServer(c.vmList.Handler())
	for i := range s.entries {
		c.addNode(i, s.domains[i%len(s.domains)], kv, list, s.nodeConfig)
	}
	c.vmList.Set(c.vms)
	for _, n := range c.nodes {
		assert.NilError(t, n.Start())
	}
	t.Cleanup(c.stopNodes)
	c.apply(c.startEndpoints(s))
	if s.settings != "" {
		c.apply(s.settings)
	}
	c.waitSettled()
	return c
}

func (c *cluster) startServer(h http.Handler) string {
	l, err := c.openListener("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	c.t.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}

// openListener listens on the network of the cluster.
func (c *cluster) openListener(network, address string) (net.Listener, error) {
	if c.network != nil {
		return c.network.Listen(network, address)
	}
	return net.Listen(network, address)
}

// dial returns the function that connects on the network of the cluster; nil for loopback.
func (c *cluster) dial() cfvhttp.DialFunc {
	if c.network != nil {
		return c.network.DialContext
	}
	return nil
}

// reserveAddress opens a listener that a node uses when it starts, and returns its address.
func (c *cluster) reserveAddress() string {
	l, err := c.openListener("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	c.reserved[l.Addr().String()] = l
	return l.Addr().String()
}

// listen returns the listener reserved for an address, or a new one.
func (c *cluster) listen(network, address string) (net.Listener, error) {
	if l, ok := c.reserved[address]; ok {
		delete(c.reserved, address)
		return l, nil
	}
	return c.openListener(network, address)
}

func (c *cluster) addNode(i int, domain, kv, list string, config func(*Config)) {
	cfg := DefaultConfig()
	cfg.Name = fmt.Sprintf("entry-%d", i)
	cfg.Region, cfg.FailureDomain = "pampeana", domain
	cfg.CallerAddress, cfg.PeerAddress, cfg.OperatorAddress = c.reserveAddress(), c.reserveAddress(), c.reserveAddress()
	cfg.KeyValueAddresses, cfg.VMListAddress = []string{kv}, list
	cfg.Listen, cfg.Dial = c.listen, c.dial()
	cfg.Lease = 1200 * time.Millisecond
	cfg.MoveInterval = 50 * time.Millisecond
	cfg.ListInterval = 200 * time.Millisecond
	cfg.DrainGrace = 100 * time.Millisecond
	cfg.StoreLookupTimeout = time.Minute // a lookup that times out transfers no blocks, and tests wait for them
	cfg.AdmitTimeout = time.Minute       // a slow test host must not make the limits' owner look unreachable
	if config != nil {
		config(&cfg)
	}
	n, err := New(cfg, c.logs)
	assert.NilError(c.t, err)
	c.nodes = append(c.nodes, n)
	c.vms = append(c.vms, cfvvmlist.VM{
		Name: cfg.Name, Address: cfg.PeerAddress, Role: cfvvmlist.RoleEntry, Region: cfg.Region, FailureDomain: domain, State: "live",
	})
}

// startEndpoints starts the stand-ins of endpoints and stores, and returns the settings
// document that lists them.
func (c *cluster) startEndpoints(s clusterConfig) string {
	doc := map[string]map[string]any{
		"root":               {"coldSlots": 2, "warmSlots": 8, "rampStepMillis": 50, "reportLagMillis": 50},
		"services/assistant": {"silenceMillis": 400},
		"services/orders":    {"kind": "plain", "silenceMillis": 400},
		"workspaces/chamber": {"keyHash": cfvcatalog.HashKey(chamberKey)},
		"workspaces/gnomes":  {"keyHash": cfvcatalog.HashKey(gnomesKey)},
	}
	for i := range s.stores {
		path := fmt.Sprintf("stores/s%d", i)
		c.stores[path] = cfvfakestore.New(cfvfakestore.Config{MemoryBlocks: 64, DiskBlocks: 64})
		doc[path] = map[string]any{"address": strings.TrimPrefix(c.startServer(c.stores[path].Handler()), "http://")}
	}
	for _, d := range s.domains {
		for i := range s.engines {
			cfg := cfvfakeengine.Config{
				Name: fmt.Sprintf("%s-a%d", d, i), Version: "v1", PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond,
				MaxBatch: 16, MaxColdRequests: 2, ColdFor: 500 * time.Millisecond, ColdSlowdown: 2, CacheBlocks: 64, Dial: c.dial(),
			}
			if s.engine != nil {
				s.engine(&cfg)
			}
			path := fmt.Sprintf("regions/pampeana/%s/a%d", d, i)
			c.engines[path] = cfvfakeengine.New(cfg)
			doc[path] = c.addEndpoint(path, "assistant", c.engines[path].Handler())
		}
		for i := range s.services {
			path := fmt.Sprintf("regions/pampeana/%s/o%d", d, i)
			cfg := s.service
			cfg.Name = fmt.Sprintf("%s-o%d", d, i)
			c.services[path] = cfvfakeplain.New(cfg)
			doc[path] = c.addEndpoint(path, "orders", c.services[path].Handler())
		}
	}
	data, err := json.Marshal(doc)
	assert.NilError(c.t, err)
	return string(data)
}

func (c *cluster) addEndpoint(path, service string, h http.Handler) map[string]any {
	c.addresses[path] = strings.TrimPrefix(c.startServer(h), "http://")
	return map[string]any{"service": service, "address": c.addresses[path]}
}

// apply proposes a settings document at the first node.
func (c *cluster) apply(document string) {
	c.t.Helper()
	changes, err := cfvtree.DecodeChanges([]byte(document))
	assert.NilError(c.t, err)
	_, err = c.nodes[0].settings.Propose(c.t.Context(), cfvsettings.Proposal{Author: "test", Changes: changes})
	assert.NilError(c.t, err)
}

// eventually waits up to 5 minutes until the condition holds.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for range 60_000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("timed out waiting until: %s", what)
}

// waitSettled waits until every node has the latest settings and every endpoint has exactly
// one owner that may grant slots.
func (c *cluster) waitSettled() {
	c.t.Helper()
	c.eventually("all nodes have applied the settings", func() bool {
		for _, n := range c.nodes {
			if n.settings.Revision() < c.nodes[0].settings.Revision() {
				return false
			}
		}
		return true
	})
	c.eventually("every endpoint has one settled owner", func() bool {
		owners := make(map[string]int)
		for _, n := range c.nodes {
			for _, s := range n.owner.Statuses() {
				if s.Settled && s.BootID != "" {
					owners[s.Name]++
				}
			}
		}
		for path := range c.addresses {
			if owners[strings.TrimPrefix(path, "regions/")] != 1 {
				return false
			}
		}
		return true
	})
}

func (c *cluster) stopNodes() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range c.nodes {
		if n.ctx.Err() == nil {
			n.Stop(ctx)
		}
	}
}

// kill stops a node abruptly: its connections break, and its peers are not notified.
func (c *cluster) kill(i int) {
	c.nodes[i].cancel()
	for _, s := range c.nodes[i].listeners {
		_ = s.Close()
	}
}

func (c *cluster) node(i int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// response is the response that a caller received.
type response struct {
	status       int
	header       http.Header
	body         string
	text         string // generated text, of a stream or of a completion
	complete     bool
	cachedTokens int
	reason       string
	ranState     string
}

// send sends a request to an entry with an API key.
func (c *cluster) send(entry int, key, method, path, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://"+c.node(entry).Address()+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	r := response{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(resp.Body)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	r.body, r.complete = string(data), err == nil
	r.parseBody(data)
	return r
}

func (r *response) parseBody(data []byte) {
	var e struct {
		Error struct{ Reason, Ran string } `json:"error"`
	}
	if json.Unmarshal(data, &e) == nil {
		r.reason, r.ranState = e.Error.Reason, e.Error.Ran
	}
	var completion cfvopenai.Response
	if json.Unmarshal(data, &completion) == nil && len(completion.Choices) > 0 && completion.Choices[0].Message != nil {
		r.text = completion.Choices[0].Message.Content
		r.cachedTokens = completion.Usage.Details.CachedTokens
	}
}

func (r *response) readStream(body io.Reader) {
	events := cfvopenai.NewEventReader(body)
	for {
		data, err := events.Next()
		if err != nil {
			return
		}
		if string(data) == cfvopenai.StreamEnd {
			r.complete = true
			return
		}
		r.parseBody(data)
		var chunk cfvopenai.Response
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 {
			if chunk.Choices[0].Delta != nil {
				r.text += chunk.Choices[0].Delta.Content
			}
			if chunk.Usage != nil {
				r.cachedTokens = chunk.Usage.Details.CachedTokens
			}
		}
	}
}

// chat requests a chat completion with a number of tokens.
func (c *cluster) chat(entry int, key, prompt string, tokens int, stream bool) response {
	data, err := json.Marshal(cfvopenai.Request{
		Model: "assistant", Stream: stream, MaxTokens: tokens,
		Messages: []cfvopenai.Message{{Role: "user", Content: prompt}},
	})
	assert.NilError(c.t, err)
	return c.send(entry, key, http.MethodPost, "/v1/chat/completions", string(data))
}

// expectedText returns the text that every engine generates for a prompt.
func expectedText(prompt string, tokens int) string {
	text := cfvopenai.Request{Messages: []cfvopenai.Message{{Role: "user", Content: prompt}}}.PromptText()
	var b strings.Builder
	for i := range tokens {
		b.WriteString(cfvfakeengine.Token("v1", text, i))
	}
	return b.String()
}

// runCount returns how often the requests with an idempotency key or request ID ran on all
// plain services.
func (c *cluster) runCount(key string) int {
	n := 0
	for _, d := range c.services {
		n += d.Runs()[key]
	}
	return n
}

// book sends a booking with an idempotency key.
func (c *cluster) book(entry int, key, idempotency string) response {
	return c.send(entry, key, http.MethodPost, "/services/orders/book", `{"blocks":3}`, "Idempotency-Key", idempotency)
}

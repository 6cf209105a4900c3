package cfvcrowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootvalve/standins/cfvfakeplatform"

	"gotest.tools/v3/assert"
)

// Limits of the process and of its configuration.
const (
	memoryMB     = 134
	usualFds     = 4100
	fewFds       = 140 // less than the crowd needs
	bodyBytes    = 4 << 20
	host         = "callers.example"
	answerBytes  = 512 << 10 // of the route whose responses nobody reads
	startTime    = 20 * time.Second
	sampleEvery  = 10 * time.Millisecond
	logTailBytes = 4000
)

// entryProcess is one entry as a process of its own, with the stand-ins that it uses.
type entryProcess struct {
	t          *testing.T
	callerAddr string
	log        string // file
	cmd        *exec.Cmd
	ended      chan struct{} // closed when the process has ended
}

// buildBinary compiles the program once for all forms.
func buildBinary(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "coltsfootvalve")
	out, err := exec.Command("go", "build", "-o", bin, "../..").CombinedOutput()
	assert.NilError(t, err, string(out))
	return bin
}

// startEntry starts an entry with one endpoint, and returns when it is ready.
func startEntry(t *testing.T, bin string, maxFds int) *entryProcess {
	return startEntryWith(t, bin, maxFds, map[string]string{"desk-0": startServer(t, http.HandlerFunc(serveEndpoint))})
}

// startEntryWith starts an entry with endpoints, of which it gets the addresses by their IDs.
func startEntryWith(t *testing.T, bin string, maxFds int, endpoints map[string]string) *entryProcess {
	kvStore := cfvfakeplatform.New()
	put := func(key string, item any) {
		data, err := json.Marshal(item)
		assert.NilError(t, err)
		kvStore.Put(key, data)
	}
	put("op/config", config())
	for id, addr := range endpoints {
		put("servers/"+id, map[string]any{
			"service": "desk", "addr": addr, "zone": "north", "version": "v1", "slots": 200, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1,
		})
	}
	callerAddr, readyAddr := freeAddr(t), freeAddr(t)
	settings, err := json.Marshal(map[string]any{
		"node": "entry-0", "zone": "north", "ip": "127.0.0.1", "listen": map[string]string{"front": callerAddr, "ready": readyAddr, "control": freeAddr(t)},
		"limits":   map[string]any{"memoryMb": memoryMB, "maxFds": maxFds},
		"provider": map[string]any{"addr": startServer(t, kvStore.Handler()), "form": "kv"},
		"bounds":   map[string]any{"graceS": 8, "revokeMs": 5000, "leaseMs": 1000, "versionMs": 8000, "retryRatio": 0.2, "retrySlack": 1000, "retryWindowS": 10},
	})
	assert.NilError(t, err)
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(settingsFile, settings, 0o600))
	p := &entryProcess{t: t, callerAddr: callerAddr, log: filepath.Join(dir, "log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd = exec.Command(bin, "entry", "--log-success", "0")
	p.cmd.Env = append(os.Environ(), "COLTSFOOTVALVE_CONFIG="+settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // killed at the end of the test
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails only if it has ended
		<-p.ended
		_ = log.Close()
	})
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < startTime; time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + readyAddr + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	t.Fatalf("the entry is not ready; its log ends with:\n%s", p.logTail())
	return nil
}

// config returns a configuration with a route for requests and one for long responses.
func config() map[string]any {
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "unsafe", "timeoutMs": 6000, "sloMs": 600, "service": "desk", "attempts": 1}
	}
	stream := route("ask")
	stream["kind"] = "streaming"
	return map[string]any{
		"version": 1, "routes": []any{route("book"), route("long"), stream},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 210}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-0"}}},
	}
}

// serveEndpoint is an endpoint that answers each request after reading it.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	const prefix = "X-Coltsfootvalve-"
	if r.URL.Path == "/healthz" {
		w.Header().Set(prefix+"Replica-Id", "desk-0")
		return
	}
	buf := make([]byte, 32<<10)
	for {
		if _, err := r.Body.Read(buf); err != nil {
			break
		}
	}
	id := r.Header.Get(prefix + "Request-Id")
	w.Header().Set(prefix+"Request-Id", id)
	w.Header().Set(prefix+"Server-Stamp", "stamp.desk-0."+id)
	if strings.HasPrefix(r.URL.Path, "/long/") {
		_, _ = w.Write(make([]byte, answerBytes)) // the entry may have left
	}
}

func startServer(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// freeAddr returns an address that had no listener a moment ago.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (p *entryProcess) logTail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// alive reports whether the process runs.
func (p *entryProcess) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peaks are the highest values seen of a process.
type peaks struct{ residentMB, fds int }

// watch samples the process until the returned function is called.
func (p *entryProcess) watch() (stop func() peaks) {
	var seen peaks
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			seen.residentMB, seen.fds = max(seen.residentMB, p.residentMB()), max(seen.fds, p.fds())
			select {
			case <-done:
				return
			case <-time.After(sampleEvery):
			}
		}
	})
	return func() peaks {
		close(done)
		wg.Wait()
		return seen
	}
}

// residentMB returns the resident memory of the process; 0 if it has ended.
func (p *entryProcess) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// fds returns the number of open descriptors of the process; 0 if it has ended.
func (p *entryProcess) fds() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

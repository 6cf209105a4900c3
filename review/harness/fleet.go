package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"coltsfootvalve/standins/cfvfakeplatform"
)

// What all cases share.
const (
	metricsPort = 9464 // as in the deploy file
	callerHost  = "callers.example"
)

// entryProcess is one machine of the system with its process.
type entryProcess struct {
	name, zone, ip string
	front, ready   string
	control        string
	settings       string // path of the settings file
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{} // closed when the current process has ended
}

// fleet is a small deployment: the platform's store, entries as processes, and replicas.
type fleet struct {
	bin, dir string
	memoryMB int
	rec      *recorder
	kv       *cfvfakeplatform.Server
	kvServer *http.Server
	kvAddr   string
	ports    [3]int // front, ready and control, the same on all machines
	mu       sync.Mutex
	entries  []*entryProcess
	nextIP   int
	config   map[string]any
	version  int64
	seeds    []string
	onStop   []func()
	stopped  bool // no process is started any more
}

// newFleet starts the platform's store.
func newFleet(bin string, memoryMB int, rec *recorder) (f *fleet, err error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f = &fleet{bin: bin, dir: dir, memoryMB: memoryMB, rec: rec, kv: cfvfakeplatform.New(), nextIP: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.kvAddr, f.kvServer = l.Addr().String(), &http.Server{Handler: f.kv.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.kvServer.Serve(l) }() // ends when the case does
	for i := range f.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
	}
	return f, nil
}

// put writes an item as the operator or a replica does, and returns when the store acknowledged it.
func (f *fleet) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values come from this program and can be encoded
	}
	f.kv.Put(key, data)
	return time.Now()
}

// putConfig writes a configuration as a new version.
func (f *fleet) putConfig(config map[string]any) time.Time {
	f.version += 3
	config["version"] = f.version
	f.config = config
	return f.put("op/config", config)
}

// startReplicas starts replicas of a service and registers them.
func (f *fleet) startReplicas(service string, n int, work time.Duration) (out []*replica, err error) {
	zones := []string{"rosario", "cordoba", "baires"}
	for i := range n {
		s, err := startReplica(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], work, f.rec)
		if err != nil {
			return nil, err
		}
		s.register(f, "ready")
		out = append(out, s)
	}
	return out, nil
}

// addEntry adds a machine; its process is started by start.
func (f *fleet) addEntry(name, zone string, seeds []string, firstStart bool) (*entryProcess, error) {
	f.mu.Lock()
	f.nextIP++
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, f.nextIP) // so that two runs don't share addresses
	f.mu.Unlock()
	addr := func(i int) string { return fmt.Sprintf("%s:%d", ip, f.ports[i]) }
	p := &entryProcess{name: name, zone: zone, ip: ip, front: addr(0), ready: addr(1), control: addr(2), settings: filepath.Join(f.dir, name+".json")}
	for _, a := range []string{p.front, p.ready, p.control, fmt.Sprintf("%s:%d", ip, metricsPort)} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return nil, fmt.Errorf("a port isn't free: %w", err)
		}
		_ = l.Close()
	}
	f.seeds = append([]string(nil), seeds...)
	if err := f.writeSettings(p, firstStart); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.entries = append(f.entries, p)
	f.mu.Unlock()
	return p, nil
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(p *entryProcess, firstStart bool) error {
	data, err := json.Marshal(map[string]any{
		"node": p.name, "role": "entry", "class": "front", "serves": []string{"front", "control"}, "ip": p.ip, "zone": p.zone, "region": "north",
		"zones":  map[string]string{"rosario": "north", "cordoba": "north", "baires": "north"},
		"listen": map[string]string{"front": p.front, "ready": p.ready, "control": p.control},
		"seeds":  f.seeds, "bootstrap": firstStart, "heartbeatMs": 1200, "discovery": "platform", "entry": "vip", "dataDir": nil,
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": f.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"tolerate": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "revokeStrict": true, "revokeMs": 5000, "retryRatio": 0.2,
			"retryWindowS": 10, "retrySlack": 56, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "coldExcess": 1.5, "coldSlack": 5,
			"evacMs": 5000, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 20, "requireFence": true, "leaseMs": 3000, "thawSlackMs": 300,
			"versionMs": 8000, "versionAllMs": 11000,
		},
		"provider": map[string]any{"addr": f.kvAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(p *entryProcess) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.bin, "entry", "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = []string{"COLTSFOOTVALVE_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		_ = log.Close()
		return fmt.Errorf("the case is over")
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	f.rec.add("machine %s starts at %s", p.name, p.ip)
	go func() {
		err := cmd.Wait()
		f.rec.add("the process of %s has ended: %v", p.name, err)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process of a machine.
func (p *entryProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // it may end meanwhile
	}
}

// kill ends the process of a machine and waits for its end.
func (p *entryProcess) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// pid returns the process ID of a machine's current process.
func (p *entryProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// running reports whether the process of a machine runs.
func (p *entryProcess) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// isReady reports whether a machine answers the readiness probe with 200.
func (p *entryProcess) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range f.entries {
		for !p.isReady() {
			if !p.running() || time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready in time", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startMachines starts the machines of all zones and waits until they are ready. The first of each zone are the seeds.
func (f *fleet) startMachines(byZone map[string][]string) error {
	var seeds []string
	var all []*entryProcess
	for zone, names := range byZone {
		for i, name := range names {
			p, err := f.addEntry(name, zone, nil, true)
			if err != nil {
				return err
			}
			all = append(all, p)
			if i == 0 {
				seeds = append(seeds, p.control)
			}
		}
	}
	f.seeds = seeds
	for _, p := range all {
		if err := f.writeSettings(p, true); err != nil {
			return err
		}
		if err := f.start(p); err != nil {
			return err
		}
	}
	return f.waitReady(15 * time.Second)
}

// replace removes a machine for good and adds another one at another address.
func (f *fleet) replace(name, zone, replacement string) error {
	for _, p := range f.running() {
		if p.name != name {
			continue
		}
		p.signal(syscall.SIGKILL)
		p.kill()
		free, err := darkAddr(p.control)
		if err != nil {
			return err
		}
		f.onStop = append(f.onStop, free)
		f.rec.say("machine %s is removed for good", name)
	}
	time.Sleep(newMachineDelay)
	p, err := f.addEntry(replacement, zone, f.seeds, false)
	if err != nil {
		return err
	}
	f.rec.say("machine %s replaces it", replacement)
	return f.start(p)
}

// running returns the machines whose processes run.
func (f *fleet) running() (out []*entryProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.entries {
		if p.running() {
			out = append(out, p)
		}
	}
	return out
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	entries := append([]*entryProcess(nil), f.entries...)
	f.mu.Unlock()
	for _, p := range entries {
		p.kill()
	}
	for _, end := range f.onStop {
		end()
	}
	_ = f.kvServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

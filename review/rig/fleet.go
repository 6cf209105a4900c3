package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: entries as processes, and stand-ins for the rest.
type fleet struct {
	dir     string // temporary
	record  *record
	store   *store
	log     *runLog
	entries []*entryProcess
	next    int // number of the next loopback address
	net     int // second number of the loopback addresses
	servers []*http.Server
	mu      sync.Mutex // guards next and servers
	cleanUp []func()
}

// entryProcess is an entry.
type entryProcess struct {
	name, ip, front, ready, control string
	settings                        string // file
	cmd                             *exec.Cmd
	ended                           chan struct{} // closed at the end of the process
}

// settingsOf are the figures of a deployment.
type settingsOf struct {
	memoryMB, maxFds int
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec, store: newStore(), log: &runLog{}, net: 16 + os.Getpid()%200}
	f.cleanUp = append(f.cleanUp, func() { _ = os.RemoveAll(dir) })
	return f, nil
}

// close ends all processes and servers.
func (f *fleet) close() {
	for _, p := range f.entries {
		p.kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, c := range f.cleanUp {
		c()
	}
}

// metricsPort is the port of the metrics in the command of the deploy file.
const metricsPort = "9464"

// ip returns a loopback address that the fleet does not use yet, and that has the port of the metrics free.
func (f *fleet) ip() string {
	for {
		f.next++
		ip := fmt.Sprintf("127.%d.7.%d", f.net, f.next)
		if l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort)); err == nil {
			_ = l.Close()
			return ip
		}
	}
}

// freePort returns an address with a port that had no listener a moment ago.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// serve serves h on an address of its own and returns it.
func (f *fleet) serve(h http.Handler) (string, error) {
	addr, _, err := f.serveWith(h)
	return addr, err
}

// serveWith does the same, and returns the server too.
func (f *fleet) serveWith(h http.Handler) (string, *http.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, err := net.Listen("tcp", f.ip()+":0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, IdleTimeout: 20 * time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// replicasOf describes the replicas of a service.
type replicasOf struct {
	service  string
	count    int
	slots    int
	work     time.Duration
	answer   func(w http.ResponseWriter, r *http.Request)
	poison   func(p *replica, w http.ResponseWriter)
	stream   func(p *replica, w http.ResponseWriter, r *http.Request)
	downTime time.Duration // until a replica that crashed is back
}

// addReplicas starts replicas, which announce themselves.
func (f *fleet) addReplicas(o replicasOf) error {
	for i := range o.count {
		if err := f.startReplica(o, fmt.Sprintf("i-%s-%d", o.service, i), 0); err != nil {
			return err
		}
	}
	return nil
}

// startReplica starts a replica. When it has crashed, it is back after a while as another incarnation with an ID of its own.
func (f *fleet) startReplica(o replicasOf, name string, starts int) error {
	p := newReplica(fmt.Sprintf("%s-%d", name, starts), "", o.service, o.work, o.slots, f.log)
	p.answer, p.poison, p.stream = o.answer, o.poison, o.stream
	addr, server, err := f.serveWith(p)
	if err != nil {
		return err
	}
	p.addr = addr
	p.announce(f.store)
	go p.beat(f.store)
	go func() {
		<-p.crashed
		_ = server.Close()
		f.record.line("replica %s crashes", p.id)
		time.Sleep(o.downTime)
		if err := f.startReplica(o, name, starts+1); err != nil {
			f.record.line("replica %s is not back: %v", name, err)
		}
	}()
	return nil
}

// startEntries starts entries, and waits until all are ready.
func (f *fleet) startEntries(n int, o settingsOf) error {
	storeAddr, err := f.serve(f.store.handler())
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		p := &entryProcess{name: fmt.Sprintf("front-north-%d", i+1), ip: f.ip()}
		for _, addr := range []*string{&p.front, &p.ready, &p.control} {
			if *addr, err = freePort(p.ip); err != nil {
				return err
			}
		}
		f.entries = append(f.entries, p)
		if i < 3 {
			seeds = append(seeds, p.control)
		}
	}
	for _, p := range f.entries {
		data, err := json.MarshalIndent(settings(p, seeds, storeAddr, o), "", "  ")
		if err != nil {
			return err
		}
		p.settings = filepath.Join(f.dir, p.name+".json")
		if err := os.WriteFile(p.settings, data, 0o600); err != nil {
			return err
		}
		if err := f.start(p); err != nil {
			return err
		}
	}
	return f.awaitReady(30 * time.Second)
}

// settings returns the settings of an entry of a small deployment.
func settings(p *entryProcess, seeds []string, storeAddr string, o settingsOf) map[string]any {
	return map[string]any{
		"node": p.name, "role": "entry", "class": "front", "serves": []string{"front", "control"}, "ip": p.ip, "zone": "north", "region": "r",
		"zones":  map[string]string{"north": "r"},
		"listen": map[string]string{"front": p.front, "ready": p.ready, "control": p.control}, "portRange": []int{7580, 7595}, "seeds": seeds, "bootstrap": true,
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": o.memoryMB, "maxFds": o.maxFds, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
			"rollbackSlackMs": 250, "skewMaxMs": 5000, "revokeStrict": true, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "exposureShare": 0.1,
			"exposureSlack": 50, "rollbackMs": 5000, "coldExcess": 1.5, "coldSlack": 5, "evacMs": 5000, "recoveryS": 12, "transitMs": 120, "reuseWindowS": 20,
			"requireFence": true, "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 8000, "versionAllMs": 11000,
		},
		"provider": map[string]any{"addr": storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
}

// command returns the program and the arguments of the role in the deploy file.
func command() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no command")
}

// start starts the process of an entry.
func (f *fleet) start(p *entryProcess) error {
	words, err := command()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "COLTSFOOTVALVE_CONFIG=" + p.settings}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// kill ends the process of an entry.
func (p *entryProcess) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.ended
}

// alive reports whether the process of an entry runs.
func (p *entryProcess) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watchReady probes whether the entries are ready until a time, and records how often they were not.
func (f *fleet) watchReady(end time.Time) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	probes, misses := 0, 0
	for ; time.Now().Before(end); time.Sleep(probesInterval) {
		for _, p := range f.entries {
			probes++
			resp, err := client.Get("http://" + p.ready + "/-/readyz")
			if err != nil {
				misses++
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				misses++
			}
		}
	}
	f.record.line("%d of %d probes found an entry that was not ready", misses, probes)
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.entries {
			if resp, err := client.Get("http://" + p.ready + "/-/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return fmt.Errorf("not all entries are ready after %s", limit)
}

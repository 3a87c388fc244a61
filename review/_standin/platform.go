package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"poplarwind/platform/imitator"
)

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// site is a small deployment: the store, the servers and the entries.
type site struct {
	record *record
	store  *imitator.Store
	// folder holds the settings and logs of the entries.
	folder    string
	storeAddr string
	entries   []*entry
	servers   []*server
	// bounds and limits are those of the settings.
	memoryMB, maxFDs, drainMs, graceS int
	cpuShare                          float64
	// nextIP is the last part of the next entry's address, and nextPort the last port given
	// to an entry.
	nextIP, nextPort int

	mu      sync.Mutex
	closers []func()
}

func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, store: &imitator.Store{}, folder: folder, memoryMB: 284, maxFDs: 4100, drainMs: 2000, graceS: 6, cpuShare: 0.32, nextIP: 1, nextPort: 20000}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = s.store.Serve(l) }()
	return s, nil
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, e := range s.entries {
		e.end()
	}
	for _, v := range s.servers {
		v.stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	}
}

// configure writes the configuration, as the operator does.
func (s *site) configure(version, idleMs int, routes []route) {
	type service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_connections"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
	var config struct {
		Version  int            `json:"version"`
		Routes   []route        `json:"routes"`
		Services []service      `json:"services"`
		Limits   map[string]int `json:"limits"`
	}
	config.Version, config.Routes = version, routes
	seen := make(map[string]bool)
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			config.Services = append(config.Services, service{r.Service, healthPath, 260, "h1", false})
		}
	}
	config.Limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": idleMs}
	text, _ := json.Marshal(config)
	s.store.Put("config", "main", string(text))
	s.record.add("operator: config version %d acknowledged", version)
}

// entry is one process of the system.
type entry struct {
	site *site
	name string
	zone string
	ip   string
	// callers, ready and directory are its addresses.
	callers, ready, control, directory string
	settings                           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// ends holds why the process ended each time.
	ends []string
	// killing is why it is being killed, empty if it isn't.
	killing string
	// delay is the pause before a process that ended is started again.
	delay time.Duration
}

// freePort returns a port that is free at an address, below those that the system chooses.
func (s *site) freePort(ip string) (string, error) {
	for {
		s.nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, s.nextPort))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		if s.nextPort >= 30000 {
			return "", err
		}
	}
}

// addEntry adds an entry of a zone. It is started by start.
func (s *site) addEntry(zone string) (*entry, error) {
	pid := os.Getpid()
	e := &entry{site: s, zone: zone, name: fmt.Sprintf("edge-%s-%d", zone, len(s.entries)+1)}
	e.ip = fmt.Sprintf("127.%d.%d.%d", 16+pid>>8&0x7f, pid&0xff, s.nextIP)
	s.nextIP++
	for _, a := range []*string{&e.callers, &e.ready, &e.control, &e.directory} {
		var err error
		if *a, err = s.freePort(e.ip); err != nil {
			return nil, err
		}
	}
	s.entries = append(s.entries, e)
	return e, nil
}

// render fills in the template of the deploy file, as the platform does.
func (e *entry) render(bootstrap bool) error {
	text, err := os.ReadFile("deploy/entry.jsonc")
	if err != nil {
		return err
	}
	seeds := make([]string, 0, 3)
	for _, o := range e.site.entries[:min(3, len(e.site.entries))] {
		seeds = append(seeds, o.control)
	}
	values := map[string]any{
		"node_name": e.name, "zone": e.zone, "region": "home", "ip": e.ip, "platform.address": e.site.storeAddr, "seeds": seeds,
		"listen_addresses.frontend": e.callers, "listen_addresses.control": e.control, "listen_addresses.ready": e.ready, "listen_addresses.directory": e.directory,
		"bounds.grace_s": e.site.graceS, "bounds.probes_per_s": 60, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_extra": 60,
		"bounds.budget_window_s": 10, "bounds.drain_ms": e.site.drainMs,
		"limits.memory_mb": e.site.memoryMB, "limits.cpu_share": e.site.cpuShare, "limits.link_mbps": 1000.0, "bootstrap": bootstrap,
	}
	var missing error
	out := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`).ReplaceAllStringFunc(string(text), func(m string) string {
		name, _, isJSON := strings.Cut(strings.Trim(m, "{}"), "|")
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("template: no value for %s", name)
		}
		if isJSON {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
	e.settings = filepath.Join(e.site.folder, e.name+".jsonc")
	return errors.Join(missing, os.WriteFile(e.settings, []byte(out), 0o600))
}

// start starts the process with the command of the deploy file.
func (e *entry) start(bootstrap bool) error {
	if err := e.render(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.site.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The shell sets the limit of descriptors of the settings and becomes the program.
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(e.site.maxFDs)+"; exec target/poplarwind")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POPLARWIND_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited, e.killing = cmd, make(chan struct{}), ""
	e.site.record.add("platform: %s started, pid %d, callers %s", e.name, cmd.Process.Pid, e.callers)
	go e.wait(cmd, e.exited)
	return nil
}

// restartAfter sets the pause before the process is started again when it ends.
func (e *entry) restartAfter(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// restartDelay is the usual pause before a process that ended is started again.
const restartDelay = 300 * time.Millisecond

// wait waits for the end of the process and starts it again unless it was stopped.
func (e *entry) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	e.mu.Lock()
	why := e.killing
	if why == "" {
		why = fmt.Sprintf("by itself: %v", err)
	}
	stopped := e.stopped
	if !stopped {
		e.ends = append(e.ends, why)
	}
	close(exited)
	e.mu.Unlock()
	if stopped {
		return
	}
	e.site.record.say("platform: %s ended, %s", e.name, why)
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	time.Sleep(max(restartDelay, delay))
	e.mu.Lock()
	stopped = e.stopped
	e.mu.Unlock()
	if !stopped {
		if err := e.start(false); err != nil {
			e.site.record.say("platform: %s not started: %v", e.name, err)
		}
	}
}

// signal sends a signal to the process.
func (e *entry) signal(sig syscall.Signal, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sig == syscall.SIGKILL {
		e.killing = why
	}
	e.site.record.say("platform: %s gets %v: %s", e.name, sig, why)
	_ = e.cmd.Process.Signal(sig)
}

// end ends the process for good.
func (e *entry) end() {
	e.mu.Lock()
	e.stopped = true
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// endCount returns how often the process ended, other than by a disturbance of the case.
func (e *entry) endCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ends)
}

// residentMB returns the memory in use by the process.
func (e *entry) residentMB() float64 {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// enforceMemory kills each process that exceeds memory_mb, as the platform does.
func (s *site) enforceMemory(stop <-chan struct{}) {
	peak := make([]float64, len(s.entries))
	for {
		select {
		case <-stop:
			for i, e := range s.entries {
				s.record.say("platform: peak of %s: %.0f of %d MB", e.name, peak[i], s.memoryMB)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
		for i, e := range s.entries {
			mb := e.residentMB()
			peak[i] = max(peak[i], mb)
			e.mu.Lock()
			busy := e.killing != ""
			e.mu.Unlock()
			if mb > float64(s.memoryMB) && !busy {
				e.signal(syscall.SIGKILL, fmt.Sprintf("%.0f MB, more than memory_mb %d", mb, s.memoryMB))
			}
		}
	}
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range s.entries {
		for {
			status, _, err := get(e.ready, "/poplarwind/readyz", time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v, status %d", e.name, err, status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addresses returns the addresses from which the process has connections.
func (e *entry) addresses() (map[string]bool, error) {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil, err
	}
	own := make(map[string]bool)
	for _, f := range files {
		if link, err := os.Readlink(f); err == nil && strings.HasPrefix(link, "socket:[") {
			own[strings.Trim(link, "socket:[]")] = true
		}
	}
	out := make(map[string]bool)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !own[fields[9]] {
			continue
		}
		var a, b, c, d byte
		var port int
		if _, err := fmt.Sscanf(fields[1], "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port); err == nil {
			out[fmt.Sprintf("%d.%d.%d.%d:%d", a, b, c, d, port)] = true
		}
	}
	return out, err
}

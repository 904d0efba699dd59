package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Root is the root of the repository. Scripts run there.
const Root = "."

// Machine is one machine of the system: a process with the run line of the deploy file.
type Machine struct {
	Name, Zone, IP string
	Frontend       string
	Readiness      string
	settings       string
	log            string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Site holds the figures of an installation that the settings name.
type Site struct {
	Store      *Store
	GraceS     int
	RetrySlack int
	Seeds      []string
}

var (
	allMu sync.Mutex
	all   []child
	// stopped is set once StopAll has begun; nothing starts after that.
	stopped bool
	dir     string
)

// TempDir returns the temporary folder of the script.
func TempDir() string {
	if dir == "" {
		d, err := os.MkdirTemp("", "review-")
		if err != nil {
			Unable("%v", err)
		}
		dir = d
	}
	return dir
}

// FreePort returns a port that is free at all the given IPs, for TCP and UDP.
func FreePort(ips []string) int {
	for range 200 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			Unable("port: %v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			t, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return port
		}
	}
	Unable("no free port")
	return 0
}

// RunWords returns the words of the run line of the deploy file.
func RunWords() []string {
	b, err := os.ReadFile(filepath.Join(Root, "deploy/system.toml"))
	if err != nil {
		Unable("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(b)
	if m == nil {
		Unable("no run line in the deploy file")
	}
	return strings.Fields(string(m[1]))
}

// fill fills in the settings template as the platform does, for the placeholders that it
// has.
func fill(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if fields[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(template, func(text string) string {
		value, ok := fields[strings.Trim(text, "{}")]
		if !ok {
			Unable("the settings template has an unknown placeholder %s", text)
		}
		return value
	})
}

// Fleet prepares machines with these names, zones and IPs. All use the same ports.
func Fleet(names, zones, ips []string, site Site) []*Machine {
	front, ready, gossip, metrics := FreePort(ips), 0, 0, 0
	for ready == 0 || ready == front {
		ready = FreePort(ips)
	}
	for gossip == 0 || gossip == front || gossip == ready {
		gossip = FreePort(ips)
	}
	for metrics == 0 || metrics == front || metrics == ready || metrics == gossip {
		metrics = FreePort(ips)
	}
	template, err := os.ReadFile(filepath.Join(Root, "platform/router.ini"))
	if err != nil {
		Unable("%v", err)
	}
	var seeds []string
	for _, ip := range site.Seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, gossip))
	}
	var list []*Machine
	for i, name := range names {
		m := &Machine{Name: name, Zone: zones[i], IP: ips[i], Frontend: fmt.Sprintf("%s:%d", ips[i], front), Readiness: fmt.Sprintf("%s:%d", ips[i], ready)}
		text := fill(string(template), map[string]string{
			"nodeName": name, "zone": zones[i], "ip": ips[i],
			"listen.frontend": m.Frontend, "listen.readiness": m.Readiness,
			"portRange.0": fmt.Sprint(gossip), "portRange.1": fmt.Sprint(metrics),
			"bounds.graceS": fmt.Sprint(site.GraceS), "bounds.capFactor": "2", "bounds.retryRatio": "0.2",
			"bounds.retrySlack": fmt.Sprint(site.RetrySlack),
			"seeds":             strings.Join(seeds, ","), "limits.linkMbps": "1000.0", "provider.address": site.Store.Address(name),
		})
		m.settings = filepath.Join(TempDir(), name+".conf")
		m.log = filepath.Join(TempDir(), name+".log")
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			Unable("%v", err)
		}
		list = append(list, m)
	}
	return list
}

// Start starts the machine's process.
func (m *Machine) Start() {
	if err := m.start(); err != nil {
		Unable("%s: %v (the build of the deploy file comes first)", m.Name, err)
	}
}

func (m *Machine) start() error {
	words := RunWords()
	allMu.Lock()
	defer allMu.Unlock()
	if stopped {
		return nil
	}
	cmd := exec.Command(filepath.Join(Root, words[0]), words[1:]...)
	cmd.Env = append(os.Environ(), "AUBURNLEAD_SETTINGS="+m.settings)
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.mu.Unlock()
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = out.Close(); close(ended) }()
	all = append(all, child{cmd, ended})
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Kill kills the machine's process.
func (m *Machine) Kill() { m.Signal(syscall.SIGKILL) }

// AwaitReady waits until the readiness address answers 200.
func (m *Machine) AwaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + m.Readiness + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	b, _ := os.ReadFile(m.log)
	Unable("%s is not ready: %s", m.Name, b)
}

// MemoryMB returns the resident memory of the machine's process in MB of 2^20 bytes, 0 for
// none.
func (m *Machine) MemoryMB() float64 {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	found := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(b)
	if found == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return float64(kb) / 1024
}

// Log returns what the process has written.
func (m *Machine) Log() string {
	b, _ := os.ReadFile(m.log)
	return string(b)
}

// child is a process that the script has started; ended is closed after its end.
type child struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// StopAll kills all processes that the script has started, waits for their end and removes
// its folder.
func StopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	stopped = true
	for _, c := range all {
		_ = c.cmd.Process.Kill()
	}
	for _, c := range all {
		<-c.ended
	}
	if dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
}

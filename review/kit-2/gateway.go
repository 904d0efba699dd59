package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the project, started by the run line of the deploy file.
type gateway struct {
	cmd       *exec.Cmd
	front     string
	readiness string
	ended     chan struct{}
}

var (
	sections     = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([^#/}][^}]*)\}\}`)
	runLine      = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	templateLine = regexp.MustCompile(`(?m)^template = "([^"]+)"`)
)

// render fills in the template of the deploy file with the fields of a machine.
func render(template string, fields map[string]string) string {
	template = sections.ReplaceAllStringFunc(template, func(s string) string {
		m := sections.FindStringSubmatch(s)
		if fields[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholders.ReplaceAllStringFunc(template, func(s string) string {
		return fields[placeholders.FindStringSubmatch(s)[1]]
	})
}

// deployLine returns a line of the deploy file.
func deployLine(line *regexp.Regexp) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	m := line.FindSubmatch(text)
	if m == nil {
		cannotRun("the deploy file has no line %s", line)
	}
	return string(m[1])
}

// startGateway starts a gateway on a loopback address with the settings of a small
// installation. bounds replaces bounds of it.
func startGateway(name, ip, zone, storeAddress string, bounds map[string]string) *gateway {
	template, err := os.ReadFile(filepath.Join(root, deployLine(templateLine)))
	if err != nil {
		cannotRun("%v", err)
	}
	g := &gateway{front: fmt.Sprintf("%s:%d", ip, freePort(ip)), readiness: fmt.Sprintf("%s:%d", ip, freePort(ip)), ended: make(chan struct{})}
	fields := map[string]string{
		"nodeName": name, "zone": zone, "ip": ip, "listen.frontend": g.front, "listen.readiness": g.readiness,
		"portRange.0": gossipPort, "portRange.1": fmt.Sprint(freePort(ip)), "seeds": "127.0.0.1:1,127.0.0.2:1,127.0.0.3:1",
		"limits.memoryMb": "284", "limits.linkMbps": "1000.0", "provider.address": storeAddress,
		"bounds.graceS": "8", "bounds.capFactor": "2", "bounds.drainMs": "2000", "bounds.retryRatio": "0.2", "bounds.retrySlack": "58",
	}
	for k, v := range bounds {
		fields[k] = v
	}
	path := filepath.Join(temp, name+".conf")
	if err := os.WriteFile(path, []byte(render(string(template), fields)), 0o600); err != nil {
		cannotRun("%v", err)
	}
	words := strings.Fields(deployLine(runLine))
	logFile, err := os.Create(filepath.Join(temp, name+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	g.cmd = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	g.cmd.Env = []string{"AUBURNLEAD_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + temp}
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	g.cmd.Dir = root
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		cannotRun("start a gateway: %v", err)
	}
	atEnd(func() { _ = g.cmd.Process.Kill(); <-g.ended })
	go func() { _ = g.cmd.Wait(); close(g.ended) }()
	g.awaitReady()
	return g
}

// awaitReady waits until the gateway reports ready.
func (g *gateway) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.readiness + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("the gateway does not become ready; see %s", temp)
}

// isRunning reports whether the process has not ended.
func (g *gateway) isRunning() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Gatherer is a gatherer's process, started by `run` of the deploy file.
type Gatherer struct {
	rec     *Record
	Address string
	dir     string
	config  map[string]any
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	logs    *os.File
	env     []string
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + name + `\s*=\s*(".*")\s*$`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", name)
	}
	return strconv.Unquote(string(m[1]))
}

// freeAddress returns an address on loopback that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Limits are the limits that the configuration tells.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// NewGatherer prepares a gatherer. Its files are in a temporary folder.
func NewGatherer(rec *Record, tmp, name, discovery string, limits Limits, settings map[string]any, known any) (*Gatherer, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(tmp, name)
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o755); err != nil {
		return nil, err
	}
	g := &Gatherer{rec: rec, Address: address, dir: dir}
	g.config = map[string]any{"name": name, "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "settings": settings}
	if known != nil {
		g.config["known"] = known
	}
	return g, g.writeConfig()
}

func (g *Gatherer) writeConfig() error {
	text, err := json.MarshalIndent(g.config, "", " ")
	if err != nil {
		return err
	}
	file := filepath.Join(g.dir, "config.json")
	if err := os.WriteFile(file+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// Start starts the process by `run` of the deploy file.
func (g *Gatherer) Start(root string) error {
	run, err := deployCommand(root, "run")
	if err != nil {
		return err
	}
	if g.logs == nil {
		if g.logs, err = os.Create(filepath.Join(g.dir, "log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Stdout, cmd.Stderr = g.logs, g.logs
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "NODE_NAME=" + g.config["name"].(string),
		"NODE_LISTEN=" + g.Address, "NODE_DISCOVERY=" + g.config["discovery"].(string),
		"NODE_CONFIG=" + filepath.Join(g.dir, "config.json"), "TMPDIR=" + filepath.Join(g.dir, "tmp")}, g.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.ended = cmd, make(chan struct{})
	g.rec.Add("platform  gatherer %s starts, pid %d", g.config["name"], cmd.Process.Pid)
	ended := g.ended
	go func() {
		g.err = cmd.Wait()
		g.rec.Add("platform  gatherer %s has ended: %v", g.config["name"], cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// WaitReady waits until /-/ready answers 200, at most 30 s.
func (g *Gatherer) WaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.Ended() {
			return errors.New("the gatherer has ended")
		}
		resp, err := client.Get("http://" + g.Address + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			g.rec.Add("platform  gatherer %s is ready", g.config["name"])
			return nil
		}
	}
	return errors.New("not ready within 30 s")
}

// Ended reports whether the process has ended.
func (g *Gatherer) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the program.
func (g *Gatherer) Signal(s syscall.Signal) {
	g.rec.Add("platform  %v to gatherer %s", s, g.config["name"])
	g.cmd.Process.Signal(s)
}

// MemoryKB returns a figure of /proc/PID/status in KiB, such as VmRSS.
func (g *Gatherer) MemoryKB(name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// Descriptors returns how many file descriptors the process has open.
func (g *Gatherer) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	return len(entries)
}

// Kill ends the process at once and waits for its end.
func (g *Gatherer) Kill() {
	if g.cmd == nil || g.Ended() {
		return
	}
	g.rec.Add("platform  SIGKILL to gatherer %s", g.config["name"])
	syscall.Kill(-g.cmd.Process.Pid, syscall.SIGKILL)
	<-g.ended
}

package kit2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Settings are those of a small deployment, like the first one of the operators' pages: 3 cells, 18 shards, one step,
// dep-resolve and file-search that may run again, build-claim that may not.
func Settings() Object {
	return Object{
		"balancers": 1, "myNumber": 0, "tick": 5000, "tier": 0, "zone": "north-hall", "dcs": []string{"north-hall"},
		"countedBy": "work", "discovery": "pushed", "family": "fanout", "weightSource": "rough", "overShareWorth": 0.1,
		"classes": []Object{
			{"name": "dep-resolve", "effect": "pure", "group": "all", "goalTime": 1200000, "hardLimit": 2500000, "lateValue": 0.1, "worth": 1.0, "window": 5000000},
			{"name": "file-search", "effect": "pure", "group": "all", "goalTime": 1500000, "hardLimit": 3000000, "lateValue": 0.1, "worth": 2.0, "window": 5000000},
			{"name": "build-claim", "effect": "side_effect", "group": "all", "goalTime": 1000000, "hardLimit": 3000000, "lateValue": 0.0, "worth": 1.0, "window": 5000000},
		},
		"clients": Object{"marksRetry": true},
		"domain": Object{"cells": 3, "inARow": 1, "shards": 18, "call": 27000, "partsACall": 16, "classFloor": []float64{1, 0.75, 1},
			"completeFrom": []float64{1, 0.75, 1}, "partialEarns": []float64{0.9, 0.9, 0.9}, "secondStep": []int{0, 0, 0}},
		"limits": Object{"attemptsCap": 3, "cancel": true, "connectTimeout": 250000, "cpuUsPerS": 400000, "idleClose": 30000000,
			"mostHeld": 500, "maxRetryAfter": 1000000, "mayTell": false, "probes": true, "retryAfter": true, "secondCopies": true,
			"streamsPerConn": 100},
		"loadInfo": Object{"how": "piggyback", "fields": []string{"recent_ms"}},
		"rules": Object{"answerSlack": 20000, "budgetShare": 0.05, "extraFloor": 10.0, "resendSpan": 2000000, "cold": 17000000,
			"coldShare": 0.18, "drainGrace": 250000, "fall": 2000000, "fallMultiple": 3.0, "mustAskIn": 10000000},
		"tenants": []Object{{"name": "mainline", "portion": 0.7, "quotaPerS": 100.0}, {"name": "edge", "portion": 0.3, "quotaPerS": 50.0}},
	}
}

// Gatherer is the project's gatherer as a process.
type Gatherer struct {
	Name      string
	Folder    string // for its configuration and log
	Listen    string
	Discovery string
	Known     *List
	Settings  Object
	Limits    Object
	Env       []string // beside the platform's
	MaxFiles  int      // the descriptors that the platform lets the process hold; 0: as many as the machine does
	Record    *Record

	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// FreePort is an address on loopback that nothing listens on.
func FreePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// RunCommand is `run` of the deploy file.
func RunCommand() (string, error) {
	f, err := os.Open("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), "=")
		if ok && strings.TrimSpace(key) == "run" {
			value = strings.TrimSpace(value)
			return value[1 : len(value)-1], nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// WriteConfig replaces the configuration file.
func (g *Gatherer) WriteConfig() error {
	limits := g.Limits
	if limits == nil {
		limits = Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	}
	c := Object{"name": g.Name, "listen": g.Listen, "discovery": g.Discovery, "seed": "8c1f30d27a5be964", "limits": limits,
		"settings": g.Settings}
	if g.Known != nil {
		c["known"] = g.Known
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	file := g.configFile()
	if err := os.WriteFile(file+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

func (g *Gatherer) configFile() string { return filepath.Join(g.Folder, g.Name+".json") }

// Start starts the process, as the platform does. The working directory has to be the repository's root.
func (g *Gatherer) Start() error {
	run, err := RunCommand()
	if err != nil {
		return err
	}
	if err := g.WriteConfig(); err != nil {
		return err
	}
	g.log, err = os.OpenFile(filepath.Join(g.Folder, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if g.MaxFiles > 0 { // the platform's limit on sockets, for this process alone
		run = fmt.Sprintf("ulimit -n %d; %s", g.MaxFiles, run)
	}
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + g.Folder, "NODE_NAME=" + g.Name, "NODE_LISTEN=" + g.Listen,
		"NODE_DISCOVERY=" + g.Discovery, "NODE_CONFIG=" + g.configFile()}, g.Env...)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.Record.Printf("gatherer %s started, process %d", g.Name, g.cmd.Process.Pid)
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		g.Record.Printf("gatherer %s ended: %v", g.Name, err)
		close(done)
	}(g.cmd, g.done)
	return nil
}

// Signal sends a signal to the process.
func (g *Gatherer) Signal(s syscall.Signal) {
	g.Record.Printf("gatherer %s gets %v", g.Name, s)
	_ = g.cmd.Process.Signal(s)
}

// Kill ends the process and waits for it.
func (g *Gatherer) Kill() {
	if g.cmd == nil {
		return
	}
	select {
	case <-g.done:
		return
	default:
	}
	g.Signal(syscall.SIGKILL)
	<-g.done
}

// Descriptors counts the descriptors that the process holds.
func (g *Gatherer) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	return len(entries)
}

// Ended reports whether the process has ended.
func (g *Gatherer) Ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (g *Gatherer) Done() <-chan struct{} { return g.done }

// AwaitReady waits until it says that it is ready.
func (g *Gatherer) AwaitReady(most time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r, err := client.Get("http://" + g.Listen + "/-/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == 200 {
			g.Record.Printf("gatherer %s is ready", g.Name)
			return nil
		}
	}
	return fmt.Errorf("gatherer %s is not ready after %v", g.Name, most)
}

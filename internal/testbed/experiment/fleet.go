// Package experiment runs gatherers against stand-ins on loopback and measures what comes of it.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

// Machine is one shard server of a fleet.
type Machine struct {
	Name, Zone, Kind string
	ReplicaSet       int
	shardserver.Config
}

// Fleet is a running fleet with its discovery.
type Fleet struct {
	Machines  []Machine
	Servers   map[string]*shardserver.Server
	Discovery *discoveryserver.Server

	mu        sync.Mutex
	startedAt map[string]float64 // when a machine last started, Unix milliseconds; long ago for one that is not there
}

// StartFleet starts all machines and a discovery that lists them.
func StartFleet(machines []Machine) (*Fleet, error) {
	f := &Fleet{Machines: machines, Servers: map[string]*shardserver.Server{}, startedAt: map[string]float64{}}
	var members []discoveryserver.Member
	for _, m := range machines {
		s, err := shardserver.Start(m.Config, nil)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Servers[m.Name] = s
		members = append(members, f.member(m, "in_service"))
	}
	var err error
	if f.Discovery, err = discoveryserver.Start(members); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) member(m Machine, phase string) discoveryserver.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return discoveryserver.Member{ID: m.Name, HostPort: f.Servers[m.Name].Address(), Zone: m.Zone, Kind: m.Kind, ReplicaSet: m.ReplicaSet,
		Phase: phase, Size: 1, StartedAt: f.startedAt[m.Name]}
}

// SetPhase changes the phase of machines on the list.
func (f *Fleet) SetPhase(phase string, names ...string) {
	var changed []discoveryserver.Member
	for _, m := range f.Machines {
		for _, name := range names {
			if m.Name == name {
				changed = append(changed, f.member(m, phase))
			}
		}
	}
	f.Discovery.Update(changed...)
}

// AnnounceRestart puts a machine that has just been revived on the list, as a process that has just started.
func (f *Fleet) AnnounceRestart(name string) {
	f.mu.Lock()
	f.startedAt[name] = float64(time.Now().UnixMilli())
	f.mu.Unlock()
	f.SetPhase("in_service", name)
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}

// Gatherer is a gatherer in a process of its own.
type Gatherer struct {
	*process.Process
	Address string
	dir     string
}

// settings are what the platform would tell of this fleet.
type settings map[string]any

// GathererConfig are what one gatherer is told.
type GathererConfig struct {
	Name, Zone        string
	Number, Gatherers int
	Discovery         string
	Settings          settings // without the gatherer's own
	Operator          string   // text of an operator's file, empty for none
	Files             map[string]string
	MemoryMB          float64
	Cores             float64
}

// StartGatherer starts a gatherer and waits until it is ready.
func StartGatherer(binary string, terms GathererConfig) (*Gatherer, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Gatherer{Address: free.Addr().String()}
	free.Close()
	if n.dir, err = os.MkdirTemp("", "yokeroute-testbed"); err != nil {
		return nil, err
	}
	own := settings{"balancers": terms.Gatherers, "myNumber": terms.Number, "zone": terms.Zone}
	for key, value := range terms.Settings {
		own[key] = value
	}
	text, err := json.Marshal(map[string]any{"name": terms.Name, "listen": n.Address, "discovery": terms.Discovery, "seed": fmt.Sprintf("%x", terms.Number+1),
		"limits": map[string]any{"cores": max(terms.Cores, 0.1), "memory_mb": max(terms.MemoryMB, 32), "sockets": 1024}, "settings": own})
	if err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", filepath.Join(n.dir, "config.json")}
	files := map[string]string{"config.json": string(text)}
	for name, text := range terms.Files {
		files[name] = text
	}
	if terms.Operator != "" {
		files["operator.conf"] = terms.Operator
		args = append(args, "--operator", filepath.Join(n.dir, "operator.conf"))
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(n.dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	if n.Process, err = process.Start(terms.Name, binary, args, nil); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = process.WaitUntil(ctx, terms.Name+" is ready", func() bool { return !n.Alive() || IsReady(n.Address) })
	if err == nil && !n.Alive() {
		err = fmt.Errorf("gatherer %s ended at its start: %v", terms.Name, n.Err())
	}
	if err != nil {
		n.Close()
		return nil, fmt.Errorf("%w: %s", err, n.Log())
	}
	return n, nil
}

// probeClient keeps no connections, which a gatherer that ends would wait for.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// IsReady reports whether a gatherer says that it takes lookups.
func IsReady(address string) bool {
	resp, err := probeClient.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends the process as a planned restart does, by force after some seconds.
func (n *Gatherer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if n.Terminate(ctx) != nil {
		n.Kill()
	}
	os.RemoveAll(n.dir)
}

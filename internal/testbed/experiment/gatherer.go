package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/testbed/reservedport"
)

// How long a gatherer may take to start and to shut down, and an answer to whether it is ready.
const (
	startTimeout    = 10 * time.Second
	shutdownTimeout = 10 * time.Second
	probeTimeout    = time.Second
)

// The least resources of a gatherer, and its sockets.
const (
	minCores    = 0.1
	minMemoryMB = 32
	socketLimit = 1024
)

// Gatherer is a gatherer in a process of its own.
type Gatherer struct {
	*process.Process
	Address string
	port    *reservedport.Port
	dir     string
}

// settings are the platform's settings of a gatherer, by their keys in its JSON.
type settings map[string]any

// GathererConfig is the configuration of a gatherer.
type GathererConfig struct {
	Name      string
	Zone      string
	Number    int
	Gatherers int // of the fleet
	Discovery string
	Settings  settings          // without those that differ between gatherers
	Operator  string            // text of an operator's file, empty for none
	Files     map[string]string // texts by name, in the folder of the operator's file
	MemoryMB  float64
	Cores     float64
}

// StartGatherer starts a gatherer and waits until it is ready.
func StartGatherer(binary string, config GathererConfig) (*Gatherer, error) {
	port, err := reservedport.Reserve("127.0.0.1")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "yokeroute-testbed")
	if err != nil {
		port.Release()
		return nil, err
	}
	g := &Gatherer{Address: port.Address(), port: port, dir: dir}
	args, err := g.writeFiles(config)
	if err == nil {
		g.Process, err = process.Start(config.Name, binary, args, nil)
	}
	if err != nil {
		port.Release()
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	if err := g.awaitReady(config.Name); err != nil {
		g.Close()
		return nil, fmt.Errorf("%w: %s", err, g.Log())
	}
	return g, nil
}

// writeFiles writes a gatherer's files into its folder, and returns the arguments that name them.
func (g *Gatherer) writeFiles(config GathererConfig) (args []string, err error) {
	platform, err := platformConfig(config, g.Address)
	if err != nil {
		return nil, err
	}
	args = []string{"serve", "--config", filepath.Join(g.dir, "config.json")}
	files := map[string]string{"config.json": string(platform)}
	maps.Copy(files, config.Files)
	if config.Operator != "" {
		files["operator.conf"] = config.Operator
		args = append(args, "--operator", filepath.Join(g.dir, "operator.conf"))
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(g.dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// platformConfig returns the platform's JSON of a gatherer.
func platformConfig(config GathererConfig, address string) ([]byte, error) {
	all := settings{"balancers": config.Gatherers, "myNumber": config.Number, "zone": config.Zone}
	maps.Copy(all, config.Settings)
	return json.Marshal(map[string]any{
		"name":      config.Name,
		"listen":    address,
		"discovery": config.Discovery,
		"seed":      fmt.Sprintf("%x", config.Number+1),
		"limits": map[string]any{
			"cores":     max(config.Cores, minCores),
			"memory_mb": max(config.MemoryMB, minMemoryMB),
			"sockets":   socketLimit,
		},
		"settings": all,
	})
}

func (g *Gatherer) awaitReady(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err := process.WaitUntil(ctx, name+" is ready", func() bool { return !g.Alive() || IsReady(g.Address) })
	if err != nil {
		return err
	}
	if g.Alive() {
		return nil
	}
	if err := g.Err(); err != nil {
		return fmt.Errorf("gatherer %s ended at its start: %w", name, err)
	}
	return fmt.Errorf("gatherer %s ended at its start with status 0", name)
}

// probeClient keeps no connections, which a gatherer that shuts down would wait for.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}

// IsReady reports whether a gatherer says that it accepts queries.
func IsReady(address string) bool {
	resp, err := probeClient.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close shuts the process down as a planned restart does, and kills it if that takes too long.
func (g *Gatherer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if g.Terminate(ctx) != nil {
		g.Kill()
	}
	g.port.Release()
	_ = os.RemoveAll(g.dir) // a folder of temporary files that stays does no harm
}

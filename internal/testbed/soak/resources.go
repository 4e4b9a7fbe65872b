package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
)

const (
	// resourceTimeout is how long after a load a gatherer may still hold what it took for it: clients' idle connections
	// end after 2 s, queries after 3 s at most.
	resourceTimeout = 6 * time.Second

	// pauseTime is how long the front's connections take to end once it is paused.
	pauseTime = time.Second

	// reportCloseTime is how long the connection takes to end on which a report was read.
	reportCloseTime = 50 * time.Millisecond

	// What a gatherer's connection to a shard server or to a policy server takes.
	descriptorsPerConnection = 1
	goroutinesPerConnection  = 2
)

// resources are what a gatherer's process holds beside its connections to shard servers, which it keeps for later
// queries.
type resources struct {
	descriptors, goroutines int
}

func (r resources) String() string {
	return fmt.Sprintf("%d descriptors and %d goroutines", r.descriptors, r.goroutines)
}

// resourcesOf reads what a gatherer holds.
func resourcesOf(ctx context.Context, g *processtest.Gatherer) (resources, error) {
	d, err := readReport(ctx, g)
	if err != nil {
		return resources{}, err
	}
	wait(ctx, reportCloseTime)
	open, err := os.ReadDir(descriptorFolder(g))
	if err != nil {
		return resources{}, err
	}
	return resources{
		descriptors: len(open) - descriptorsPerConnection*d.OpenConnections,
		goroutines:  d.Goroutines - goroutinesPerConnection*d.OpenConnections,
	}, nil
}

func descriptorFolder(g *processtest.Gatherer) string {
	return filepath.Join("/proc", strconv.Itoa(g.Process().PID()), "fd")
}

// describeDescriptors names what the descriptors of a gatherer are.
func describeDescriptors(g *processtest.Gatherer, sockets map[string]process.TCPSocket) string {
	folder := descriptorFolder(g)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err.Error()
	}
	var open []string
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		if err != nil { // closed since
			continue
		}
		if socket, isTCP := sockets[target]; isTCP {
			target = socket.String()
		}
		open = append(open, target)
	}
	return fmt.Sprintf("%s: %v", g.Name, open)
}

// resourcesBefore reads what each gatherer of a fleet holds before its first load.
func resourcesBefore(ctx context.Context, f *processtest.Fleet) (map[string]resources, error) {
	defer f.Front.Pause()()
	wait(ctx, pauseTime)
	before := map[string]resources{}
	for _, g := range f.Gatherers {
		r, err := resourcesOf(ctx, g)
		if err != nil {
			return nil, err
		}
		before[g.Name] = r
	}
	return before, nil
}

// checkResources wants every gatherer to hold no more than before the day. Each policy server may have a connection
// that was not needed then.
func checkResources(ctx context.Context, f *processtest.Fleet, before map[string]resources) error {
	defer f.Front.Pause()()
	ctx, cancel := context.WithTimeout(ctx, resourceTimeout)
	defer cancel()
	var excess, last []string
	err := process.WaitUntil(ctx, "gatherers hold no more than before the day", func() bool {
		excess = nil
		for _, g := range f.Gatherers {
			allowed := before[g.Name]
			allowed.descriptors += descriptorsPerConnection * len(f.PolicyServers)
			allowed.goroutines += goroutinesPerConnection * len(f.PolicyServers)
			now, err := resourcesOf(ctx, g)
			switch {
			case ctx.Err() != nil: // what was seen before says more
				return false
			case err != nil:
				excess = append(excess, fmt.Sprintf("%s: %v", g.Process().Name, err))
			case now.descriptors > allowed.descriptors || now.goroutines > allowed.goroutines:
				excess = append(excess, fmt.Sprintf("%s has %v, may have %v", g.Process().Name, now, allowed))
			}
		}
		last = excess
		return len(excess) == 0
	})
	if err != nil {
		sockets := process.TCPSockets()
		for _, g := range f.Gatherers {
			last = append(last, describeDescriptors(g, sockets))
			g.Process().DescribeHang() // its goroutines go to its log
		}
		return fmt.Errorf("%w: %s", err, strings.Join(last, "; "))
	}
	return nil
}

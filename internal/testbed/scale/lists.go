package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/testbed/standin/discoveryserver"
)

// ListCost is what the list of shard servers costs one gatherer, over HTTP from a stand-in for discovery.
type ListCost struct {
	Servers      int
	FullBytes    int           // of the whole list
	StartCPU     time.Duration // to read and take over the whole list, the stand-in's work included
	StartTime    time.Duration
	ChangeBytes  int // of a change of one server
	ChangeCPU    time.Duration
	ChangeTime   time.Duration
	ZoneBytes    int // of a change of one server in twelve
	ZoneCPU      time.Duration
	ZoneTime     time.Duration
	RecoveryTime time.Duration // after discovery was silent
	Memory       uint64        // that the list takes in a gatherer
}

// Of a list: a server's capacity and where one listens, and how long a measurement may wait for a list to be told.
const (
	listPort    = 8000
	listTimeout = 60 * time.Second
	silentTime  = 2 * time.Second
	zoneDivisor = DesignZones // one in so many stands in the zone that is lost
)

// listMembers is a list of so many servers.
func listMembers(servers int) []discoveryserver.Member {
	members := make([]discoveryserver.Member, servers)
	for i := range members {
		members[i] = discoveryserver.Member{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, listPort),
			Zone: fmt.Sprintf("region-%d/zone-%d", i%DesignRegions, i%DesignZones), Kind: "m2", ReplicaSet: i / 3, Phase: "in_service", Size: 1, StartedAt: 1.7e12 + float64(i)}
	}
	return members
}

// listReader is the reader of one gatherer's list, with what it was told.
type listReader struct {
	received chan gather.EndpointList
	stop     context.CancelFunc
	done     chan struct{}
}

func startListReader(ctx context.Context, address string) *listReader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &listReader{received: make(chan gather.EndpointList, 1024), done: make(chan struct{})}
	follower := discovery.New(discovery.Config{Address: address, OnChange: func(l gather.EndpointList, _ []shardcall.Address) {
		if l.Full || len(l.Endpoints) > 0 {
			r.received <- l
		}
	}, Log: log})
	ctx, r.stop = context.WithCancel(ctx)
	go func() {
		defer close(r.done)
		follower.Run(ctx)
	}()
	return r
}

// awaitEntries waits until so many entries have been told.
func (r *listReader) awaitEntries(ctx context.Context, entries int) error {
	limit := time.NewTimer(listTimeout)
	defer limit.Stop()
	for entries > 0 {
		select {
		case l := <-r.received:
			entries -= len(l.Endpoints)
		case <-limit.C:
			return fmt.Errorf("lists: %d entries were not told within %s", entries, listTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// MeasureLists measures what a list of so many servers costs.
func MeasureLists(ctx context.Context, servers int) (c ListCost, err error) {
	if servers < zoneDivisor {
		return c, fmt.Errorf("lists: %d servers, at least %d are needed", servers, zoneDivisor)
	}
	members := listMembers(servers)
	c = ListCost{Servers: servers, FullBytes: listBytes(members), ChangeBytes: listBytes(members[:1]), ZoneBytes: listBytes(members[:servers/zoneDivisor])}
	agent, err := discoveryserver.Start(members)
	if err != nil {
		return c, err
	}
	defer agent.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var reader *listReader
	defer func() {
		if reader != nil {
			reader.stop()
			<-reader.done
		}
	}()
	step := func(entries int, do func()) (used, told time.Duration, err error) {
		began, from := processorTime(), time.Now()
		do()
		err = reader.awaitEntries(ctx, entries)
		return processorTime() - began, time.Since(from), err
	}
	if c.StartCPU, c.StartTime, err = step(servers, func() { reader = startListReader(ctx, agent.Address()) }); err != nil {
		return c, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.Memory = after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
	drain := func(n int) func() {
		changed := slices.Clone(members[:n])
		for i := range changed {
			changed[i].Phase = "terminating"
		}
		return func() { agent.Update(changed...) }
	}
	if c.ChangeCPU, c.ChangeTime, err = step(1, drain(1)); err != nil {
		return c, err
	}
	zone := servers / zoneDivisor
	if c.ZoneCPU, c.ZoneTime, err = step(zone, drain(zone)); err != nil {
		return c, err
	}
	agent.SetSilent(true)
	select {
	case <-ctx.Done():
		return c, ctx.Err()
	case <-time.After(silentTime):
	}
	_, c.RecoveryTime, err = step(1, func() {
		agent.SetSilent(false)
		agent.Update(members[servers-1])
	})
	return c, err
}

// listBytes is the length of an answer of discovery that holds the entries.
func listBytes(members []discoveryserver.Member) int {
	text, err := json.Marshal(members)
	if err != nil {
		return 0
	}
	return len(text) + len(`{"revision":1,"complete":true,"members":}`)
}

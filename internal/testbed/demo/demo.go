// Package demo shows a gatherer at work: stand-in shard servers, discovery and a gatherer on loopback in one process,
// with light traffic, and what the gatherer knows and decides while it goes on.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/service"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

// Options are the options of a demonstration.
type Options struct {
	Listen string  // the gatherer's address; if it is taken, another port is used
	Rate   float64 // queries a second of light traffic, 0 for none
	Seed   uint64
}

// Demo is a running demonstration.
type Demo struct {
	Address string // of the gatherer
	Fleet   *experiment.Fleet
	Counts  Counts

	service *service.Service
	log     *logBuffer
	stop    context.CancelFunc
	done    chan error     // receives how the gatherer ended
	load    sync.WaitGroup // light traffic

	mu     sync.Mutex
	faults map[string]string // by machine
}

// The fleet of the demonstration.
const (
	sets          = 2
	replicas      = 3
	shards        = 12
	cores         = 2
	work          = 20.0 // milliseconds of a shard request
	firstPassWork = 2.0
	workVariation = 0.5
	queueLimit    = 100
)

var zones = []string{"north", "south"}

// Of light traffic: its latency objective, as in the settings, and its deadline. It ends with the demonstration.
const (
	latencyObjective = 400 * time.Millisecond
	queryDeadline    = 2 * time.Second
	trafficDuration  = 1000 * time.Hour
)

// traffic is the light traffic by class, with each class's share of the rate.
var traffic = []struct {
	class         string
	share         float64
	shardRequests int
}{
	{"find", 0.5, 4},
	{"search", 0.3, 8},
	{"claim", 0.2, 2},
}

// The operator's file of the gatherer.
const (
	tracesKept      = 200
	backgroundShare = 0.05
)

// settings are the platform's settings of the fleet.
const settings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"north","discovery":"pushed",
 "classes":[{"name":"find","effect":"pure","goalTime":400000,"hardLimit":2000000,"lateValue":0.1},
  {"name":"search","effect":"pure","goalTime":400000,"hardLimit":2000000,"lateValue":0.1},
  {"name":"claim","effect":"side_effect","goalTime":400000,"hardLimit":2000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"partsACall":16,"completeFrom":[1,0.75,1],"classFloor":[1,0.75,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":100,"attemptsCap":3,"secondCopies":true,
  "retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.05,"extraFloor":10,"resendSpan":2000000,"drainGrace":250000,"answerSlack":20000,
  "cold":10000000,"coldShare":0.2,"fall":2000000,"fallMultiple":3}}`

// Start starts the fleet, the gatherer and the light traffic.
func Start(options Options) (*Demo, error) {
	fleet, err := experiment.StartFleet(machines(options.Seed))
	if err != nil {
		return nil, err
	}
	l, err := listen(options.Listen)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	d := &Demo{
		Address: l.Addr().String(),
		Fleet:   fleet,
		log:     &logBuffer{},
		done:    make(chan error, 1),
		faults:  map[string]string{},
	}
	if d.service, err = d.newService(options.Seed); err != nil {
		l.Close()
		fleet.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.done <- d.service.Run(ctx, l) }()
	if options.Rate > 0 {
		d.startTraffic(ctx, options)
	}
	return d, nil
}

// machines returns the machines of the fleet.
func machines(seed uint64) []experiment.Machine {
	var all []experiment.Machine
	for set := range sets {
		for i := range replicas {
			zone := zones[i%len(zones)]
			config := shardserver.Config{
				Cores:         cores,
				MeanWork:      work,
				WorkVariation: workVariation,
				QueueLimit:    queueLimit,
				FirstPassWork: firstPassWork,
				Seed:          seed + uint64(len(all)),
			}
			name := fmt.Sprintf("%s-%d%d", zone, set, i)
			all = append(all, experiment.Machine{Name: name, Zone: zone, Kind: "stand-in", ReplicaSet: set, Config: config})
		}
	}
	return all
}

// listen listens on an address, or on any port of loopback if that fails: the address is printed anyway.
func listen(address string) (net.Listener, error) {
	if l, err := net.Listen("tcp", address); err == nil {
		return l, nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// newService returns the gatherer.
func (d *Demo) newService(seed uint64) (*service.Service, error) {
	text, err := json.Marshal(map[string]any{
		"name":      "demo",
		"listen":    d.Address,
		"discovery": d.Fleet.Discovery.Address(),
		"seed":      fmt.Sprintf("%x", seed),
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	config, err := platform.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(d.log)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	file := &operator.File{TracesKept: tracesKept, TraceShare: 1, BackgroundShare: backgroundShare}
	s, err := service.New(config, file, log)
	if err != nil {
		return nil, err
	}
	s.Picker.ObserveDecisions(counter{d})
	return s, nil
}

// startTraffic starts the light traffic.
func (d *Demo) startTraffic(ctx context.Context, options Options) {
	for i, t := range traffic {
		load := experiment.Load{
			Origin:        fmt.Sprint("light", i),
			Address:       d.Address,
			Class:         t.class,
			Rate:          options.Rate * t.share,
			ShardRequests: t.shardRequests,
			Shards:        shards,
			Deadline:      queryDeadline,
			Seed:          options.Seed + uint64(i),
		}
		d.load.Go(func() { experiment.Play(ctx, load, trafficDuration, latencyObjective) })
	}
}

// Close ends the demonstration. The gatherer shuts down as in a planned restart.
func (d *Demo) Close() error {
	d.stop()
	d.load.Wait()
	err := <-d.done
	d.Fleet.Close()
	return err
}

// Curl returns a command that sends a query.
func (d *Demo) Curl() string {
	return fmt.Sprintf("curl -i http://%s/find -H 'X-Request-ID: by-hand-'$RANDOM -H 'X-Timeout-Ms: 800' -d "+
		"'{\"shards\":[{\"shard\":3,\"weight\":0.5},{\"shard\":4,\"weight\":0.5}],\"q\":\"c41e77d0\"}'", d.Address)
}

// LogLines are the newest lines of the gatherer's log.
func (d *Demo) LogLines(n int) []string { return d.log.last(n) }

// WriteLines writes a line a second until ctx ends, for where there is no terminal.
func (d *Demo) WriteLines(ctx context.Context, w io.Writer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		fmt.Fprintln(w, d.Counts.Summary())
		var words []string
		for _, m := range d.Machines(ctx) {
			words = append(words, fmt.Sprintf("%s s=%.0fms f=%.2f q=%d", m.Name, m.Latency, m.FailureShare, m.InFlight))
		}
		fmt.Fprintln(w, " ", strings.Join(words, "  "))
	}
}

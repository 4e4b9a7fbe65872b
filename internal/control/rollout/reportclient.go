package rollout

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/logic/rollout"
)

const (
	// reportTimeout limits the time of a request to a gatherer. It is short so that a slow gatherer does not delay the
	// round; it counts as unreachable for this round.
	reportTimeout = 2 * time.Second

	idleConnTimeout = 30 * time.Second
	maxRequests     = 64 // limit of concurrent requests to gatherers
)

// reportClient sends report and claim requests to the gatherers of a plan. Each report covers the time since the
// checkpoint of the last report that was received, so that a lost response loses no counts. Slices are indexed by
// gatherer.
type reportClient struct {
	plan         *Plan
	http         *http.Client
	checkpoints  []string
	lastReports  []*report.Document // entries are nil before the first report
	lastReportAt []time.Time
	oldBuilds    []rollout.BuildInfo
	newBuilds    []rollout.BuildInfo
}

// newReportClient returns a client after it has read the fingerprints of both releases for each gatherer.
func newReportClient(p *Plan) (*reportClient, error) {
	n := len(p.Gatherers)
	c := &reportClient{
		plan:         p,
		checkpoints:  make([]string, n),
		lastReports:  make([]*report.Document, n),
		lastReportAt: make([]time.Time, n),
		oldBuilds:    make([]rollout.BuildInfo, n),
		newBuilds:    make([]rollout.BuildInfo, n),
		http: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     2,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}},
	}
	for g := range p.Gatherers {
		var err error
		if c.oldBuilds[g], err = p.buildInfo(g, rollout.Old); err != nil {
			return nil, err
		}
		if c.newBuilds[g], err = p.buildInfo(g, rollout.New); err != nil {
			return nil, err
		}
		if c.oldBuilds[g] == c.newBuilds[g] {
			return nil, fmt.Errorf("gatherer %s: its old and new releases are identical, want them to differ",
				p.Gatherers[g].Name)
		}
	}
	return c, nil
}

// do sends a request to the report server of a gatherer.
func (c *reportClient) do(ctx context.Context, g int, method, target string, body []byte) (*http.Response, error) {
	address := "http://" + c.plan.Processes[g].ReportAddress
	req, err := http.NewRequestWithContext(ctx, method, address+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// forEachGatherer calls do for all gatherers, up to maxRequests of them concurrently, and returns once all calls have.
func (c *reportClient) forEachGatherer(do func(g int)) {
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxRequests)
	for g := range c.plan.Gatherers {
		requests.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do(g)
		})
	}
	requests.Wait()
}

// fetchReport fetches a gatherer's report and checks that it comes from the gatherer of that name.
func (c *reportClient) fetchReport(ctx context.Context, g int) (*report.Document, error) {
	target := report.ReportPath + "?since=" + url.QueryEscape(c.checkpoints[g])
	resp, err := c.do(ctx, g, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("report request got status %s, want 200 OK", resp.Status)
	}
	d, err := report.Read(resp.Body)
	if err != nil {
		return nil, err
	}
	if d.Name != c.plan.Gatherers[g].Name {
		return nil, fmt.Errorf("report address belongs to gatherer %q; correct the address in the plan", d.Name)
	}
	return d, nil
}

// observe fetches the reports of all gatherers.
func (c *reportClient) observe(ctx context.Context, now float64) rollout.Observation {
	o := rollout.Observation{Now: now, Gatherers: make([]rollout.GathererSample, len(c.plan.Gatherers))}
	c.forEachGatherer(func(g int) {
		d, err := c.fetchReport(ctx, g)
		if err != nil {
			o.Gatherers[g].Fault = err.Error()
			return
		}
		o.Gatherers[g] = c.sample(g, d)
	})
	return o
}

// sample converts a report into a sample for the strategy, and stores it as the gatherer's last report. The counts are
// 0 unless the report covers only the time since the last report or the gatherer's restart.
func (c *reportClient) sample(g int, d *report.Document) rollout.GathererSample {
	previous := ""
	if last := c.lastReports[g]; last != nil {
		previous = last.Incarnation
	}
	coversInterval := d.SinceCheckpoint != "" || rollout.Restarted(d.Incarnation, previous)
	c.checkpoints[g] = d.Checkpoint
	c.lastReports[g] = d
	c.lastReportAt[g] = time.Now()
	build := rollout.BuildInfo{
		Program:  d.Program,
		Config:   d.Files["config"],
		Operator: d.Files["operator"],
		Version:  d.Version,
	}
	s := rollout.GathererSample{
		Reachable:   true,
		Variant:     rollout.Classify(c.oldBuilds[g], c.newBuilds[g], build),
		Ready:       d.Ready && !d.ShuttingDown,
		Incarnation: d.Incarnation,
		Uptime:      d.ReportedAt - d.StartedAt,
		Connections: float64(d.OpenConnections),
		Memory:      d.ResidentMemory,
	}
	for _, class := range c.plan.Classes {
		counts := rollout.ClassCounts{}
		if stats := d.Classes[class]; stats != nil && coversInterval {
			counts = classCounts(stats)
		}
		s.Classes = append(s.Classes, counts)
	}
	return s
}

func classCounts(s *report.ClassStats) rollout.ClassCounts {
	return rollout.ClassCounts{
		Queries:       float64(s.Queries),
		EarnedValue:   s.EarnedValue,
		Rejected:      float64(s.Rejected),
		Failed:        float64(s.Failed + s.InternalErrors),
		ShardRequests: float64(s.ShardRequests),
		Attempts:      float64(s.Attempts),
		ExtraAttempts: float64(s.ExtraAttempts),
		Latency:       s.Latency.Histogram,
	}
}

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
	"yokeroute/internal/inflight"
	"yokeroute/logic/rollout"
)

const (
	// reportTimeout limits the wait for a gatherer in a round. It is short so that a slow gatherer does not delay the
	// round; it counts as unreachable for this round, and a later round uses its response.
	reportTimeout = 2 * time.Second

	idleConnTimeout = 30 * time.Second
	maxRequests     = 64 // limit of gatherers that are waited for concurrently
	// maxReportRequests and maxClaimRequests limit the requests of each kind in flight to one gatherer.
	maxReportRequests = 3
	maxClaimRequests  = 3
	// maxConns limits the connections to one gatherer. A step makes a claim of its own.
	maxConns = maxReportRequests + maxClaimRequests + 1
)

// reportClient sends report and claim requests to the gatherers of a plan. Each report covers the time since the
// checkpoint of the last report that was received, so that a lost response loses no counts. Slices are indexed by
// gatherer.
type reportClient struct {
	plan         *Plan
	http         *http.Client
	reports      []*inflight.Set[struct{}, *report.Document]
	claims       []*inflight.Set[struct{}, struct{}]
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
		reports:      newSets[*report.Document](n, maxReportRequests),
		claims:       newSets[struct{}](n, maxClaimRequests),
		checkpoints:  make([]string, n),
		lastReports:  make([]*report.Document, n),
		lastReportAt: make([]time.Time, n),
		oldBuilds:    make([]rollout.BuildInfo, n),
		newBuilds:    make([]rollout.BuildInfo, n),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     maxConns,
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

// newSets returns a set of requests in flight for each of n gatherers.
func newSets[Response any](n, maxRequests int) []*inflight.Set[struct{}, Response] {
	sets := make([]*inflight.Set[struct{}, Response], n)
	for g := range sets {
		sets[g] = inflight.NewSet[struct{}, Response](maxRequests)
	}
	return sets
}

// close cancels the requests in flight.
func (c *reportClient) close() {
	for g := range c.plan.Gatherers {
		c.reports[g].Close()
		c.claims[g].Close()
	}
	c.http.CloseIdleConnections()
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

// requestReport fetches a gatherer's report since a checkpoint and checks that it comes from the gatherer of that name.
func (c *reportClient) requestReport(ctx context.Context, g int, checkpoint string) (*report.Document, error) {
	target := report.ReportPath + "?since=" + url.QueryEscape(checkpoint)
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

// fetchReport returns the next report of a gatherer, which an earlier round may have requested. All requests in flight
// have the same checkpoint, because a report cancels the others.
func (c *reportClient) fetchReport(ctx context.Context, g int) (*report.Document, error) {
	checkpoint := c.checkpoints[g]
	request := c.reports[g].Start(ctx, struct{}{},
		func(ctx context.Context, _ *inflight.Request[struct{}]) (*report.Document, error) {
			return c.requestReport(ctx, g, checkpoint)
		})
	return c.reports[g].Await(ctx, request, reportTimeout, func(error) bool { return false })
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

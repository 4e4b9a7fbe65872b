package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/rollout"
)

// reportClient asks gatherers what they tell of themselves, each since the mark of its last answer, so that an answer that
// is lost loses nothing.
type reportClient struct {
	plan         *Plan
	http         *http.Client
	checkpoints  []string
	lastReports  []*report.Document // newest, nil before the first
	lastReportAt []time.Time        // of told
	oldBuilds    []rollout.BuildInfo
	newBuilds    []rollout.BuildInfo
}

// reportTimeout is how long a gatherer may take to tell. It is little: who tells late is not reached for this time.
const reportTimeout = 2 * time.Second

func newReportClient(p *Plan) (*reportClient, error) {
	n := len(p.Gatherers)
	t := &reportClient{plan: p, checkpoints: make([]string, n), lastReports: make([]*report.Document, n), lastReportAt: make([]time.Time, n), oldBuilds: make([]rollout.BuildInfo, n), newBuilds: make([]rollout.BuildInfo, n),
		http: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
	for g := range p.Gatherers {
		var err error
		if t.oldBuilds[g], err = p.buildInfo(p.Old, g); err != nil {
			return nil, err
		}
		if t.newBuilds[g], err = p.buildInfo(p.New, g); err != nil {
			return nil, err
		}
		if t.oldBuilds[g] == t.newBuilds[g] {
			return nil, fmt.Errorf("gatherer %s: its old and its new files are the same to the byte", p.Gatherers[g].Name)
		}
	}
	return t, nil
}

// do sends one gatherer a request at its report's address.
func (t *reportClient) do(ctx context.Context, g int, method, target string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.plan.Processes[g].ReportAddress+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return t.http.Do(req)
}

// forEachGatherer does the same for all gatherers at once, as far as so many may be.
func (t *reportClient) forEachGatherer(do func(g int)) {
	var wait sync.WaitGroup
	places := make(chan struct{}, 64)
	for g := range t.plan.Gatherers {
		wait.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			do(g)
		})
	}
	wait.Wait()
}

// fetchReport asks one gatherer.
func (t *reportClient) fetchReport(ctx context.Context, g int) (*report.Document, error) {
	resp, err := t.do(ctx, g, http.MethodGet, report.ReportPath+"?since="+url.QueryEscape(t.checkpoints[g]), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answers %s", resp.Status)
	}
	d, err := report.Read(resp.Body)
	if err != nil {
		return nil, err
	}
	if d.Name != t.plan.Gatherers[g].Name {
		return nil, fmt.Errorf("is %q, which tells there", d.Name)
	}
	return d, nil
}

// observe asks all gatherers at once.
func (t *reportClient) observe(ctx context.Context, now float64) rollout.Observation {
	o := rollout.Observation{Now: now, Gatherers: make([]rollout.GathererSample, len(t.plan.Gatherers))}
	t.forEachGatherer(func(g int) {
		d, err := t.fetchReport(ctx, g)
		if err != nil {
			o.Gatherers[g].Fault = err.Error()
			return
		}
		o.Gatherers[g] = t.sample(g, d)
	})
	return o
}

// sample puts a report into the decisions' form.
func (t *reportClient) sample(g int, d *report.Document) rollout.GathererSample {
	before := ""
	if t.lastReports[g] != nil {
		before = t.lastReports[g].Incarnation
	}
	counts := d.SinceCheckpoint != "" || rollout.Restarted(d.Incarnation, before)
	told := rollout.BuildInfo{Program: d.Program, Config: d.Files["config"], Operator: d.Files["operator"], Version: d.Version}
	t.checkpoints[g], t.lastReports[g], t.lastReportAt[g] = d.Checkpoint, d, time.Now()
	s := rollout.GathererSample{Reachable: true, Variant: rollout.Classify(t.oldBuilds[g], t.newBuilds[g], told), Ready: d.Ready && !d.ShuttingDown, Incarnation: d.Incarnation, Uptime: d.ReportedAt - d.StartedAt, Connections: float64(d.OpenConnections), Memory: d.ResidentMemory}
	for _, name := range t.plan.Classes {
		ix := d.Classes[name]
		if ix == nil || !counts {
			s.Classes = append(s.Classes, rollout.ClassCounts{})
			continue
		}
		s.Classes = append(s.Classes, rollout.ClassCounts{Queries: float64(ix.Queries), EarnedValue: ix.EarnedValue, Rejected: float64(ix.Rejected), Failed: float64(ix.Failed + ix.InternalErrors), ShardRequests: float64(ix.ShardRequests),
			Attempts: float64(ix.Attempts), ExtraAttempts: float64(ix.ExtraAttempts), Latency: ix.Latency.Histogram})
	}
	return s
}

// errClaimed is a gatherer that another run holds.
var errClaimed = errors.New("is being changed by another run")

// claimRefused reports whether a claim was answered with no; one that was not answered may hold nothing.
func claimRefused(err error) bool {
	return errors.Is(err, errClaimed) || errors.Is(err, statedir.ErrTaken)
}

// claim claims a gatherer for a time. Where another run holds it, or this run by a later controller, the error says so.
func (t *reportClient) claim(ctx context.Context, g int, run string, fence uint64, length time.Duration) error {
	text, err := json.Marshal(map[string]any{"run": run, "fence": fence, "for": length.Milliseconds()})
	if err != nil {
		return err
	}
	resp, err := t.do(ctx, g, http.MethodPost, report.ClaimPath, text)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		var held rollout.Claim
		if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&held); err != nil {
			return err
		}
		if held.RunID == run { // found here before the run's folder was looked at again
			return fmt.Errorf("%w: gatherer %s is held by controller %d", statedir.ErrTaken, t.plan.Gatherers[g].Name, held.FencingToken)
		}
		return fmt.Errorf("gatherer %s %w: %s, controller %d", t.plan.Gatherers[g].Name, errClaimed, held.RunID, held.FencingToken)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answers %s", resp.Status)
	}
	return nil
}

// release gives a claim back; one that can't be given back runs out.
func (t *reportClient) release(ctx context.Context, g int, run string, fence uint64) {
	target := report.ClaimPath + "?run=" + url.QueryEscape(run) + "&fence=" + strconv.FormatUint(fence, 10)
	if resp, err := t.do(ctx, g, http.MethodDelete, target, nil); err == nil {
		resp.Body.Close()
	}
}

// claimAll claims all that can be reached, or says who holds one.
func (t *reportClient) claimAll(ctx context.Context, run string, fence uint64) error {
	var mu sync.Mutex
	var held error
	t.forEachGatherer(func(g int) {
		if err := t.claim(ctx, g, run, fence, claimDuration); claimRefused(err) {
			mu.Lock()
			defer mu.Unlock()
			held = err
		}
	})
	return held
}

// claimDuration is for how long a claim holds that is not made again.
const claimDuration = time.Minute

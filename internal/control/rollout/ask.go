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

// teller asks gatherers what they tell of themselves, each since the mark of its last answer, so that an answer that
// is lost loses nothing.
type teller struct {
	p     *Plan
	http  *http.Client
	marks []string
	told  []*report.Document // newest, nil before the first
	at    []time.Time        // of told
	old   []rollout.Marks
	new   []rollout.Marks
}

// patience is how long a gatherer may take to tell. It is little: who tells late is not reached for this time.
const patience = 2 * time.Second

func newTeller(p *Plan) (*teller, error) {
	n := len(p.Gatherers)
	t := &teller{p: p, marks: make([]string, n), told: make([]*report.Document, n), at: make([]time.Time, n), old: make([]rollout.Marks, n), new: make([]rollout.Marks, n),
		http: &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
	for g := range p.Gatherers {
		var err error
		if t.old[g], err = p.marksOf(p.Old, g); err != nil {
			return nil, err
		}
		if t.new[g], err = p.marksOf(p.New, g); err != nil {
			return nil, err
		}
		if t.old[g] == t.new[g] {
			return nil, fmt.Errorf("gatherer %s: its old and its new files are the same to the byte", p.Gatherers[g].Name)
		}
	}
	return t, nil
}

// send sends one gatherer a request at its report's address.
func (t *teller) send(ctx context.Context, g int, method, target string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.p.Machines[g].Report+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return t.http.Do(req)
}

// each does the same for all gatherers at once, as far as so many may be.
func (t *teller) each(do func(g int)) {
	var wait sync.WaitGroup
	places := make(chan struct{}, 64)
	for g := range t.p.Gatherers {
		wait.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			do(g)
		})
	}
	wait.Wait()
}

// ask asks one gatherer.
func (t *teller) ask(ctx context.Context, g int) (*report.Document, error) {
	resp, err := t.send(ctx, g, http.MethodGet, report.Path+"?since="+url.QueryEscape(t.marks[g]), nil)
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
	if d.Name != t.p.Gatherers[g].Name {
		return nil, fmt.Errorf("is %q, which tells there", d.Name)
	}
	return d, nil
}

// all asks all gatherers at once.
func (t *teller) all(ctx context.Context, now float64) rollout.Observation {
	o := rollout.Observation{Now: now, Seen: make([]rollout.Seen, len(t.p.Gatherers))}
	t.each(func(g int) {
		d, err := t.ask(ctx, g)
		if err != nil {
			o.Seen[g].Trouble = err.Error()
			return
		}
		o.Seen[g] = t.seen(g, d)
	})
	return o
}

// seen puts a report into the decisions' form.
func (t *teller) seen(g int, d *report.Document) rollout.Seen {
	before := ""
	if t.told[g] != nil {
		before = t.told[g].Process
	}
	counts := d.Since != "" || rollout.Fresh(d.Process, before)
	told := rollout.Marks{Program: d.Program, Config: d.Files["config"], Operator: d.Files["operator"], Version: d.Version}
	t.marks[g], t.told[g], t.at[g] = d.Mark, d, time.Now()
	s := rollout.Seen{Reached: true, Kind: rollout.Tell(t.old[g], t.new[g], told), Ready: d.Ready && !d.Leaving, Process: d.Process, Age: d.At - d.Started, Connections: float64(d.Connections), Memory: d.Memory}
	for _, name := range t.p.Indexes {
		ix := d.Indexes[name]
		if ix == nil || !counts {
			s.Indexes = append(s.Indexes, rollout.Counts{})
			continue
		}
		s.Indexes = append(s.Indexes, rollout.Counts{Ended: float64(ix.Ended), Value: ix.Value, Nacked: float64(ix.Nacked), Aborted: float64(ix.Aborted + ix.Broken), Parts: float64(ix.Parts),
			Calls: float64(ix.Calls), Further: float64(ix.Further), Took: ix.Took.Histogram})
	}
	return s
}

// errHeld is a gatherer that another run holds.
var errHeld = errors.New("is being changed by another run")

// refused reports whether a claim was answered with no; one that was not answered may hold nothing.
func refused(err error) bool {
	return errors.Is(err, errHeld) || errors.Is(err, statedir.ErrSuperseded)
}

// claim claims a gatherer for a time. Where another run holds it, or this run by a later controller, the error says so.
func (t *teller) claim(ctx context.Context, g int, run string, fence uint64, length time.Duration) error {
	text, err := json.Marshal(map[string]any{"run": run, "fence": fence, "for": length.Milliseconds()})
	if err != nil {
		return err
	}
	resp, err := t.send(ctx, g, http.MethodPost, report.ClaimPath, text)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		var held rollout.Claim
		if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&held); err != nil {
			return err
		}
		if held.Run == run { // found here before the run's folder was looked at again
			return fmt.Errorf("%w: gatherer %s is held by controller %d", statedir.ErrSuperseded, t.p.Gatherers[g].Name, held.Fence)
		}
		return fmt.Errorf("gatherer %s %w: %s, controller %d", t.p.Gatherers[g].Name, errHeld, held.Run, held.Fence)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answers %s", resp.Status)
	}
	return nil
}

// free gives a claim back; one that can't be given back runs out.
func (t *teller) free(ctx context.Context, g int, run string, fence uint64) {
	target := report.ClaimPath + "?run=" + url.QueryEscape(run) + "&fence=" + strconv.FormatUint(fence, 10)
	if resp, err := t.send(ctx, g, http.MethodDelete, target, nil); err == nil {
		resp.Body.Close()
	}
}

// everybody claims all that can be reached, or says who holds one.
func (t *teller) everybody(ctx context.Context, run string, fence uint64) error {
	var mu sync.Mutex
	var held error
	t.each(func(g int) {
		if err := t.claim(ctx, g, run, fence, claimFor); refused(err) {
			mu.Lock()
			defer mu.Unlock()
			held = err
		}
	})
	return held
}

// claimFor is for how long a claim holds that is not made again.
const claimFor = time.Minute

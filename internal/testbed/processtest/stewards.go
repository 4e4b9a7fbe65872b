package processtest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
)

// StewardTerms are the stewards of a fleet, none where Count is 0.
type StewardTerms struct {
	Count int
	Floor string  // text of the gatherers' floor
	Lease float64 // milliseconds
	Limit float64
	Beat  float64
}

// Steward is one steward of a fleet, through all of its processes. Ways to it are links: those of gatherers G:W1, and
// among stewards W1:W2 for the log and W1:W2.http beside it.
type Steward struct {
	Name   string
	Folder string
	Binary string
	HTTP   string // its own address, for operators
	Raft   string

	fleet     *Fleet
	mu        sync.Mutex
	process   *process.Process
	processes []*process.Process
	started   int
}

// layStewards lays the stewards' addresses and links, before anything starts.
func (f *Fleet) layStewards() error {
	t := f.terms.Stewards
	for i := range t.Count {
		w := &Steward{Name: fmt.Sprint("w", i+1), fleet: f, Binary: f.terms.Binary, HTTP: fmt.Sprintf("%s.%d:8700", f.base, 230+i), Raft: fmt.Sprintf("%s.%d:8701", f.base, 230+i)}
		w.Folder = filepath.Join(f.terms.Folder, w.Name)
		if err := os.MkdirAll(w.Folder, 0o755); err != nil {
			return err
		}
		f.Stewards = append(f.Stewards, w)
	}
	for _, w := range f.Stewards {
		for _, o := range f.Stewards {
			if w == o {
				continue
			}
			if _, err := f.link(w.Name, o.Name, o.Raft); err != nil {
				return err
			}
			if _, err := f.link(w.Name, o.Name+".http", o.HTTP); err != nil {
				return err
			}
		}
	}
	return nil
}

// startStewards starts all of them, side by side: none serves before another is there.
func (f *Fleet) startStewards(ctx context.Context) error {
	for _, w := range f.Stewards {
		if err := w.Start(); err != nil {
			return err
		}
	}
	return f.Led(ctx)
}

// Led waits until a steward leads.
func (f *Fleet) Led(ctx context.Context) error {
	if len(f.Stewards) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 100*time.Second)
	defer cancel()
	var last error
	err := process.WaitUntil(ctx, "a steward leads", func() bool {
		one, end := context.WithTimeout(ctx, 2*time.Second)
		defer end()
		_, last = f.Policies().Status(one)
		return last == nil
	})
	return errors.Join(err, last)
}

// Policies asks whichever steward leads.
func (f *Fleet) Policies() *policyclient.Client {
	c := &policyclient.Client{}
	for _, w := range f.Stewards {
		c.Servers = append(c.Servers, w.HTTP)
	}
	return c
}

// Leader is the steward that leads, nil where none is known to.
func (f *Fleet) Leader(ctx context.Context) *Steward {
	s, err := f.Policies().Status(ctx)
	if err != nil {
		return nil
	}
	for _, w := range f.Stewards {
		if w.Name == s.Server {
			return w
		}
	}
	return nil
}

// file is its steward's file.
func (w *Steward) file() string {
	t := w.fleet.terms.Stewards
	var b strings.Builder
	fmt.Fprintf(&b, "steward %s in state listen %s raft %s\nlease %gms limit %gms\nbeat %gms\n", w.Name, w.HTTP, w.Raft, t.Lease, t.Limit, t.Beat)
	for _, o := range w.fleet.Stewards {
		raft, http := o.Raft, o.HTTP
		if o != w {
			raft, http = w.fleet.Link(w.Name+":"+o.Name).Address(), w.fleet.Link(w.Name+":"+o.Name+".http").Address()
		}
		fmt.Fprintf(&b, "peer %s raft %s http %s\n", o.Name, raft, http)
	}
	return b.String()
}

// Start starts a process of it and does not wait.
func (w *Steward) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	file := filepath.Join(w.Folder, "steward.conf")
	if err := os.WriteFile(file, []byte(w.file()), 0o644); err != nil {
		return err
	}
	p, err := process.Start(fmt.Sprintf("%s.%d", w.Name, w.started), w.Binary, []string{"steward", file}, nil)
	if err != nil {
		return err
	}
	w.process, w.processes = p, append(w.processes, p)
	return nil
}

// Process is its newest process.
func (w *Steward) Process() *process.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.process
}

// StateFolder is what lasts of it.
func (w *Steward) StateFolder() string { return filepath.Join(w.Folder, "state") }

// Copy keeps its disk as it is; it must not run meanwhile. Paste puts it back.
func (w *Steward) Copy(to string) error { return os.CopyFS(to, os.DirFS(w.StateFolder())) }

// Paste puts a disk back that Copy has kept.
func (w *Steward) Paste(from string) error {
	if err := os.RemoveAll(w.StateFolder()); err != nil {
		return err
	}
	return os.CopyFS(w.StateFolder(), os.DirFS(from))
}

// Isolate cuts a steward off from the other stewards, or from the gatherers as well.
func (w *Steward) Isolate(gatherers bool) error {
	f := w.fleet
	all := append(f.Links(w.Name+":*"), f.Links("w*:"+w.Name)...)
	all = append(all, f.Links("w*:"+w.Name+".http")...)
	if gatherers {
		all = append(all, f.Links("g*:"+w.Name)...)
	}
	var errs []error
	for _, k := range all {
		errs = append(errs, k.Cut(true))
	}
	return errors.Join(errs...)
}

// Mend mends all links of stewards.
func (f *Fleet) MendStewards() error {
	var errs []error
	for _, k := range append(f.Links("w*:*"), f.Links("g*:w*")...) {
		errs = append(errs, k.Mend())
	}
	return errors.Join(errs...)
}

// governed are the lines of a gatherer's operator's file that have it follow the stewards.
func (g *Gatherer) governed() (string, error) {
	f := g.fleet
	if len(f.Stewards) == 0 {
		return "", nil
	}
	var b strings.Builder
	for _, w := range f.Stewards {
		k, err := f.link(g.Name, w.Name, w.HTTP)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "steward %s %s\n", w.Name, k.Address())
	}
	b.WriteString("policy floor floor.conf\n")
	return b.String(), os.WriteFile(filepath.Join(g.Folder, "floor.conf"), []byte(f.terms.Stewards.Floor), 0o644)
}

// Send is a part call whose bytes began to go.
type Send struct {
	At       float64 // Unix milliseconds
	Gatherer string
	Server   string
	Index    string
	Taken    float64 // when its lookup was
	Again    bool    // its part was called before, and that call may have run by then
}

// Sends are all part calls of all processes, in the order of their times. Processes that still serve have to be ended
// before, by Close.
func (f *Fleet) Sends() (all []Send, err error) {
	names := map[uint32]string{}
	for name := range f.Servers {
		names[discovery.ServerID(name)] = name
	}
	sources, done, err := f.sources()
	defer done()
	if err != nil {
		return nil, err
	}
	for _, source := range sources {
		unix, gatherer := 0.0, f.Gatherers[source.Gatherer-1].Name
		type part struct {
			lookup uint64
			shard  int
		}
		taken, ran := map[uint64]rulecheck.Event{}, map[part]int{} // calls of parts that may have run
		err := rulecheck.Read(source.Trace, func(h rulecheck.Header) error { unix = h.UnixStart; return nil }, func(e rulecheck.Event) {
			at := part{e.Query, e.Shard}
			switch e.Kind {
			case rulecheck.QueryAdmitted:
				taken[e.Query] = e
			case rulecheck.AttemptSent:
				lk := taken[e.Query]
				all = append(all, Send{unix + e.At, gatherer, names[e.Server], lk.Class, unix + lk.At, ran[at] > 0})
				ran[at]++
			case rulecheck.AttemptEnded:
				if rulecheck.NeverRan(e.Outcome) {
					ran[at]--
				}
			}
		})
		if err != nil && !errors.Is(err, rulecheck.ErrTruncated) {
			return nil, fmt.Errorf("%s: %w", source.Name, err)
		}
	}
	slices.SortFunc(all, func(a, b Send) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

package processtest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
)

// fault notes what went wrong with the rig or a process.
func (f *Fleet) fault(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, err)
}

// noteStart notes how long a gatherer's process took until it was ready.
func (f *Fleet) noteStart(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestStart = max(f.longestStart, took)
}

// LongestStart returns how long a gatherer's process took until it was ready, at most.
func (f *Fleet) LongestStart() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.longestStart
}

// SaveLogs writes what each process has written to a file of its own.
func (f *Fleet) SaveLogs(folder string) error {
	var errs []error
	for _, p := range f.allProcesses() {
		errs = append(errs, os.WriteFile(filepath.Join(folder, p.Name+".log"), []byte(p.Log()), 0o644))
	}
	return errors.Join(errs...)
}

// allProcesses are the processes of gatherers and policy servers, those that have ended included.
func (f *Fleet) allProcesses() (processes []*process.Process) {
	for _, g := range f.Gatherers {
		g.mu.Lock()
		processes = append(processes, g.processes...)
		g.mu.Unlock()
	}
	for _, w := range f.PolicyServers {
		w.mu.Lock()
		processes = append(processes, w.processes...)
		w.mu.Unlock()
	}
	return processes
}

// Faults are what went wrong that nobody asked for: races, panics, processes that ended by themselves, faults of the
// rig.
func (f *Fleet) Faults() error {
	f.mu.Lock()
	all := slices.Clone(f.faults)
	f.mu.Unlock()
	for _, p := range f.allProcesses() {
		if err := p.Failure(); err != nil {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
}

// Check joins the traces of all processes with what the servers ran, and checks the rules. Processes that still serve
// have to be ended before, by Close. That answers come in time is not judged: a process that was stopped gives none,
// and under the race detector on few cores none is sure to.
func (f *Fleet) Check() (*rulecheck.JoinedReport, error) {
	sources, done, err := f.sources()
	defer done()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	truth := f.truth
	truth.Events = slices.Clone(f.truth.Events)
	f.mu.Unlock()
	return rulecheck.Join(sources, &truth, rulecheck.JoinOptions{OperationOf: Operation, DeadlineSlack: 60_000})
}

// sources are the traces of all processes, once they are whole; done closes them.
func (f *Fleet) sources() (all []rulecheck.Source, done func(), err error) {
	done = func() {
		for _, s := range all {
			s.Trace.(*os.File).Close()
		}
	}
	for _, g := range f.Gatherers {
		g.mu.Lock()
		traces := slices.Clone(g.traces)
		g.mu.Unlock()
		for i, t := range traces {
			<-t.complete
			file, err := os.Open(t.path)
			if err != nil {
				return all, done, err
			}
			all = append(all, rulecheck.Source{Name: fmt.Sprintf("%s, process %d", g.Name, i+1), Gatherer: g.Number, Trace: file})
		}
	}
	return all, done, nil
}

// Verdict ends a fleet and says what went wrong: faults of its processes, and rules that they broke together.
func (f *Fleet) Verdict() (*rulecheck.JoinedReport, error) {
	f.Close()
	j, err := f.Check()
	if err == nil && !j.Passed() {
		err = fmt.Errorf("%v; %s", j.Violations, j.Incomplete)
	}
	return j, errors.Join(f.Faults(), err)
}

// disturbedLinks returns the names of the links that are cut or do something to what passes.
func (f *Fleet) disturbedLinks() (names []string) {
	for _, link := range f.Links("*") {
		if weather, gone, _ := link.state(); gone || weather != (Weather{}) {
			names = append(names, link.Name())
		}
	}
	return names
}

package rollout

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/rollout"
)

// statusFormat is the number of the status file.
const statusFormat = "yokeroute rollout 1"

// Files of a rollout's folder beside those of package state.
const (
	statusFile  = "status.json"
	historyFile = "history"
)

// Status is what a rollout is at, for people and programs.
type Status struct {
	Format       string                    `json:"rollout"`
	Name         string                    `json:"name"`
	Plan         string                    `json:"plan"` // its file
	ObservedAt   float64                   `json:"at"`   // when this was so, Unix milliseconds
	FencingToken uint64                    `json:"controller"`
	PID          int                       `json:"pid"`
	Phase        rollout.Phase             `json:"phase"`
	Stage        string                    `json:"stage"`
	Verdict      string                    `json:"verdict"`
	Reason       string                    `json:"why"`
	Gatherers    []GathererStatus          `json:"gatherers"`
	Classes      map[string][2]VariantSums `json:"indexes"` // of the last interval: old and new
}

// GathererStatus is one gatherer's.
type GathererStatus struct {
	Name         string  `json:"name"`
	Zone         string  `json:"zone,omitempty"`
	Variant      string  `json:"serves"` // old, new, other or unknown
	Ready        bool    `json:"ready"`
	LastReportAt float64 `json:"reached,omitempty"` // when it last told, Unix milliseconds
	Step         string  `json:"step,omitempty"`    // under way: to new or to old
	Fault        string  `json:"trouble,omitempty"`
}

// VariantSums is an index's lookups on one side.
type VariantSums struct {
	Queries     float64 `json:"Lookups"`
	EarnedValue float64 `json:"Value"`
	Rejected    float64 `json:"Nacked"`
}

// Overrides are what a controller decides and changes gatherers by, where that is not the project's own decisions and what
// the plan says: an experiment's.
type Overrides struct {
	Strategy func(p rollout.Plan, at rollout.Position) rollout.Strategy
	Step     func(ctx context.Context, gatherer string, to rollout.Variant) error
}

// overrideStepper carries steps out by a function.
type overrideStepper struct {
	plan      *Plan
	overrides Overrides
}

func (c overrideStepper) step(ctx context.Context, g int, to rollout.Variant, _ uint64) error {
	return c.overrides.Step(ctx, c.plan.Gatherers[g].Name, to)
}

// Controller carries one rollout out.
type Controller struct {
	plan            *Plan
	log             *logrus.Logger
	reports         *reportClient
	stepper         stepper
	strategy        rollout.Strategy
	overrides       Overrides
	journal         *statedir.Run
	fencingToken    uint64
	runID           string // by which gatherers know this rollout
	lastCommand     string // the operator's last one that was heeded
	unfinishedSteps []rollout.Record
	now             func() float64

	mu          sync.Mutex
	stepStates  []rollout.StepState
	stepFaults  []string
	running     sync.WaitGroup
	position    rollout.Position
	lastSummary string
}

// Open begins a rollout, or goes on with one that was begun in the plan's folder. All files of both sides are checked
// first, and the gatherers claimed: nothing is begun where one of that fails. With over it takes a rollout over from a
// process that still holds it and does not go on; that one does nothing any more, should it wake up.
func Open(ctx context.Context, p *Plan, over bool, log *logrus.Logger) (*Controller, error) {
	return OpenWithOverrides(ctx, p, over, log, Overrides{})
}

// OpenWithOverrides is Open with other means.
func OpenWithOverrides(ctx context.Context, p *Plan, over bool, log *logrus.Logger, m Overrides) (*Controller, error) {
	if err := p.CheckFiles(); err != nil {
		return nil, err
	}
	c := &Controller{plan: p, log: log, overrides: m, stepStates: make([]rollout.StepState, len(p.Gatherers)), stepFaults: make([]string, len(p.Gatherers)), now: func() float64 { return float64(time.Now().UnixNano()) / 1e6 }}
	if err := c.open(ctx, over); err != nil {
		if c.journal != nil {
			c.journal.Close()
		}
		return nil, err
	}
	return c, nil
}

func (c *Controller) open(ctx context.Context, over bool) error {
	p := c.plan
	var err error
	if c.journal, err = statedir.OpenRun(p.Folder, over); errors.Is(err, statedir.ErrHeld) {
		holder := "unknown"
		if s, err := ReadStatus(p.Folder); err == nil {
			holder = fmt.Sprintf("process %d, which last told %.0f s ago", s.PID, (c.now()-s.ObservedAt)/1000)
		}
		return fmt.Errorf("rollout %s %w: %s; if that one stands still, --take-over", p.Name, err, holder)
	} else if err != nil {
		return err
	}
	c.fencingToken = c.journal.Fence
	if c.reports, err = newReportClient(p); err != nil {
		return err
	}
	c.stepper = processStepper{p}
	if len(p.Commands) > 0 {
		c.stepper = commandStepper{p}
	}
	if c.overrides.Step != nil {
		c.stepper = overrideStepper{p, c.overrides}
	}
	at, err := c.recover()
	if err != nil {
		return err
	}
	folder, _ := filepath.EvalSymlinks(p.Folder)
	host, _ := os.Hostname()
	c.runID = fmt.Sprintf("%s in %s on %s", p.Name, cmp.Or(folder, p.Folder), host)
	if err := c.reports.claimAll(ctx, c.runID, c.fencingToken); err != nil {
		return err
	}
	if len(p.Classes) == 0 { // those that the gatherers tell of
		if p.Classes, err = c.discoverClasses(ctx); err != nil {
			return err
		}
	}
	c.strategy = rollout.NewDecider(p.Plan, at)
	if c.overrides.Strategy != nil {
		c.strategy = c.overrides.Strategy(p.Plan, at)
	}
	c.position = at
	return c.appendRecord(rollout.Record{Kind: rollout.ControllerStarted, PlanSum: p.Fingerprint, FencingToken: c.fencingToken})
}

// discoverClasses are those of which the gatherers tell.
func (c *Controller) discoverClasses(ctx context.Context) ([]string, error) {
	o := c.reports.observe(ctx, 0)
	for g := range o.Gatherers {
		if d := c.reports.lastReports[g]; d != nil {
			var names []string
			for name := range d.Classes {
				names = append(names, name)
			}
			slices.Sort(names)
			return names, nil
		}
	}
	var why []string
	for g := range o.Gatherers {
		why = append(why, fmt.Sprintf("%s at %s: %s", c.plan.Gatherers[g].Name, c.plan.Processes[g].ReportAddress, o.Gatherers[g].Fault))
		if len(why) == 3 {
			break
		}
	}
	return nil, fmt.Errorf("no gatherer tells of itself; %s", strings.Join(why, "; "))
}

// recover reads what controllers before this one have written down. Steps that were begun and of whose end nothing is
// known are made again.
func (c *Controller) recover() (at rollout.Position, err error) {
	var all []rollout.Record
	err = c.journal.Recover(func(text []byte) error {
		var rec rollout.Record
		if err := json.Unmarshal(text, &rec); err != nil || rec.Format != rollout.RecordFormat {
			return fmt.Errorf("a record of another form: %.80q", text)
		}
		all = append(all, rec)
		return nil
	})
	if errors.Is(err, statedir.ErrDamaged) {
		err = fmt.Errorf("%w; docs/operate/rollout.md tells how to go back by hand", err)
	}
	if err != nil {
		return at, err
	}
	r, err := rollout.Replay(c.plan.Fingerprint, all)
	if err != nil {
		return at, fmt.Errorf("%s: %w", c.plan.File, err)
	}
	c.unfinishedSteps, c.lastCommand = r.UnfinishedSteps, r.Command
	for _, rec := range c.unfinishedSteps {
		if g := c.gathererIndex(rec.Gatherer); g >= 0 {
			c.stepStates[g] = rollout.Running
		}
	}
	return r.Position, nil
}

func (c *Controller) gathererIndex(name string) int {
	return slices.IndexFunc(c.plan.Gatherers, func(g rollout.Gatherer) bool { return g.Name == name })
}

// appendRecord writes a record down.
func (c *Controller) appendRecord(r rollout.Record) error {
	r.Format, r.At = rollout.RecordFormat, c.now()
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.journal.Append(text)
}

// Run goes on until the rollout has come to an end, or ctx ends; then steps that are under way are waited for.
func (c *Controller) Run(ctx context.Context) (*Status, error) {
	defer c.journal.Close()
	defer c.running.Wait()
	for _, rec := range c.unfinishedSteps {
		g := c.gathererIndex(rec.Gatherer)
		if g < 0 {
			continue // the plan's text is the same, so that there is none
		}
		c.log.WithFields(logrus.Fields{"gatherer": rec.Gatherer, "to": rec.Target.String()}).Info("a step of whose end nothing is known is made again")
		c.startStep(ctx, g, rec.Target)
	}
	tick := time.NewTicker(time.Duration(c.plan.Interval * 1e6))
	defer tick.Stop()
	for {
		s, over, err := c.runRound(ctx)
		if err != nil {
			return s, err
		}
		if over {
			c.running.Wait()
			c.reports.forEachGatherer(func(g int) { c.reports.release(ctx, g, c.runID, c.fencingToken) })
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-tick.C:
		}
	}
}

// runRound asks everybody once, has what comes of it decided, and begins what was decided.
func (c *Controller) runRound(ctx context.Context) (s *Status, over bool, err error) {
	if err := c.journal.Mine(); err != nil {
		return nil, false, err
	}
	if err := c.reports.claimAll(ctx, c.runID, c.fencingToken); err != nil {
		return nil, false, err
	}
	o := c.reports.observe(ctx, c.now())
	c.mu.Lock()
	for g := range o.Gatherers {
		o.Gatherers[g].Step = c.stepStates[g]
		if c.stepFaults[g] != "" {
			o.Gatherers[g].Fault = c.stepFaults[g]
		}
	}
	c.mu.Unlock()
	if err := c.applyCommand(); err != nil {
		return nil, false, err
	}
	d := c.strategy.Decide(o)
	if at := c.strategy.Position(); at.Phase != c.position.Phase || at.Stage != c.position.Stage {
		c.position = at
		if err := c.appendRecord(rollout.Record{Kind: rollout.PositionChanged, Position: &at, Message: d.Reason}); err != nil {
			return nil, false, err
		}
	}
	if line := fmt.Sprintf("%s: %s", d.Verdict, d.Reason); line != c.lastSummary {
		c.lastSummary = line
		c.log.WithField("phase", string(d.Phase)).Info(line)
	}
	// The status comes before the steps: one who reads it after a kill knows what was about to be done.
	s = c.buildStatus(&o, d)
	if err := c.publish(s); err != nil {
		return s, false, err
	}
	for _, step := range d.Steps {
		if err := c.appendRecord(rollout.Record{Kind: rollout.StepStarted, Gatherer: c.plan.Gatherers[step.Gatherer].Name, Target: step.To}); err != nil {
			return s, false, err
		}
		c.startStep(ctx, step.Gatherer, step.To)
	}
	over = d.Phase == rollout.Completed || d.Phase == rollout.RolledBack || d.Phase == rollout.Stopped
	return s, over, nil
}

// startStep carries a step out beside all else.
func (c *Controller) startStep(ctx context.Context, g int, to rollout.Variant) {
	c.mu.Lock()
	c.stepStates[g], c.stepFaults[g] = rollout.Running, ""
	c.mu.Unlock()
	name := c.plan.Gatherers[g].Name
	c.running.Go(func() {
		err := c.runStep(context.WithoutCancel(ctx), g, to)
		result, said := rollout.Succeeded, ""
		if err != nil {
			result, said = rollout.Failed, err.Error()
			c.log.WithFields(logrus.Fields{"gatherer": name, "to": to.String()}).WithError(err).Warn("step failed")
		}
		if err := c.appendRecord(rollout.Record{Kind: rollout.StepEnded, Gatherer: name, Target: to, Message: said}); err != nil {
			c.log.WithError(err).Error("that a step has ended could not be written down; it may be made again")
		}
		c.mu.Lock()
		c.stepStates[g], c.stepFaults[g] = result, said
		c.mu.Unlock()
	})
}

// runStep makes a step, unless the rollout is another controller's by now.
func (c *Controller) runStep(ctx context.Context, g int, to rollout.Variant) error {
	if err := c.journal.Mine(); err != nil {
		return err
	}
	if err := c.reports.claim(ctx, g, c.runID, c.fencingToken, claimDuration); claimRefused(err) {
		return err // one that can't be reached holds no claim that could be asked for
	}
	return c.stepper.step(ctx, g, to, c.fencingToken)
}

// applyCommand takes the operator's word, where there is a new one.
func (c *Controller) applyCommand() error {
	word, err := c.journal.Word()
	if err != nil || word == c.lastCommand {
		return err
	}
	c.lastCommand = word
	if err := c.appendRecord(rollout.Record{Kind: rollout.CommandTaken, Command: c.lastCommand}); err != nil {
		return err
	}
	switch word, _, _ := strings.Cut(c.lastCommand, " "); word {
	case "stop":
		c.strategy.Command(rollout.Stop, "by the operator's word")
	case "back":
		c.strategy.Command(rollout.RollBack, "by the operator's word")
	case "resume":
		c.strategy.Command(rollout.Proceed, "")
	}
	return nil
}

// SendCommand leaves an operator's word (stop, back or resume) for the controller, that of now or the next one.
func SendCommand(folder, word string) error { return statedir.Say(folder, word, time.Now().UnixNano()) }

func (c *Controller) buildStatus(o *rollout.Observation, d rollout.Decision) *Status {
	s := &Status{Format: statusFormat, Name: c.plan.Name, Plan: c.plan.File, ObservedAt: o.Now, FencingToken: c.fencingToken, PID: os.Getpid(), Phase: d.Phase, Stage: c.plan.Stages[min(d.Stage, len(c.plan.Stages)-1)].Name, Verdict: d.Verdict.String(), Reason: d.Reason, Classes: map[string][2]VariantSums{}}
	for g := range o.Gatherers {
		seen := &o.Gatherers[g]
		one := GathererStatus{Name: c.plan.Gatherers[g].Name, Zone: c.plan.Gatherers[g].Zone, Variant: seen.Variant.String(), Ready: seen.Ready, Fault: seen.Fault}
		if !c.reports.lastReportAt[g].IsZero() {
			one.LastReportAt = float64(c.reports.lastReportAt[g].UnixMilli())
		}
		if seen.Step == rollout.Running {
			one.Step = "under way"
		}
		s.Gatherers = append(s.Gatherers, one)
		side := 0
		if seen.Variant == rollout.New {
			side = 1
		}
		for i := range seen.Classes {
			both := s.Classes[c.plan.Classes[i]]
			both[side].Queries += seen.Classes[i].Queries
			both[side].EarnedValue += seen.Classes[i].EarnedValue
			both[side].Rejected += seen.Classes[i].Rejected
			s.Classes[c.plan.Classes[i]] = both
		}
	}
	return s
}

// publish puts the status where others read it, and its figures behind those of before.
func (c *Controller) publish(s *Status) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := c.journal.Put(statusFile, text); err != nil {
		return err
	}
	m := Sample{ObservedAt: s.ObservedAt, Phase: s.Phase, Stage: s.Stage, Reason: s.Reason, Classes: s.Classes}
	for _, g := range s.Gatherers {
		switch {
		case g.LastReportAt == 0 || s.ObservedAt-g.LastReportAt > 1.5*c.plan.Interval+2000:
			m.Unreachable++
		case g.Variant == "new":
			m.New++
		case g.Variant == "old":
			m.Old++
		}
	}
	if text, err = json.Marshal(m); err != nil {
		return err
	}
	return c.journal.Add(historyFile, text)
}

// Sample is a rollout's figures of one interval.
type Sample struct {
	ObservedAt  float64                   `json:"t"`
	Phase       rollout.Phase             `json:"p"`
	Stage       string                    `json:"s"`
	Reason      string                    `json:"w"`
	Old         int                       `json:",omitempty"`
	New         int                       `json:",omitempty"`
	Unreachable int                       `json:"Away,omitempty"`
	Classes     map[string][2]VariantSums `json:"i"`
}

// ReadStatus reads a rollout's last status.
func ReadStatus(folder string) (*Status, error) {
	status := filepath.Join(folder, statusFile)
	text, err := os.ReadFile(status)
	if err != nil {
		return nil, err
	}
	s := &Status{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", status, err)
	}
	if s.Format != statusFormat {
		return nil, fmt.Errorf("%s: the form is %.40q, this reader knows %q", status, s.Format, statusFormat)
	}
	return s, nil
}

// History reads a rollout's moments; half a last line is left out.
func History(folder string) (all []Sample, err error) {
	f, err := os.Open(filepath.Join(folder, historyFile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		var m Sample
		if json.Unmarshal(lines.Bytes(), &m) == nil {
			all = append(all, m)
		}
	}
	return all, lines.Err()
}

// JournalLines is what the journals of a rollout tell, in words.
func JournalLines(folder string) (lines []string, err error) {
	err = statedir.ReadRun(folder, func(text []byte) error {
		var rec rollout.Record
		if err := json.Unmarshal(text, &rec); err != nil || rec.Format != rollout.RecordFormat {
			return fmt.Errorf("a record of another form: %.80q", text)
		}
		lines = append(lines, rec.Describe())
		return nil
	})
	return lines, err
}

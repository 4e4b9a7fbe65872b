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

// statusForm is the number of the status file.
const statusForm = "yokeroute rollout 1"

// Files of a rollout's folder beside those of package state.
const (
	statusFile  = "status.json"
	historyFile = "history"
)

// Status is what a rollout is at, for people and programs.
type Status struct {
	Form      string            `json:"rollout"`
	Name      string            `json:"name"`
	Plan      string            `json:"plan"` // its file
	At        float64           `json:"at"`   // when this was so, Unix milliseconds
	Fence     uint64            `json:"controller"`
	PID       int               `json:"pid"`
	Phase     rollout.Phase     `json:"phase"`
	Stage     string            `json:"stage"`
	Verdict   string            `json:"verdict"`
	Why       string            `json:"why"`
	Gatherers []GathererStatus  `json:"gatherers"`
	Indexes   map[string][2]Sum `json:"indexes"` // of the last interval: old and new
}

// GathererStatus is one gatherer's.
type GathererStatus struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone,omitempty"`
	Serves  string  `json:"serves"` // old, new, other or unknown
	Ready   bool    `json:"ready"`
	Reached float64 `json:"reached,omitempty"` // when it last told, Unix milliseconds
	Step    string  `json:"step,omitempty"`    // under way: to new or to old
	Trouble string  `json:"trouble,omitempty"`
}

// Sum is an index's lookups on one side.
type Sum struct{ Lookups, Value, Nacked float64 }

// Means are what a controller decides and changes gatherers by, where that is not the project's own decisions and what
// the plan says: an experiment's.
type Means struct {
	Judge func(p rollout.Plan, at rollout.Position) rollout.Judge
	Step  func(ctx context.Context, gatherer string, to rollout.Kind) error
}

// means carries steps out by a function.
type means struct {
	p *Plan
	m Means
}

func (c means) step(ctx context.Context, g int, to rollout.Kind, _ uint64) error {
	return c.m.Step(ctx, c.p.Gatherers[g].Name, to)
}

// Controller carries one rollout out.
type Controller struct {
	p       *Plan
	log     *logrus.Logger
	teller  *teller
	carrier carrier
	decider rollout.Judge
	means   Means
	own     *statedir.RunFolder
	fence   uint64
	run     string // by which gatherers know this rollout
	word    string // the operator's last one that was heeded
	redo    []rollout.Record
	now     func() float64

	mu    sync.Mutex
	steps []rollout.StepState
	errs  []string
	wait  sync.WaitGroup
	at    rollout.Position
	last  string
}

// Open begins a rollout, or goes on with one that was begun in the plan's folder. All files of both sides are checked
// first, and the gatherers claimed: nothing is begun where one of that fails. With over it takes a rollout over from a
// process that still holds it and does not go on; that one does nothing any more, should it wake up.
func Open(ctx context.Context, p *Plan, over bool, log *logrus.Logger) (*Controller, error) {
	return OpenWith(ctx, p, over, log, Means{})
}

// OpenWith is Open with other means.
func OpenWith(ctx context.Context, p *Plan, over bool, log *logrus.Logger, m Means) (*Controller, error) {
	if err := p.CheckFiles(); err != nil {
		return nil, err
	}
	c := &Controller{p: p, log: log, means: m, steps: make([]rollout.StepState, len(p.Gatherers)), errs: make([]string, len(p.Gatherers)), now: func() float64 { return float64(time.Now().UnixNano()) / 1e6 }}
	if err := c.open(ctx, over); err != nil {
		if c.own != nil {
			c.own.Close()
		}
		return nil, err
	}
	return c, nil
}

func (c *Controller) open(ctx context.Context, over bool) error {
	p := c.p
	var err error
	if c.own, err = statedir.OpenRunFolder(p.Folder, over); errors.Is(err, statedir.ErrLocked) {
		holder := "unknown"
		if s, err := ReadStatus(p.Folder); err == nil {
			holder = fmt.Sprintf("process %d, which last told %.0f s ago", s.PID, (c.now()-s.At)/1000)
		}
		return fmt.Errorf("rollout %s %w: %s; if that one stands still, --take-over", p.Name, err, holder)
	} else if err != nil {
		return err
	}
	c.fence = c.own.FencingToken
	if c.teller, err = newTeller(p); err != nil {
		return err
	}
	c.carrier = runner{p}
	if len(p.Steps) > 0 {
		c.carrier = commands{p}
	}
	if c.means.Step != nil {
		c.carrier = means{p, c.means}
	}
	at, err := c.recover()
	if err != nil {
		return err
	}
	folder, _ := filepath.EvalSymlinks(p.Folder)
	host, _ := os.Hostname()
	c.run = fmt.Sprintf("%s in %s on %s", p.Name, cmp.Or(folder, p.Folder), host)
	if err := c.teller.everybody(ctx, c.run, c.fence); err != nil {
		return err
	}
	if len(p.Indexes) == 0 { // those that the gatherers tell of
		if p.Indexes, err = c.indexes(ctx); err != nil {
			return err
		}
	}
	c.decider = rollout.Begin(p.Plan, at)
	if c.means.Judge != nil {
		c.decider = c.means.Judge(p.Plan, at)
	}
	c.at = at
	return c.write(rollout.Record{What: rollout.Began, Plan: p.Text, Fence: c.fence})
}

// indexes are those of which the gatherers tell.
func (c *Controller) indexes(ctx context.Context) ([]string, error) {
	o := c.teller.all(ctx, 0)
	for g := range o.Seen {
		if d := c.teller.told[g]; d != nil {
			var names []string
			for name := range d.Indexes {
				names = append(names, name)
			}
			slices.Sort(names)
			return names, nil
		}
	}
	var why []string
	for g := range o.Seen {
		why = append(why, fmt.Sprintf("%s at %s: %s", c.p.Gatherers[g].Name, c.p.Machines[g].Report, o.Seen[g].Trouble))
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
	err = c.own.Recover(func(text []byte) error {
		var rec rollout.Record
		if err := json.Unmarshal(text, &rec); err != nil || rec.Form != rollout.RecordForm {
			return fmt.Errorf("a record of another form: %.80q", text)
		}
		all = append(all, rec)
		return nil
	})
	if errors.Is(err, statedir.ErrRecordsLost) {
		err = fmt.Errorf("%w; docs/operate/rollout.md tells how to go back by hand", err)
	}
	if err != nil {
		return at, err
	}
	r, err := rollout.Replay(c.p.Text, all)
	if err != nil {
		return at, fmt.Errorf("%s: %w", c.p.File, err)
	}
	c.redo, c.word = r.Redo, r.Word
	for _, rec := range c.redo {
		if g := c.numberOf(rec.Name); g >= 0 {
			c.steps[g] = rollout.Running
		}
	}
	return r.At, nil
}

func (c *Controller) numberOf(name string) int {
	return slices.IndexFunc(c.p.Gatherers, func(g rollout.Gatherer) bool { return g.Name == name })
}

// write writes a record down.
func (c *Controller) write(r rollout.Record) error {
	r.Form, r.At = rollout.RecordForm, c.now()
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own.Append(text)
}

// Run goes on until the rollout has come to an end, or ctx ends; then steps that are under way are waited for.
func (c *Controller) Run(ctx context.Context) (*Status, error) {
	defer c.own.Close()
	defer c.wait.Wait()
	for _, rec := range c.redo {
		g := c.numberOf(rec.Name)
		if g < 0 {
			continue // the plan's text is the same, so that there is none
		}
		c.log.WithFields(logrus.Fields{"gatherer": rec.Name, "to": rec.To.String()}).Info("a step of whose end nothing is known is made again")
		c.begin(ctx, g, rec.To)
	}
	tick := time.NewTicker(time.Duration(c.p.Every * 1e6))
	defer tick.Stop()
	for {
		s, over, err := c.look(ctx)
		if err != nil {
			return s, err
		}
		if over {
			c.wait.Wait()
			c.teller.each(func(g int) { c.teller.free(ctx, g, c.run, c.fence) })
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-tick.C:
		}
	}
}

// look asks everybody once, has what comes of it decided, and begins what was decided.
func (c *Controller) look(ctx context.Context) (s *Status, over bool, err error) {
	if err := c.own.CheckSuperseded(); err != nil {
		return nil, false, err
	}
	if err := c.teller.everybody(ctx, c.run, c.fence); err != nil {
		return nil, false, err
	}
	o := c.teller.all(ctx, c.now())
	c.mu.Lock()
	for g := range o.Seen {
		o.Seen[g].Step = c.steps[g]
		if c.errs[g] != "" {
			o.Seen[g].Trouble = c.errs[g]
		}
	}
	c.mu.Unlock()
	if err := c.heed(); err != nil {
		return nil, false, err
	}
	d := c.decider.Decide(o)
	if at := c.decider.At(); at.Phase != c.at.Phase || at.Stage != c.at.Stage {
		c.at = at
		if err := c.write(rollout.Record{What: rollout.Moved, Where: &at, Err: d.Why}); err != nil {
			return nil, false, err
		}
	}
	if line := fmt.Sprintf("%s: %s", d.Verdict, d.Why); line != c.last {
		c.last = line
		c.log.WithField("phase", string(d.Phase)).Info(line)
	}
	// The status comes before the steps: one who reads it after a kill knows what was about to be done.
	s = c.status(&o, d)
	if err := c.show(s); err != nil {
		return s, false, err
	}
	for _, step := range d.Steps {
		if err := c.write(rollout.Record{What: rollout.Ordered, Name: c.p.Gatherers[step.Gatherer].Name, To: step.To}); err != nil {
			return s, false, err
		}
		c.begin(ctx, step.Gatherer, step.To)
	}
	over = d.Phase == rollout.Ended || d.Phase == rollout.Restored || d.Phase == rollout.Stopped
	return s, over, nil
}

// begin carries a step out beside all else.
func (c *Controller) begin(ctx context.Context, g int, to rollout.Kind) {
	c.mu.Lock()
	c.steps[g], c.errs[g] = rollout.Running, ""
	c.mu.Unlock()
	name := c.p.Gatherers[g].Name
	c.wait.Go(func() {
		err := c.carry(context.WithoutCancel(ctx), g, to)
		result, said := rollout.Succeeded, ""
		if err != nil {
			result, said = rollout.Failed, err.Error()
			c.log.WithFields(logrus.Fields{"gatherer": name, "to": to.String()}).WithError(err).Warn("step failed")
		}
		if err := c.write(rollout.Record{What: rollout.Stepped, Name: name, To: to, Err: said}); err != nil {
			c.log.WithError(err).Error("that a step has ended could not be written down; it may be made again")
		}
		c.mu.Lock()
		c.steps[g], c.errs[g] = result, said
		c.mu.Unlock()
	})
}

// carry makes a step, unless the rollout is another controller's by now.
func (c *Controller) carry(ctx context.Context, g int, to rollout.Kind) error {
	if err := c.own.CheckSuperseded(); err != nil {
		return err
	}
	if err := c.teller.claim(ctx, g, c.run, c.fence, claimFor); refused(err) {
		return err // one that can't be reached holds no claim that could be asked for
	}
	return c.carrier.step(ctx, g, to, c.fence)
}

// heed takes the operator's word, where there is a new one.
func (c *Controller) heed() error {
	word, err := c.own.Command()
	if err != nil || word == c.word {
		return err
	}
	c.word = word
	if err := c.write(rollout.Record{What: rollout.Heeded, Word: c.word}); err != nil {
		return err
	}
	switch word, _, _ := strings.Cut(c.word, " "); word {
	case "stop":
		c.decider.Command(rollout.Stop, "by the operator's word")
	case "back":
		c.decider.Command(rollout.Back, "by the operator's word")
	case "resume":
		c.decider.Command(rollout.Go, "")
	}
	return nil
}

// Say leaves an operator's word (stop, back or resume) for the controller, that of now or the next one.
func Say(folder, word string) error { return statedir.SendCommand(folder, word, time.Now().UnixNano()) }

func (c *Controller) status(o *rollout.Observation, d rollout.Decision) *Status {
	s := &Status{Form: statusForm, Name: c.p.Name, Plan: c.p.File, At: o.Now, Fence: c.fence, PID: os.Getpid(), Phase: d.Phase, Stage: c.p.Stages[min(d.Stage, len(c.p.Stages)-1)].Name, Verdict: d.Verdict.String(), Why: d.Why, Indexes: map[string][2]Sum{}}
	for g := range o.Seen {
		seen := &o.Seen[g]
		one := GathererStatus{Name: c.p.Gatherers[g].Name, Zone: c.p.Gatherers[g].Zone, Serves: seen.Kind.String(), Ready: seen.Ready, Trouble: seen.Trouble}
		if !c.teller.at[g].IsZero() {
			one.Reached = float64(c.teller.at[g].UnixMilli())
		}
		if seen.Step == rollout.Running {
			one.Step = "under way"
		}
		s.Gatherers = append(s.Gatherers, one)
		side := 0
		if seen.Kind == rollout.New {
			side = 1
		}
		for i := range seen.Indexes {
			both := s.Indexes[c.p.Indexes[i]]
			both[side].Lookups += seen.Indexes[i].Ended
			both[side].Value += seen.Indexes[i].Value
			both[side].Nacked += seen.Indexes[i].Nacked
			s.Indexes[c.p.Indexes[i]] = both
		}
	}
	return s
}

// show puts the status where others read it, and its figures behind those of before.
func (c *Controller) show(s *Status) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := c.own.WriteFile(statusFile, text); err != nil {
		return err
	}
	m := Moment{At: s.At, Phase: s.Phase, Stage: s.Stage, Why: s.Why, Indexes: s.Indexes}
	for _, g := range s.Gatherers {
		switch {
		case g.Reached == 0 || s.At-g.Reached > 1.5*c.p.Every+2000:
			m.Away++
		case g.Serves == "new":
			m.New++
		case g.Serves == "old":
			m.Old++
		}
	}
	if text, err = json.Marshal(m); err != nil {
		return err
	}
	return c.own.AppendLine(historyFile, text)
}

// Moment is a rollout's figures of one interval.
type Moment struct {
	At             float64           `json:"t"`
	Phase          rollout.Phase     `json:"p"`
	Stage          string            `json:"s"`
	Why            string            `json:"w"`
	Old, New, Away int               `json:",omitempty"`
	Indexes        map[string][2]Sum `json:"i"`
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
	if s.Form != statusForm {
		return nil, fmt.Errorf("%s: the form is %.40q, this reader knows %q", status, s.Form, statusForm)
	}
	return s, nil
}

// History reads a rollout's moments; half a last line is left out.
func History(folder string) (all []Moment, err error) {
	f, err := os.Open(filepath.Join(folder, historyFile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		var m Moment
		if json.Unmarshal(lines.Bytes(), &m) == nil {
			all = append(all, m)
		}
	}
	return all, lines.Err()
}

// Log is what the journals of a rollout tell, in words.
func Log(folder string) (lines []string, err error) {
	err = statedir.ReadRunJournal(folder, func(text []byte) error {
		var rec rollout.Record
		if err := json.Unmarshal(text, &rec); err != nil || rec.Form != rollout.RecordForm {
			return fmt.Errorf("a record of another form: %.80q", text)
		}
		lines = append(lines, rec.Line())
		return nil
	})
	return lines, err
}

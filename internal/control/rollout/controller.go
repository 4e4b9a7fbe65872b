package rollout

import (
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

	"yokeroute/internal/storage/runfolder"
	"yokeroute/internal/unixclock"
	"yokeroute/logic/rollout"
)

// Controller carries out one rollout.
type Controller struct {
	plan     *Plan
	log      *logrus.Logger
	reports  *reportClient
	stepper  stepper
	strategy rollout.Strategy
	now      func() float64 // Unix milliseconds

	journal      *runfolder.Folder
	fencingToken uint64
	runID        string           // identifies this rollout to gatherers
	lastCommand  string           // last operator's command that was applied
	unfinished   []rollout.Record // steps that earlier controllers started and whose end is not recorded
	position     rollout.Position // position last recorded in the journal
	lastSummary  string           // summary of the decision last logged

	mu         sync.Mutex          // guards stepStates, stepFaults and appending to the journal
	stepStates []rollout.StepState // state of each gatherer's step, by gatherer index
	stepFaults []string            // error of each gatherer's last step, empty if there is none, by gatherer index
	steps      sync.WaitGroup      // counts the steps in progress
}

// Open starts a rollout, or continues the one in the plan's folder. It first checks all files of both releases and
// claims the gatherers, and starts nothing if that fails. With takeOver it takes a rollout over from a process that
// holds it but makes no progress; should that process resume, it makes no further steps.
func Open(ctx context.Context, p *Plan, takeOver bool, log *logrus.Logger) (*Controller, error) {
	return OpenWithOverrides(ctx, p, takeOver, log, Overrides{})
}

// OpenWithOverrides is like Open, with the decisions or the steps replaced by overrides.
func OpenWithOverrides(
	ctx context.Context, p *Plan, takeOver bool, log *logrus.Logger, overrides Overrides,
) (*Controller, error) {
	if err := p.CheckFiles(); err != nil {
		return nil, err
	}
	c := &Controller{
		plan:       p,
		log:        log,
		stepper:    newStepper(p, overrides),
		stepStates: make([]rollout.StepState, len(p.Gatherers)),
		stepFaults: make([]string, len(p.Gatherers)),
		now:        unixclock.New().Now,
	}
	if err := c.openJournal(takeOver); err != nil {
		return nil, err
	}
	if err := c.begin(ctx, overrides); err != nil {
		if c.reports != nil {
			c.reports.close()
		}
		c.journal.Close()
		return nil, err
	}
	return c, nil
}

// openJournal acquires the lock of the plan's folder and the next fencing token.
func (c *Controller) openJournal(takeOver bool) error {
	var err error
	c.journal, err = runfolder.Open(c.plan.Folder, takeOver)
	if errors.Is(err, runfolder.ErrLocked) {
		holder := "unknown"
		if s, err := ReadStatus(c.plan.Folder); err == nil {
			holder = fmt.Sprintf("process %d, which last wrote its status %.0f s ago", s.PID, (c.now()-s.ObservedAt)/1000)
		}
		return fmt.Errorf("rollout %s %w: %s; if that process is stuck, use --take-over", c.plan.Name, err, holder)
	}
	if err != nil {
		return err
	}
	c.fencingToken = c.journal.FencingToken
	return nil
}

// begin recovers the position, claims the gatherers and records that this controller has started.
func (c *Controller) begin(ctx context.Context, overrides Overrides) error {
	var err error
	if c.reports, err = newReportClient(c.plan); err != nil {
		return err
	}
	if err := c.recover(); err != nil {
		return err
	}
	c.runID = c.plan.runID()
	if err := c.reports.claimAll(ctx, c.runID, c.fencingToken); err != nil {
		return err
	}
	if len(c.plan.Classes) == 0 {
		if c.plan.Classes, err = c.awaitClasses(ctx, discoveryTimeout); err != nil {
			return err
		}
	}
	if overrides.Strategy != nil {
		c.strategy = overrides.Strategy(c.plan.Plan, c.position)
	} else {
		c.strategy = rollout.NewDecider(c.plan.Plan, c.position)
	}
	return c.appendRecord(rollout.Record{
		Kind:         rollout.ControllerStarted,
		PlanSum:      c.plan.Fingerprint,
		FencingToken: c.fencingToken,
	})
}

// runID returns the ID by which gatherers identify the rollout. It is the same for all controllers of the rollout, and
// differs from that of every other rollout.
func (p *Plan) runID() string {
	folder, err := filepath.EvalSymlinks(p.Folder)
	if err != nil {
		folder = ""
	}
	host, err := os.Hostname()
	if err != nil {
		host = ""
	}
	return fmt.Sprintf("%s in %s on %s", p.Name, cmp.Or(folder, p.Folder), host)
}

// discoveryTimeout is how long no gatherer may be reachable when a controller starts. A controller that continues a
// rollout finds gatherers in any state, and machines that are busy with restarts.
const discoveryTimeout = 30 * time.Second

// awaitClasses returns the classes that the first reachable gatherer reports. It waits for one.
func (c *Controller) awaitClasses(ctx context.Context, timeout time.Duration) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retry := time.NewTicker(c.plan.Interval)
	defer retry.Stop()
	for {
		classes, err := c.discoverClasses(ctx)
		if err == nil {
			return classes, nil
		}
		c.log.WithError(err).Warn("rollout: waiting for a report")
		select {
		case <-ctx.Done():
			return nil, err
		case <-retry.C:
		}
	}
}

// discoverClasses returns the classes that the first reachable gatherer reports, sorted by name.
func (c *Controller) discoverClasses(ctx context.Context) ([]string, error) {
	const maxFaults = 3
	o := c.reports.observe(ctx, 0)
	var faults []string
	for g := range o.Gatherers {
		if d := c.reports.lastReports[g]; d != nil {
			var classes []string
			for class := range d.Classes {
				classes = append(classes, class)
			}
			slices.Sort(classes)
			return classes, nil
		}
		faults = append(faults, fmt.Sprintf("%s at %s: %s", c.plan.Gatherers[g].Name, c.plan.Processes[g].ReportAddress,
			o.Gatherers[g].Fault))
	}
	return nil, fmt.Errorf("no gatherer returned a report: %s", strings.Join(faults[:min(len(faults), maxFaults)], "; "))
}

// recover restores the state that earlier controllers recorded in the journal. Steps without a recorded end will be
// repeated.
func (c *Controller) recover() error {
	var records []rollout.Record
	err := c.journal.Recover(func(text []byte) error {
		record, err := decodeRecord(text)
		if err != nil {
			return err
		}
		records = append(records, record)
		return nil
	})
	if errors.Is(err, runfolder.ErrRecordsLost) {
		return fmt.Errorf("%w; docs/operate/rollout.md describes how to roll back by hand", err)
	}
	if err != nil {
		return err
	}
	recovered, err := rollout.Replay(c.plan.Fingerprint, records)
	if err != nil {
		return fmt.Errorf("%s: %w", c.plan.File, err)
	}
	c.position = recovered.Position
	c.unfinished = recovered.UnfinishedSteps
	c.lastCommand = recovered.Command
	for _, record := range c.unfinished {
		if g := c.gathererIndex(record.Gatherer); g >= 0 {
			c.stepStates[g] = rollout.Running
		}
	}
	return nil
}

// gathererIndex returns a gatherer's index in the plan, or -1 if the plan has none of that name.
func (c *Controller) gathererIndex(name string) int {
	return slices.IndexFunc(c.plan.Gatherers, func(g rollout.Gatherer) bool { return g.Name == name })
}

// appendRecord sets the format and the time of a record and appends it to the journal.
func (c *Controller) appendRecord(r rollout.Record) error {
	r.Format = rollout.RecordFormat
	r.At = c.now()
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.journal.Append(text)
}

// decodeRecord decodes a record of the journal.
func decodeRecord(text []byte) (record rollout.Record, err error) {
	if err := json.Unmarshal(text, &record); err != nil || record.Format != rollout.RecordFormat {
		return record, fmt.Errorf("%w: not a record of the supported format: %.80q", rollout.ErrRecord, text)
	}
	return record, nil
}

package rollout

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// statusFormat identifies the format of the status file.
const statusFormat = "yokeroute rollout 1"

// Names of the files in a rollout's folder that are not defined by package runfolder.
const (
	statusFile  = "status.json"
	historyFile = "history"
)

// maxSampleBytes limits the length of a line of the history.
const maxSampleBytes = 4 << 20

// staleness is added to one and a half intervals. The history shows a gatherer as unreachable once its report is that
// old.
const staleness = 2 * time.Second

// Status is the state of a rollout as published in the status file, for operators and programs.
type Status struct {
	Format       string                    `json:"rollout"`
	Name         string                    `json:"name"`
	Plan         string                    `json:"plan"` // name of the plan file
	ObservedAt   float64                   `json:"at"`   // Unix milliseconds
	FencingToken uint64                    `json:"controller"`
	PID          int                       `json:"pid"` // process ID of the controller
	Phase        rollout.Phase             `json:"phase"`
	Stage        string                    `json:"stage"`
	Verdict      string                    `json:"verdict"`
	Reason       string                    `json:"why"`
	Gatherers    []GathererStatus          `json:"gatherers"`
	Classes      map[string][2]VariantSums `json:"indexes"` // sums of the last interval by class: all but new, new
}

// GathererStatus is the status of one gatherer.
type GathererStatus struct {
	Name         string  `json:"name"`
	Zone         string  `json:"zone,omitempty"`
	Variant      string  `json:"serves"` // old, new, other or unknown
	Ready        bool    `json:"ready"`
	LastReportAt float64 `json:"reached,omitempty"` // Unix milliseconds
	Step         string  `json:"step,omitempty"`    // state of a step in progress, empty if there is none
	Fault        string  `json:"trouble,omitempty"`
}

// VariantSums holds the counts of a class, summed over the gatherers that serve as new, or over all others.
type VariantSums struct {
	Queries     float64 `json:"Lookups"`
	EarnedValue float64 `json:"Value"`
	Rejected    float64 `json:"Nacked"`
}

func (s *VariantSums) add(c *rollout.ClassCounts) {
	s.Queries += c.Queries
	s.EarnedValue += c.EarnedValue
	s.Rejected += c.Rejected
}

// Sample is a line of the history. It holds the figures of one interval.
type Sample struct {
	ObservedAt  float64                   `json:"t"`
	Phase       rollout.Phase             `json:"p"`
	Stage       string                    `json:"s"`
	Reason      string                    `json:"w"`
	Old         int                       `json:",omitempty"` // number of gatherers that serve as old
	New         int                       `json:",omitempty"`
	Unreachable int                       `json:"Away,omitempty"`
	Classes     map[string][2]VariantSums `json:"i"`
}

func (c *Controller) stageName(stage int) string {
	return c.plan.Stages[min(stage, len(c.plan.Stages)-1)].Name
}

// buildStatus returns the status after a decision.
func (c *Controller) buildStatus(o *rollout.Observation, d rollout.Decision) *Status {
	s := &Status{
		Format:       statusFormat,
		Name:         c.plan.Name,
		Plan:         c.plan.File,
		ObservedAt:   o.Now,
		FencingToken: c.fencingToken,
		PID:          os.Getpid(),
		Phase:        d.Phase,
		Stage:        c.stageName(d.Stage),
		Verdict:      d.Verdict.String(),
		Reason:       d.Reason,
		Classes:      map[string][2]VariantSums{},
	}
	for g := range o.Gatherers {
		sample := &o.Gatherers[g]
		s.Gatherers = append(s.Gatherers, c.gathererStatus(g, sample))
		variantIndex := 0
		if sample.Variant == rollout.New {
			variantIndex = 1
		}
		for class := range sample.Classes {
			name := c.plan.Classes[class]
			sums := s.Classes[name]
			sums[variantIndex].add(&sample.Classes[class])
			s.Classes[name] = sums
		}
	}
	return s
}

func (c *Controller) gathererStatus(g int, sample *rollout.GathererSample) GathererStatus {
	s := GathererStatus{
		Name:    c.plan.Gatherers[g].Name,
		Zone:    c.plan.Gatherers[g].Zone,
		Variant: sample.Variant.String(),
		Ready:   sample.Ready,
		Fault:   sample.Fault,
	}
	if reportedAt := c.reports.lastReportAt[g]; !reportedAt.IsZero() {
		s.LastReportAt = float64(reportedAt.UnixMilli())
	}
	if sample.Step == rollout.Running {
		s.Step = "under way"
	}
	return s
}

// publish replaces the status file and appends the interval's figures to the history.
func (c *Controller) publish(s *Status) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := c.journal.WriteFile(statusFile, text); err != nil {
		return err
	}
	line, err := json.Marshal(c.sampleOf(s))
	if err != nil {
		return err
	}
	return c.journal.AppendLine(historyFile, line)
}

// sampleOf returns the line of the history for a status.
func (c *Controller) sampleOf(s *Status) Sample {
	sample := Sample{ObservedAt: s.ObservedAt, Phase: s.Phase, Stage: s.Stage, Reason: s.Reason, Classes: s.Classes}
	maxAge := 1.5*millis.Of(c.plan.Interval) + millis.Of(staleness)
	for _, g := range s.Gatherers {
		switch {
		case g.LastReportAt == 0 || s.ObservedAt-g.LastReportAt > maxAge:
			sample.Unreachable++
		case g.Variant == rollout.New.String():
			sample.New++
		case g.Variant == rollout.Old.String():
			sample.Old++
		}
	}
	return sample
}

// ReadStatus reads the last status of a rollout's folder.
func ReadStatus(folder string) (*Status, error) {
	file := filepath.Join(folder, statusFile)
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &Status{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if s.Format != statusFormat {
		return nil, fmt.Errorf("%s: unsupported format %.40q, want %q", file, s.Format, statusFormat)
	}
	return s, nil
}

// History reads the history of a rollout's folder. It skips lines that can't be decoded, such as an incomplete last
// line.
func History(folder string) (samples []Sample, err error) {
	f, err := os.Open(filepath.Join(folder, historyFile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxSampleBytes)
	for lines.Scan() {
		var s Sample
		if json.Unmarshal(lines.Bytes(), &s) == nil {
			samples = append(samples, s)
		}
	}
	return samples, lines.Err()
}

// JournalLines returns the journal of a rollout's folder as text, one line for each record.
func JournalLines(folder string) (lines []string, err error) {
	err = runfolder.ReadJournal(folder, func(text []byte) error {
		record, err := decodeRecord(text)
		if err != nil {
			return err
		}
		lines = append(lines, record.Describe())
		return nil
	})
	return lines, err
}

// Package report provides a gatherer's report about itself for operators and rollouts: the program and the files in
// force, and the results of its queries. The report is served as a JSON document with a format number, and the same
// counts as Prometheus metrics. Processing a query only updates counts; everything else is done when a report is
// requested.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"yokeroute/logic/rollout"
)

// Format identifies the format of reports. A reader rejects other formats and skips unknown keys, so that a later
// version may add keys under the same number.
const Format = "yokeroute report 1"

// MaxBytes limits the size of a report that Read accepts, to protect against a peer that never stops sending.
const MaxBytes = 4 << 20

// maxClasses limits the number of classes in a report.
const maxClasses = 1000

// ErrFormat is returned for a document of an unsupported format.
var ErrFormat = errors.New("unsupported report format")

// Document is a report. Its counts start at a checkpoint, or at the start of the process if the requested checkpoint is
// not known. Gauges are as of ReportedAt.
type Document struct {
	Format      string            `json:"report"`
	Name        string            `json:"name"`
	Zone        string            `json:"zone,omitempty"`
	Version     string            `json:"version"`
	Program     string            `json:"program"` // fingerprint of the program's file
	Files       map[string]string `json:"files"`   // fingerprints of the files in force, by kind
	Formats     map[string]int    `json:"formats"` // numbers of the formats that this version writes
	Incarnation string            `json:"process"` // differs with each start of the process
	StartedAt   float64           `json:"started"` // Unix milliseconds
	ReportedAt  float64           `json:"at"`      // Unix milliseconds

	// Checkpoint is the ID of the checkpoint taken with this report, from which the next report can start. It is set only
	// if a report since a checkpoint was requested.
	Checkpoint string `json:"mark,omitempty"`
	// SinceCheckpoint is the ID of the checkpoint at which the counts start; empty for the start of the process.
	SinceCheckpoint string  `json:"since,omitempty"`
	Interval        float64 `json:"span"` // length of the interval that the counts cover, in milliseconds

	Ready        bool           `json:"ready"`   // the gatherer has an endpoint list and accepts queries
	ShuttingDown bool           `json:"leaving"` // a graceful shutdown is in progress
	Claim        *rollout.Claim `json:"claim,omitempty"`
	Policy       any            `json:"policy,omitempty"` // state of the operators' policy, if the gatherer follows one

	Classes           map[string]*ClassStats `json:"indexes"`
	ConnectionsOpened int64                  `json:"opened"`      // number of connections opened to shard servers
	CPUTime           float64                `json:"cpu"`         // CPU time used, in milliseconds of one core
	OpenConnections   int                    `json:"connections"` // gauge: open connections to shard servers
	RunningServers    int                    `json:"servers"`     // gauge: running servers on the endpoint list
	DrainingServers   int                    `json:"draining"`    // gauge: draining servers on the endpoint list
	ResidentMemory    float64                `json:"memory"`      // gauge: resident memory in bytes
	Goroutines        int                    `json:"goroutines"`  // gauge: number of goroutines
}

// ClassStats counts the results of the queries of one class and the outcomes of their attempts at shard servers.
type ClassStats struct {
	Queries            int64            `json:"ended"`
	Served             int64            `json:"satisfied"` // queries served completely
	ServedPartly       int64            `json:"partial"`
	Rejected           int64            `json:"nacked"`
	Failed             int64            `json:"aborted"`
	InternalErrors     int64            `json:"broken"` // queries in progress when the decision module failed
	ClientDisconnected int64            `json:"left"`
	WithinObjective    int64            `json:"in_aim"` // queries served, also partly, within the latency objective
	EarnedValue        float64          `json:"value"`  // sum of the values that queries earned, each from 0 to 1
	ShardRequests      int64            `json:"parts"`
	Attempts           int64            `json:"calls"`   // attempts written to a connection
	ExtraAttempts      int64            `json:"further"` // the part of Attempts that were retries or hedged requests
	AttemptTime        float64          `json:"waited"`  // total time of attempts in flight, in milliseconds
	Outcomes           map[string]int64 `json:"outcomes"`
	Latency            Histogram        `json:"took"` // latency of served queries
}

func newClassStats() *ClassStats {
	return &ClassStats{Outcomes: map[string]int64{}, Latency: NewHistogram()}
}

// clone returns a deep copy.
func (s *ClassStats) clone() *ClassStats {
	c := *s
	c.Outcomes = maps.Clone(s.Outcomes)
	c.Latency = s.Latency.clone()
	return &c
}

// since returns the difference between the counts and those at an earlier time.
func (s *ClassStats) since(earlier *ClassStats) *ClassStats {
	d := s.clone()
	d.Queries -= earlier.Queries
	d.Served -= earlier.Served
	d.ServedPartly -= earlier.ServedPartly
	d.Rejected -= earlier.Rejected
	d.Failed -= earlier.Failed
	d.InternalErrors -= earlier.InternalErrors
	d.ClientDisconnected -= earlier.ClientDisconnected
	d.WithinObjective -= earlier.WithinObjective
	d.ShardRequests -= earlier.ShardRequests
	d.Attempts -= earlier.Attempts
	d.ExtraAttempts -= earlier.ExtraAttempts
	d.EarnedValue = max(d.EarnedValue-earlier.EarnedValue, 0)
	d.AttemptTime = max(d.AttemptTime-earlier.AttemptTime, 0)
	for outcome, n := range earlier.Outcomes {
		d.Outcomes[outcome] -= n
		if d.Outcomes[outcome] == 0 {
			delete(d.Outcomes, outcome)
		}
	}
	d.Latency = s.Latency.since(earlier.Latency)
	return d
}

// Read reads and validates a report. Errors name the gatherer if the document contains its name.
func Read(from io.Reader) (*Document, error) {
	text, err := io.ReadAll(io.LimitReader(from, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("report is larger than %d MB", MaxBytes>>20)
	}
	var header struct {
		Format string `json:"report"`
		Name   string `json:"name"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return nil, fmt.Errorf("report is not valid JSON: %w", err)
	}
	if header.Format != Format {
		return nil, fmt.Errorf("%w %.40q of gatherer %.80q, want %q",
			ErrFormat, header.Format, header.Name, Format)
	}
	d := &Document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("report of gatherer %.80q: %w", header.Name, err)
	}
	return d, d.validate()
}

// validate rejects reports with values that no gatherer can have, since each would corrupt every sum that includes it.
func (d *Document) validate() error {
	switch {
	case d.Name == "":
		return errors.New("report has no gatherer name")
	case d.Incarnation == "":
		return d.invalidValue("process", "missing")
	case !allNonNegative(d.Interval, d.ReportedAt, d.ResidentMemory, d.CPUTime) ||
		d.OpenConnections < 0 || d.ConnectionsOpened < 0:
		return d.invalidValue("a time, connection count or other gauge", "negative or not a finite number")
	case len(d.Classes) > maxClasses:
		return d.invalidValue("the number of indexes", len(d.Classes))
	}
	for _, class := range slices.Sorted(maps.Keys(d.Classes)) {
		if err := d.validateClass(class, d.Classes[class]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validateClass(class string, s *ClassStats) error {
	if s == nil {
		return d.invalidValue("index "+class, "null")
	}
	for _, n := range []int64{
		s.Queries, s.Served, s.ServedPartly, s.Rejected, s.Failed, s.InternalErrors, s.ClientDisconnected,
		s.WithinObjective, s.ShardRequests, s.Attempts, s.ExtraAttempts,
	} {
		if n < 0 {
			return d.invalidValue("a count of index "+class, n)
		}
	}
	const rounding = 1e-6
	if !allNonNegative(s.EarnedValue, s.AttemptTime) || s.EarnedValue > float64(s.Queries)+rounding {
		return d.invalidValue("the value or time of index "+class, s.EarnedValue)
	}
	if s.Latency.Histogram == nil {
		s.Latency = NewHistogram()
	}
	return nil
}

func (d *Document) invalidValue(subject string, value any) error {
	return fmt.Errorf("report of gatherer %.80q: %s is %v", d.Name, subject, value)
}

// allNonNegative reports whether all values are finite and at least 0.
func allNonNegative(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

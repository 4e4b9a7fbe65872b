// Package report is a gatherer's report about itself, for operators and for rollouts: which program and which files
// are in force, and what became of its queries. It is served as one JSON document with a format number, and as metrics
// for Prometheus from the same counts. A query's path only counts; all else happens when a report is requested.
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

// Format is the format of reports. A reader refuses another one, and skips keys that it doesn't know, so that a later
// version may add some under the same number.
const Format = "yokeroute report 1"

// MaxBytes bounds a report, against a peer that sends without end.
const MaxBytes = 4 << 20

// maxClasses bounds the classes in a report.
const maxClasses = 1000

// ErrFormat is a document of another format.
var ErrFormat = errors.New("another form of report")

// Document is a report. Counts are those since a checkpoint, or since the process started where the requested one is
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

	Checkpoint      string  `json:"mark,omitempty"`  // to request the next report since; only where one was requested
	SinceCheckpoint string  `json:"since,omitempty"` // that the counts start from; empty for the process' start
	Interval        float64 `json:"span"`            // milliseconds, that the counts cover

	Ready        bool           `json:"ready"`   // it has an endpoint list and accepts queries
	ShuttingDown bool           `json:"leaving"` // gracefully
	Claim        *rollout.Claim `json:"claim,omitempty"`
	Policy       any            `json:"policy,omitempty"` // the state of the operators' policy, where one is followed

	Classes           map[string]*ClassStats `json:"indexes"`
	ConnectionsOpened int64                  `json:"opened"`      // to shard servers
	CPUTime           float64                `json:"cpu"`         // milliseconds of a core
	OpenConnections   int                    `json:"connections"` // gauge: to shard servers
	RunningServers    int                    `json:"servers"`     // gauge: on the endpoint list
	DrainingServers   int                    `json:"draining"`    // gauge: on the endpoint list
	ResidentMemory    float64                `json:"memory"`      // gauge: bytes
	Goroutines        int                    `json:"goroutines"`  // gauge
}

// ClassStats counts what became of the queries of one class, and of their attempts at shard servers.
type ClassStats struct {
	Queries            int64            `json:"ended"`
	Served             int64            `json:"satisfied"` // completely
	ServedPartly       int64            `json:"partial"`
	Rejected           int64            `json:"nacked"`
	Failed             int64            `json:"aborted"`
	InternalErrors     int64            `json:"broken"` // the decision module failed while it had them
	ClientDisconnected int64            `json:"left"`
	WithinObjective    int64            `json:"in_aim"` // served, completely or partly, within the latency objective
	EarnedValue        float64          `json:"value"`  // summed up, from 0 to 1 for a query
	ShardRequests      int64            `json:"parts"`
	Attempts           int64            `json:"calls"`   // written to a connection
	ExtraAttempts      int64            `json:"further"` // of Attempts: retries and hedged requests
	AttemptTime        float64          `json:"waited"`  // milliseconds in flight, summed up
	Outcomes           map[string]int64 `json:"outcomes"`
	Latency            Histogram        `json:"took"` // of served queries
}

func newClassStats() *ClassStats {
	return &ClassStats{Outcomes: map[string]int64{}, Latency: NewHistogram()}
}

// clone copies the counts.
func (s *ClassStats) clone() *ClassStats {
	c := *s
	c.Outcomes = maps.Clone(s.Outcomes)
	c.Latency = s.Latency.clone()
	return &c
}

// since returns the counts beyond earlier ones.
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

// Read reads and checks a report. An error names the gatherer where the document does.
func Read(from io.Reader) (*Document, error) {
	text, err := io.ReadAll(io.LimitReader(from, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("a report of more than %d MB", MaxBytes>>20)
	}
	var header struct {
		Format string `json:"report"`
		Name   string `json:"name"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return nil, fmt.Errorf("no report: %w", err)
	}
	if header.Format != Format {
		return nil, fmt.Errorf("%w: %.40q of %.80q, this reader knows %q",
			ErrFormat, header.Format, header.Name, Format)
	}
	d := &Document{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("report of %.80q: %w", header.Name, err)
	}
	return d, d.validate()
}

// validate refuses figures that no gatherer can have, since one of them would spoil every sum that it enters.
func (d *Document) validate() error {
	switch {
	case d.Name == "":
		return errors.New("a report without a name")
	case d.Incarnation == "":
		return d.wrong("process", "missing")
	case !valid(d.Interval, d.ReportedAt, d.ResidentMemory, d.CPUTime) ||
		d.OpenConnections < 0 || d.ConnectionsOpened < 0:
		return d.wrong("a time or gauge", "below 0 or no number")
	case len(d.Classes) > maxClasses:
		return d.wrong("the number of indexes", len(d.Classes))
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
		return d.wrong("index "+class, "null")
	}
	for _, n := range []int64{
		s.Queries, s.Served, s.ServedPartly, s.Rejected, s.Failed, s.InternalErrors, s.ClientDisconnected,
		s.WithinObjective, s.ShardRequests, s.Attempts, s.ExtraAttempts,
	} {
		if n < 0 {
			return d.wrong("a count of index "+class, n)
		}
	}
	const rounding = 1e-6
	if !valid(s.EarnedValue, s.AttemptTime) || s.EarnedValue > float64(s.Queries)+rounding {
		return d.wrong("the value or time of index "+class, s.EarnedValue)
	}
	if s.Latency.Histogram == nil {
		s.Latency = NewHistogram()
	}
	return nil
}

func (d *Document) wrong(what string, value any) error {
	return fmt.Errorf("report of %.80q: %s is %v", d.Name, what, value)
}

// valid reports whether all figures are numbers that are not negative.
func valid(figures ...float64) bool {
	for _, v := range figures {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

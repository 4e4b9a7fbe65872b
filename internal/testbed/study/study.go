// Package study plays many days of the emulator and says what they show: variants over the same seeds, a parameter
// swept, a search for the day on which decisions do worst. Its results lie in a folder that tells by itself what was
// run; a run that was broken off goes on where it stopped, and ends with the same bytes.
package study

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"yokeroute/internal/storage/atomicfile"
	"yokeroute/internal/testbed/emulator"
)

// Form is the first word of a results file.
const Form = "yokeroute results 1"

// File is the name of the results file in a folder.
const File = "results.json"

// Results are what a folder of results holds.
type Results struct {
	Form      string            `json:"form"`
	Kind      string            `json:"kind"` // run, compare, sweep or hunt
	Title     string            `json:"title"`
	Build     string            `json:"build"` // of the program that played it
	Figure    string            `json:"figure"`
	Scenarios map[string]string `json:"scenarios"` // their texts, by name
	Rows      []Row             `json:"rows"`
	Note      string            `json:"note,omitempty"`
	Pairs     []Pair            `json:"pairs,omitempty"`
}

// Row is one day as one variant played it.
type Row struct {
	Scenario string           `json:"scenario"` // a name of Scenarios
	Value    string           `json:"value,omitempty"`
	Variant  string           `json:"variant"`
	Seed     uint64           `json:"seed"`
	Result   *emulator.Result `json:"result"`
}

// Job is one day to be played.
type Job struct {
	Scenario string // its name among those of a study
	Value    string // of what is swept, empty where nothing is
	Text     string
	Variant  emulator.Variant
	Seed     uint64
}

// Terms are how a study is run.
type Terms struct {
	Folder  string // where parts of it are kept until it is whole, empty for none
	Workers int    // 0 for one a core
	Done    func(done, all int)
}

// Build names the program that runs, so that results of two builds are never mixed: by its source's revision where
// it was built from a clean one, or else by its own bytes.
var Build = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		revision, clean := "", false
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				revision = s.Value
			case "vcs.modified":
				clean = s.Value == "false"
			}
		}
		if clean && len(revision) >= 12 {
			return "revision " + revision[:12]
		}
	}
	self, err := os.Executable()
	if err != nil {
		return "unknown"
	}
	f, err := os.Open(self)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "unknown"
	}
	return fmt.Sprintf("program %016x", h.Sum64())
})

// key names a job's result for a broken-off study to find it again.
func (j *Job) key() string {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00%s\x00%d", Build(), j.Scenario, j.Value, j.Text, j.Variant.Name, j.Seed)
	return fmt.Sprintf("%016x", h.Sum64())
}

// partsFolder is where results of single days lie until the study is whole.
const partsFolder = "parts"

// Play plays all jobs, side by side, and gives their rows in the jobs' order, whatever order they end in.
func Play(ctx context.Context, jobs []Job, terms Terms) ([]Row, error) {
	rows, errs := make([]Row, len(jobs)), make([]error, len(jobs))
	parts := ""
	if terms.Folder != "" {
		parts = filepath.Join(terms.Folder, partsFolder)
		if err := os.MkdirAll(parts, 0o755); err != nil {
			return nil, err
		}
	}
	next, done := 0, 0
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range min(cmp.Or(terms.Workers, runtime.GOMAXPROCS(0)), max(len(jobs), 1)) {
		wait.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(jobs) || ctx.Err() != nil {
					return
				}
				rows[i], errs[i] = one(ctx, &jobs[i], parts)
				mu.Lock()
				done++
				if terms.Done != nil && errs[i] == nil {
					terms.Done(done, len(jobs))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("broken off; the same command goes on from here: %w", ctx.Err())
	}
	return rows, errors.Join(errs...)
}

// one plays a job, or takes its result from the folder.
func one(ctx context.Context, j *Job, parts string) (Row, error) {
	row := Row{Scenario: j.Scenario, Value: j.Value, Variant: j.Variant.Name, Seed: j.Seed}
	file := ""
	if parts != "" {
		file = filepath.Join(parts, j.key()+".json")
		if text, err := os.ReadFile(file); err == nil && json.Unmarshal(text, &row) == nil && row.Result != nil {
			return row, nil
		}
	}
	sc, err := emulator.Parse(j.Scenario, j.Text)
	if err != nil {
		return row, err
	}
	row.Result, err = emulator.Run(sc, emulator.Options{Seed: j.Seed, Variant: j.Variant, Stop: func() bool { return ctx.Err() != nil }})
	if err != nil {
		return row, fmt.Errorf("%s, %s, seed %d: %w", j.Scenario, j.Variant.Name, j.Seed, err)
	}
	if file != "" {
		text, err := json.Marshal(row)
		if err != nil {
			return row, err
		}
		if err := atomicfile.Write(file, text); err != nil {
			return row, err
		}
	}
	return row, nil
}

// Bytes are the results as they are written.
func (r *Results) Bytes() ([]byte, error) {
	r.Form = Form
	text, err := json.MarshalIndent(r, "", " ")
	return append(text, '\n'), err
}

// Save writes results into a folder, with tables and charts, and takes away what a broken-off study would need.
func (r *Results) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	if err := atomicfile.Write(filepath.Join(folder, File), text); err != nil {
		return err
	}
	var table bytes.Buffer
	if err := r.Table(&table); err != nil {
		return err
	}
	if err := atomicfile.Write(filepath.Join(folder, "tables.txt"), table.Bytes()); err != nil {
		return err
	}
	charts, err := r.Charts()
	if err != nil {
		return err
	}
	for _, c := range charts {
		if err := atomicfile.Write(filepath.Join(folder, c.Name+".svg"), c.SVG); err != nil {
			return err
		}
	}
	return os.RemoveAll(filepath.Join(folder, partsFolder))
}

// Load reads the results in a folder.
func Load(folder string) (*Results, error) {
	text, err := os.ReadFile(filepath.Join(folder, File))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: holds no %s; it is made by yokeroute-testbed run, compare, sweep or hunt with --out", folder, File)
	}
	if err != nil {
		return nil, err
	}
	var r Results
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(folder, File), err)
	}
	if r.Form != Form {
		return nil, fmt.Errorf("%s: the form is %q, this program knows %q", filepath.Join(folder, File), r.Form, Form)
	}
	return &r, nil
}

// Again plays all rows once more and gives those that differ. Rows of an earlier build are played by this one, so
// that what differs is what the decisions, or the model, have changed.
func (r *Results) Again(ctx context.Context, terms Terms) (differ []string, err error) {
	var jobs []Job
	for _, row := range r.Rows {
		v, err := emulator.VariantOf(row.Variant)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, Job{row.Scenario, row.Value, r.Scenarios[row.Scenario], v, row.Seed})
	}
	rows, err := Play(ctx, jobs, terms)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		was, err1 := json.Marshal(r.Rows[i])
		now, err2 := json.Marshal(rows[i])
		if err := errors.Join(err1, err2); err != nil {
			return nil, err
		}
		if !bytes.Equal(was, now) {
			a, b := r.Rows[i].Result, rows[i].Result
			differ = append(differ, fmt.Sprintf("%s, %s, seed %d: gain %.4f, now %.4f", row(r.Rows[i]), rows[i].Variant, rows[i].Seed, a.Gain, b.Gain))
		}
	}
	return differ, nil
}

func row(r Row) string {
	if r.Value != "" {
		return r.Value
	}
	return r.Scenario
}

// variants are the variants of the rows, in their order, and values what was swept.
func (r *Results) variants() (names, values []string) {
	for _, one := range r.Rows {
		if !slices.Contains(names, one.Variant) {
			names = append(names, one.Variant)
		}
		if v := row(one); !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return names, values
}

// rowsOf are the rows of a variant at a value.
func (r *Results) rowsOf(variant, value string) (rows []Row) {
	for _, one := range r.Rows {
		if one.Variant == variant && (value == "" || row(one) == value) {
			rows = append(rows, one)
		}
	}
	return rows
}

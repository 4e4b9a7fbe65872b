package statedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// handoverFormat is the first word of a hand-over; a reader of another form leaves it alone and starts without.
const handoverFormat = "yokeroute handover 1"

// handoverFile is its file in the state folder.
const handoverFile = "handover"

// Handover is what a gatherer tells its successor, whose own list may be older: which servers it has heard to drain.
// It is rewritten whole with each such news, so that it is there after a kill too.
type Handover struct {
	path     string
	Draining map[string]float64 // by name: since when the process that drains has been up, in Unix milliseconds
}

type handoverDocument struct {
	Format   string             `json:"handover"`
	Draining map[string]float64 `json:"draining"`
}

// OpenHandover reads what an earlier process has left in a folder; there may be nothing. An error says what cannot be
// read; the hand-over is then empty, and fit for use.
func OpenHandover(folder string) (*Handover, error) {
	h := &Handover{path: filepath.Join(folder, handoverFile), Draining: map[string]float64{}}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(h.path)
	if errors.Is(err, fs.ErrNotExist) {
		return h, nil
	}
	var read handoverDocument
	if err == nil {
		err = json.Unmarshal(text, &read)
	}
	if err == nil && read.Format != handoverFormat {
		err = fmt.Errorf("the form is %.40q, this reader knows %q", read.Format, handoverFormat)
	}
	if err != nil {
		return h, fmt.Errorf("%s: %w", h.path, err)
	}
	if read.Draining != nil {
		h.Draining = read.Draining
	}
	return h, nil
}

// SetDraining puts down which servers drain now; it writes only what is news.
func (h *Handover) SetDraining(draining map[string]float64) error {
	if maps.Equal(h.Draining, draining) {
		return nil
	}
	h.Draining = draining
	text, err := json.Marshal(handoverDocument{handoverFormat, draining})
	if err != nil {
		return err
	}
	return WriteFileAtomic(h.path, text)
}

// DrainingNames are the servers that drain, in order.
func (h *Handover) DrainingNames() []string { return slices.Sorted(maps.Keys(h.Draining)) }

// WriteFileAtomic puts a text in a file's place: a reader, and a crash, find the old one or the new one whole.
func WriteFileAtomic(name string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".writing-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // where it was not renamed
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), name); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

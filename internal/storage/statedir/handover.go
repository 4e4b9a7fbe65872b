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

	"yokeroute/internal/storage/atomicfile"
)

const (
	// handoverFormat identifies the document's format and its number.
	handoverFormat = "yokeroute handover 1"
	handoverFile   = "handover"
)

// Handover tells a gatherer's next process which servers are draining, since the endpoint list of that process may be
// older. It is stored at each change, so that it is current even after the process is killed.
type Handover struct {
	path string
	// Draining holds the start time of the process of each draining server, in Unix milliseconds, by the server's name.
	Draining map[string]float64
}

type handoverDocument struct {
	Format   string             `json:"handover"`
	Draining map[string]float64 `json:"draining"`
}

// OpenHandover reads the handover of an earlier process, if there is one. If its content cannot be read, OpenHandover
// returns an error together with an empty handover, which may be used.
func OpenHandover(folder string) (*Handover, error) {
	h := &Handover{path: filepath.Join(folder, handoverFile), Draining: map[string]float64{}}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(h.path)
	if errors.Is(err, fs.ErrNotExist) {
		return h, nil
	}
	var document handoverDocument
	if err == nil {
		err = json.Unmarshal(text, &document)
	}
	if err == nil && document.Format != handoverFormat {
		err = fmt.Errorf("format is %.40q, want %q", document.Format, handoverFormat)
	}
	if err != nil {
		return h, fmt.Errorf("%s: %w", h.path, err)
	}
	if document.Draining != nil {
		h.Draining = document.Draining
	}
	return h, nil
}

// SetDraining stores the draining servers if they have changed.
func (h *Handover) SetDraining(draining map[string]float64) error {
	if maps.Equal(h.Draining, draining) {
		return nil
	}
	h.Draining = draining
	text, err := json.Marshal(handoverDocument{handoverFormat, draining})
	if err != nil {
		return err
	}
	return atomicfile.Write(h.path, text)
}

// DrainingNames returns the names of the draining servers in alphabetical order.
func (h *Handover) DrainingNames() []string { return slices.Sorted(maps.Keys(h.Draining)) }

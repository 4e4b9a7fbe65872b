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
	// handoverFormat is in the document, with the number of its format.
	handoverFormat = "yokeroute handover 1"
	handoverFile   = "handover"
)

// Handover is what a gatherer leaves to its next process, whose endpoint list may be older: which servers drain. It
// is stored with each change, so that it is there after a kill as well.
type Handover struct {
	path     string
	Draining map[string]float64 // by name: since when the draining process is up, in Unix milliseconds
}

type handoverDocument struct {
	Format   string             `json:"handover"`
	Draining map[string]float64 `json:"draining"`
}

// OpenHandover reads the handover of an earlier process, if there is one. With an error about its content the
// handover is returned empty, and may be used.
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
		err = fmt.Errorf("format %.40q, supported is %q", document.Format, handoverFormat)
	}
	if err != nil {
		return h, fmt.Errorf("%s: %w", h.path, err)
	}
	if document.Draining != nil {
		h.Draining = document.Draining
	}
	return h, nil
}

// SetDraining stores which servers drain, if that has changed.
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

// DrainingNames are the servers that drain, in order.
func (h *Handover) DrainingNames() []string { return slices.Sorted(maps.Keys(h.Draining)) }

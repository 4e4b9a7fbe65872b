package policylease

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"yokeroute/internal/storage/atomicfile"
	"yokeroute/logic/policy"
)

const (
	revisionFormat = "yokeroute fence 1"
	revisionFile   = "policy" // file name in the state folder
)

// storedRevision is the document in the revision file.
type storedRevision struct {
	Format   string          `json:"fence"`
	Revision policy.Revision `json:"at"`
}

// LoadRevision reads the revision that an earlier incarnation stored in a state folder. It returns the zero revision
// if folder is empty or the file does not exist. If the file is damaged it returns the zero revision and an error; the
// gatherer can still start, since without a lease it applies its fallback policy, which does not depend on a revision.
func LoadRevision(folder string) (policy.Revision, error) {
	if folder == "" {
		return policy.Revision{}, nil
	}
	file := filepath.Join(folder, revisionFile)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return policy.Revision{}, nil
	}
	if err != nil {
		return policy.Revision{}, fmt.Errorf("%s: %w", file, err)
	}
	revision, err := parseRevision(text)
	if err != nil {
		return policy.Revision{}, fmt.Errorf("%s: %w", file, err)
	}
	return revision, nil
}

func parseRevision(text []byte) (policy.Revision, error) {
	var stored storedRevision
	if err := json.Unmarshal(text, &stored); err != nil {
		return policy.Revision{}, err
	}
	r := stored.Revision
	switch {
	case stored.Format != revisionFormat:
		return policy.Revision{}, fmt.Errorf("unsupported format %.40q, this version reads %q", stored.Format, revisionFormat)
	case r.LastEnded < r.Epoch:
		return policy.Revision{}, fmt.Errorf("last ended change %d is less than epoch %d", r.LastEnded, r.Epoch)
	}
	return r, nil
}

// saveRevision stores a revision in a state folder. It does nothing if folder is empty.
func saveRevision(folder string, r policy.Revision) error {
	if folder == "" {
		return nil
	}
	text, err := json.Marshal(storedRevision{revisionFormat, r})
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(folder, revisionFile), text)
}

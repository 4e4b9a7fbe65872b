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
	revisionFile   = "policy" // in the state folder
)

// storedRevision is the document in the revision file.
type storedRevision struct {
	Format   string          `json:"fence"`
	Revision policy.Revision `json:"at"`
}

// LoadRevision reads the revision that an earlier incarnation has stored in a state folder. It is zero where there is
// no folder or no file, and also with an error where the file is damaged: a gatherer without a lease applies its
// fallback policy, which depends on no revision.
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
		return policy.Revision{}, fmt.Errorf("the form is %.40q, this reader knows %q", stored.Format, revisionFormat)
	case r.LastEnded < r.Epoch:
		return policy.Revision{}, fmt.Errorf("it says that %d has ended and %d is in force", r.LastEnded, r.Epoch)
	}
	return r, nil
}

// saveRevision stores a revision in a state folder, empty for nowhere.
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

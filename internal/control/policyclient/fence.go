package policyclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/policy"
)

// fenceForm is the first word of a kept fence; fenceName is its file in the state folder.
const (
	fenceForm = "yokeroute fence 1"
	fenceName = "policy"
)

type keptFence struct {
	Form  string          `json:"fence"`
	Fence policy.Revision `json:"at"`
}

// OpenFence reads how far an earlier process has come. No file is a beginning; a torn one is told, and is a beginning
// too: a gatherer that has no lease acts within its floor, for which it needs no fence.
func OpenFence(folder string) (policy.Revision, error) {
	if folder == "" {
		return policy.Revision{}, nil
	}
	file := filepath.Join(folder, fenceName)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return policy.Revision{}, nil
	}
	var kept keptFence
	if err == nil {
		err = json.Unmarshal(text, &kept)
	}
	if err == nil && kept.Form != fenceForm {
		err = fmt.Errorf("the form is %.40q, this reader knows %q", kept.Form, fenceForm)
	}
	if err == nil && kept.Fence.LastEnded < kept.Fence.Epoch {
		err = fmt.Errorf("it says that %d has ended and %d is in force", kept.Fence.LastEnded, kept.Fence.Epoch)
	}
	if err != nil {
		return policy.Revision{}, fmt.Errorf("%s: %w", file, err)
	}
	return kept.Fence, nil
}

// keepFence puts it down.
func keepFence(folder string, f policy.Revision) error {
	if folder == "" {
		return nil
	}
	text, err := json.Marshal(keptFence{fenceForm, f})
	if err != nil {
		return err
	}
	return statedir.WriteFileAtomic(filepath.Join(folder, fenceName), text)
}

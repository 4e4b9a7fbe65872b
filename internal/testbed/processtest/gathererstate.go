package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// StateFolder is where its state outlasts its processes.
func (g *Gatherer) StateFolder() string { return filepath.Join(g.Folder, "state") }

// save keeps the state folder as it is, for a later start with a stale one.
func (g *Gatherer) save() error {
	if !g.fleet.terms.State {
		return nil
	}
	backup := filepath.Join(g.Folder, fmt.Sprintf("backup-%d", g.started))
	if err := os.MkdirAll(g.StateFolder(), 0o755); err != nil {
		return err
	}
	g.backup = backup
	return os.CopyFS(backup, os.DirFS(g.StateFolder()))
}

// Age makes its state folder what the next process is to find: kept, stale (as it was when its last process started),
// torn (its newest file lacks its last bytes) or gone.
func (g *Gatherer) Age(state string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fleet.terms.State {
		return nil
	}
	switch state {
	case "stale":
		if err := os.RemoveAll(g.StateFolder()); err != nil {
			return err
		}
		return os.CopyFS(g.StateFolder(), os.DirFS(g.backup))
	case "gone":
		return os.RemoveAll(g.StateFolder())
	case "torn":
		return tear(g.StateFolder())
	}
	return nil
}

// tear takes the last bytes of the newest file of a folder that has any.
func tear(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	newest, size, at := "", int64(0), time.Time{}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() && info.Size() > 0 && !info.ModTime().Before(at) {
			newest, size, at = filepath.Join(folder, e.Name()), info.Size(), info.ModTime()
		}
	}
	if newest == "" {
		return nil
	}
	return os.Truncate(newest, size-min(size, 7))
}

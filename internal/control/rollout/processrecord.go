package rollout

import (
	"fmt"
	"os"
	"path/filepath"

	"yokeroute/internal/process"
	"yokeroute/internal/storage/atomicfile"
)

// processRecord names a process for a later controller: its ID, and when and after which boot the kernel started it,
// since IDs are reused, and start times too after a reboot.
type processRecord struct {
	pid        int
	startTicks string // empty for a process that does not run
	bootID     string // empty in records of earlier versions, and where the kernel tells none
}

// recordOf returns the record of a process that runs now.
func recordOf(pid int) processRecord {
	return processRecord{pid: pid, startTicks: process.StartTicks(pid), bootID: process.BootID()}
}

// running reports whether the recorded process still runs.
func (r processRecord) running() bool {
	now := recordOf(r.pid)
	if r.bootID != "" && now.bootID != "" && r.bootID != now.bootID {
		return false
	}
	return now.startTicks == r.startTicks
}

func writeProcessRecord(file string, r processRecord) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return atomicfile.Write(file, fmt.Appendf(nil, "%d %s %s\n", r.pid, r.startTicks, r.bootID))
}

// readProcessRecord reads what writeProcessRecord of this or an earlier version wrote; ok is false where there is nothing
// to read.
func readProcessRecord(file string) (r processRecord, ok bool) {
	const requiredFields = 2
	text, err := os.ReadFile(file)
	if err != nil {
		return r, false
	}
	if n, _ := fmt.Sscan(string(text), &r.pid, &r.startTicks, &r.bootID); n < requiredFields {
		return processRecord{}, false
	}
	return r, true
}

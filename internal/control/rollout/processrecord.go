package rollout

import (
	"fmt"
	"os"
	"path/filepath"

	"yokeroute/internal/process"
	"yokeroute/internal/storage/atomicfile"
)

// processRecord identifies a process to a later controller. It holds the start time and the boot ID besides the
// process ID, since process IDs are reused, and after a reboot start times can recur as well.
type processRecord struct {
	pid        int
	startTicks string // empty if the process is not running
	bootID     string // empty in records of earlier versions, and if the kernel does not provide a boot ID
}

// recordOf returns the record of the process that currently has the ID.
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

// readProcessRecord reads a record that writeProcessRecord of this or an earlier version wrote. It returns false if
// the file can't be read or holds no valid record.
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

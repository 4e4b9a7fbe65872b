// Package proc starts processes that end with this one, and reads what the system tells of a process.
package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Name tells a process apart from those before and after it, by its number and its start in Unix milliseconds.
func Name(start float64) string { return fmt.Sprintf("%d-%x", os.Getpid(), int64(start*1000)) }

// Use is what a process has used: CPU in seconds, and its resident memory and the most it had, in MB.
type Use struct{ CPU, Memory, Peak float64 }

// stat are the fields of a process behind its name, from its state on; nil where there is no such process.
func stat(pid int) []string {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return nil
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.Fields(rest)
}

// Of is what a process has used; nothing where there is none.
func Of(pid int) (u Use) {
	if words := stat(pid); len(words) > 13 {
		user, _ := strconv.ParseFloat(words[11], 64)
		system, _ := strconv.ParseFloat(words[12], 64)
		u.CPU = (user + system) / 100
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return u
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		switch kb, _ := strconv.ParseFloat(words[1], 64); words[0] {
		case "VmRSS:":
			u.Memory = kb / 1024
		case "VmHWM:":
			u.Peak = kb / 1024
		}
	}
	return u
}

// State is the kernel's letter for what a process does: T for one that was stopped, Z for one that has ended and waits
// to be buried; 0 where there is none.
func State(pid int) byte {
	if words := stat(pid); len(words) > 0 {
		return words[0][0]
	}
	return 0
}

// Started is when a process started, by the kernel's clock ticks, against taking a later one of the same number for it;
// empty where there is none, or it has ended.
func Started(pid int) string {
	if words := stat(pid); len(words) >= 20 && words[0] != "Z" {
		return words[19]
	}
	return ""
}

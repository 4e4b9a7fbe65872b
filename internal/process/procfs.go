// Package process starts child processes that end with this one, and reads what the kernel reports of a process.
package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Identity names this process by its number and its start in Unix milliseconds, so that it differs from those that had
// its number before and those that will.
func Identity(start float64) string { return fmt.Sprintf("%d-%x", os.Getpid(), int64(start*1000)) }

// Usage is what a process has used.
type Usage struct {
	CPU    float64 // seconds
	Memory float64 // resident, MB
	Peak   float64 // resident, MB
}

// ticksPerSecond is the kernel's USER_HZ, in which /proc counts processor time.
const ticksPerSecond = 100

const kilobytesPerMegabyte = 1024

// Fields of /proc/PID/stat, counted from the state.
const (
	fieldState      = 0
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldStartTime  = 19
)

// schedstatWait is the field of /proc/PID/task/TID/schedstat that tells the time of waiting for a processor.
const schedstatWait = 1

// statFields returns the fields of /proc/PID/stat behind the process's name, nil where there is no such process.
func statFields(pid int) []string {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return nil
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.Fields(rest)
}

// UsageOf returns what a process has used, the zero Usage where there is none.
func UsageOf(pid int) (u Usage) {
	if words := statFields(pid); len(words) > fieldSystemTime+1 {
		user, _ := strconv.ParseFloat(words[fieldUserTime], 64)
		system, _ := strconv.ParseFloat(words[fieldSystemTime], 64)
		u.CPU = (user + system) / ticksPerSecond
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
			u.Memory = kb / kilobytesPerMegabyte
		case "VmHWM:":
			u.Peak = kb / kilobytesPerMegabyte
		}
	}
	return u
}

// SchedulerWait returns for how long the threads of a process were ready to run and waited for a processor, in all; 0
// where the kernel does not count it.
func SchedulerWait(pid int) (wait time.Duration) {
	files, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat")) // the pattern is valid
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		if words := strings.Fields(string(text)); len(words) > schedstatWait {
			nanoseconds, _ := strconv.ParseInt(words[schedstatWait], 10, 64)
			wait += time.Duration(nanoseconds)
		}
	}
	return wait
}

// State returns the kernel's letter for a process's state: T for one that was stopped, Z for one that has ended and was
// not waited for; 0 where there is no such process.
func State(pid int) byte {
	if words := statFields(pid); len(words) > 0 {
		return words[fieldState][0]
	}
	return 0
}

// BootID returns what the kernel calls this boot, empty where it does not tell.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// StartTicks returns when a process started, in the kernel's clock ticks, which tells it apart from a later one of the
// same number. It is empty where there is no such process or it has ended.
func StartTicks(pid int) string {
	if words := statFields(pid); len(words) > fieldStartTime && words[fieldState] != "Z" {
		return words[fieldStartTime]
	}
	return ""
}

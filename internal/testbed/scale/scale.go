// Package scale measures what each role costs at growing sizes, fits a slope through the measurements, and compares
// what it comes to at the design size with the budget. docs/CAPACITY.md is written from its figures.
//
// Control processes are the real ones: the policy follower, the reader of server lists, the decision module and the
// stewards. Gatherers of a scale test are hollow: many share one process, and none of them has clients.
package scale

import (
	"runtime"
	"syscall"
	"time"
)

// The design size: what the operators told for the next two years.
const (
	DesignGatherers     = 3600
	DesignServers       = 28_000
	DesignShardRequests = 640
	DesignZones         = 12
	DesignRegions       = 3
	DesignQueryRate     = 550_000.0 / DesignGatherers // a second and gatherer
)

// Budgets of a gatherer's control work, of a change, and of an answer.
const (
	BudgetControlCPU    = 0.022 // of a core
	BudgetControlMemory = 64 << 20
	BudgetControlBytes  = 2000.0 // a second
	BudgetChange        = 6 * time.Second
	BudgetAnswer        = 58 * time.Millisecond
)

// Cost is what a piece of work took of this process.
type Cost struct {
	Processor   time.Duration
	Allocations uint64
	Bytes       uint64 // allocated
	HeapBytes   uint64 // heap in use after it, once collected
}

// measureCost runs a piece of work and gives what it cost. Nothing else should run in the process meanwhile.
func measureCost(work func()) Cost {
	var before, after, live runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := processorTime()
	work()
	used := processorTime() - began
	runtime.ReadMemStats(&after)
	runtime.GC()
	runtime.ReadMemStats(&live)
	return Cost{used, after.Mallocs - before.Mallocs, after.TotalAlloc - before.TotalAlloc, live.HeapAlloc}
}

// memoryBytes is what this process holds of heap and stacks, once collected. What the kernel holds for it is not counted.
func memoryBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processorTime is what this process has used so far, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package main

import "runtime"

// The kernel hands a signal to the main thread, which notices it only once a write to the disk under way there has
// ended. The main goroutine is locked to it, so that others, which write, run elsewhere.
func init() { runtime.LockOSThread() }

// releaseMainThread lets other goroutines run on the main thread, in a process that writes nothing through to a disk.
func releaseMainThread() { runtime.UnlockOSThread() }

package main

import (
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestNoOtherGoroutineRunsOnTheMainThread guards against SIGTERM that is noticed only once a slow disk has written.
func TestNoOtherGoroutineRunsOnTheMainThread(t *testing.T) {
	const goroutines = 64
	for range 20 {
		var blocked sync.WaitGroup
		for range goroutines {
			blocked.Go(func() {
				if unix.Gettid() == os.Getpid() {
					t.Error("a goroutine runs on the main thread")
				}
				pause := unix.NsecToTimespec(int64(time.Millisecond))
				_ = unix.Nanosleep(&pause, nil) // holds its thread
				if unix.Gettid() == os.Getpid() {
					t.Error("a goroutine came back on the main thread")
				}
			})
		}
		blocked.Wait()
	}
}

// Package runs plays many runs side by side that know nothing of each other.
package parallel

import (
	"runtime"
	"sync"
)

// Each plays n runs, so many at a time as there are workers, one a core where none are told, and gives what came of them
// in their order.
func Each[O any](n, workers int, play func(i int) O) []O {
	if workers < 1 {
		workers = runtime.NumCPU()
	}
	outs, next := make([]O, n), make(chan int)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := range next {
				outs[i] = play(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
	return outs
}

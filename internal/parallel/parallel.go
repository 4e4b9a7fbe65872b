// Package parallel runs independent jobs side by side.
package parallel

import (
	"runtime"
	"sync"
)

// Map calls run for 0 to n-1 with a number of workers, one a core where workers is below 1, and returns the results in
// the order of their index.
func Map[O any](n, workers int, run func(i int) O) []O {
	if workers < 1 {
		workers = runtime.NumCPU()
	}
	results, next := make([]O, n), make(chan int)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := range next {
				results[i] = run(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
	return results
}

package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/report"
)

// ReportCost is what asking many gatherers for their reports costs, once each.
type ReportCost struct {
	Gatherers     int
	ProcessorTime time.Duration // processor time a report, of who asks and who is asked together
	ReportBytes   float64       // a report
	RoundTime     time.Duration // all of them
}

// parallelReports is how many gatherers a controller asks side by side.
const parallelReports = 64

// emptyPool is the connections of a hollow gatherer.
type emptyPool struct{}

// Connections are none.
func (emptyPool) Connections() (open int, opened int64) { return 0, 0 }

// MeasureReports measures a round of questions to so many hollow gatherers, each with its own listener.
func MeasureReports(ctx context.Context, gatherers int) (c ReportCost, err error) {
	if gatherers < 1 {
		return c, fmt.Errorf("reports: %d gatherers, at least 1 is needed", gatherers)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	settings := &gather.Settings{Classes: []gather.Class{{Name: "find", LatencyObjective: latencyObjective, CompleteShare: 1.0}}}
	var addresses []string
	for i := range gatherers {
		counter := report.NewCollector(fmt.Sprint("g", i), settings, func() float64 { return 0 }, emptyPool{})
		s, err := report.Listen("127.0.0.1:0", counter, func() bool { return true }, log)
		if err != nil {
			return c, err
		}
		addresses = append(addresses, s.Address())
		running.Go(func() { s.Run(ctx) })
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	began, from := processorTime(), time.Now()
	total, err := fetchAll(ctx, client, addresses)
	if err != nil {
		return c, err
	}
	n := time.Duration(gatherers)
	return ReportCost{gatherers, (processorTime() - began) / n, float64(total) / float64(gatherers), time.Since(from)}, nil
}

// fetchAll asks each address for its report, so many side by side, and gives the bytes of all answers.
func fetchAll(ctx context.Context, client *http.Client, addresses []string) (total int64, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan string)
	for range parallelReports {
		wait.Go(func() {
			for address := range next {
				n, failed := fetchReport(ctx, client, address)
				mu.Lock()
				total += n
				if failed != nil {
					err = failed
				}
				mu.Unlock()
			}
		})
	}
	for _, address := range addresses {
		next <- address
	}
	close(next)
	wait.Wait()
	return total, err
}

func fetchReport(ctx context.Context, client *http.Client, address string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+report.ReportPath, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return io.Copy(io.Discard, resp.Body)
}

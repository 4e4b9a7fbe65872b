package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
)

const (
	maxDiscoveryDelay = 6 * time.Second // after which a change that discovery has counts as told at the latest
	reportTimeout     = 2 * time.Second
	recheckInterval   = 50 * time.Millisecond

	drainedServer = "s1"
)

// reportClient leaves no connection behind, which would count as a descriptor of the gatherer.
var reportClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func unixMilliseconds() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// readReport reads what a gatherer reports.
func readReport(ctx context.Context, g *processtest.Gatherer) (*report.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Reports+report.ReportPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := reportClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return report.Read(resp.Body)
}

// checkDiscoveryFollowed has a server drain, and wants every gatherer to know of it by the time at which it counts as
// told, whichever agents the gatherer has followed before.
func checkDiscoveryFollowed(ctx context.Context, f *processtest.Fleet) error {
	f.SetPhase("terminating", drainedServer)
	defer f.SetPhase("in_service", drainedServer)
	ctx, cancel := context.WithTimeout(ctx, maxDiscoveryDelay)
	defer cancel()
	var unaware []string
	err := process.WaitUntil(ctx, "all gatherers know of a drain", func() bool {
		unaware = nil
		for _, g := range f.Gatherers {
			if d, err := readReport(ctx, g); err != nil || d.DrainingServers != 1 {
				unaware = append(unaware, g.Name)
			}
		}
		return len(unaware) == 0
	})
	if err != nil {
		return fmt.Errorf("%w: not by %s", err, strings.Join(unaware, ", "))
	}
	return nil
}

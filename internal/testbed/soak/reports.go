package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/parallel"
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
	return awaitDrain(ctx, f.Gatherers, maxDiscoveryDelay)
}

// awaitDrain waits until each gatherer reports one draining server, for as long as limit. The error tells
// what each of the others reported last.
func awaitDrain(ctx context.Context, gatherers []*processtest.Gatherer, limit time.Duration) error {
	errs := parallel.Map(len(gatherers), len(gatherers), func(i int) error {
		if err := awaitDrainAt(ctx, gatherers[i], limit); err != nil {
			return fmt.Errorf("%s: %w", gatherers[i].Name, err)
		}
		return nil
	})
	return errors.Join(errs...)
}

// awaitDrainAt is awaitDrain for one gatherer. A reading that has begun within the limit is not broken off by
// its end.
func awaitDrainAt(ctx context.Context, g *processtest.Gatherer, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reported := "nothing was reported"
	var readErr error
	err := process.WaitUntil(limited, "one draining server", func() bool {
		var d *report.Document
		if d, readErr = readReport(ctx, g); readErr != nil {
			return false
		}
		reported = fmt.Sprintf("last reported are %d draining servers and %d running ones", d.DrainingServers,
			d.RunningServers)
		return d.DrainingServers == 1
	})
	if err != nil {
		return errors.Join(fmt.Errorf("%w: %s", err, reported), readErr)
	}
	return nil
}

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/processtest"
)

const (
	restingClients = 4 // at each gatherer
	restingTimeout = 20 * time.Second
	restingQuery   = time.Second // that a resting client gives its request
)

// runRestingClients has clients send one request on a connection each and rest on it until the gatherer ends it. A
// reset is an error: nothing is under way on such a connection.
func runRestingClients(ctx context.Context, f *processtest.Fleet) error {
	var all sync.WaitGroup
	errs := make([]error, len(f.Gatherers)*restingClients)
	for i := range errs {
		g := f.Gatherers[i%len(f.Gatherers)]
		all.Go(func() {
			for number := 0; ctx.Err() == nil && errs[i] == nil; number++ {
				errs[i] = restOnce(ctx, f, g, fmt.Sprintf("rest%d.%d-0", i, number))
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// restOnce is one connection of a resting client.
func restOnce(ctx context.Context, f *processtest.Fleet, g *processtest.Gatherer, name string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", g.Address)
	if err != nil { // it restarts
		wait(ctx, recheckInterval)
		return nil
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(restingTimeout))
	class := f.Scenario.Indexes[0]
	body := experiment.Body(0, class.Parts, f.Scenario.Layout.Shards, name)
	url := "http://" + g.Address + "/" + class.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("X-Request-ID", name)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(restingQuery.Milliseconds(), 10))
	err = req.Write(conn)
	if err == nil {
		_, err = io.Copy(io.Discard, conn)
	}
	if ctx.Err() == nil && errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("%s: a resting connection at %s ended with %w, %s", name, g.Name, err, g.LastFault())
	}
	return nil
}

package service

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// TestSlowDiskDoesNotDelayEndpointUpdates guards against endpoint updates, which may report draining servers,
// being delayed until the handover is stored. The newest set of draining servers is stored in the end.
func TestSlowDiskDoesNotDelayEndpointUpdates(t *testing.T) {
	writeStarted, gate := make(chan struct{}, 10), make(chan struct{})
	var stored []map[string]float64
	h := newHandover(nil, func(draining map[string]float64) error {
		writeStarted <- struct{}{}
		<-gate
		stored = append(stored, draining)
		return nil
	}, logrus.New())
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for _, name := range []string{"first", "second", "newest"} {
			addresses := []shardcall.Address{{Name: name, State: gather.Draining, StartedAt: 5}, {Name: "running"}}
			h.store(gather.EndpointList{Full: true}, addresses)
			if name == "first" {
				<-writeStarted
			}
		}
	}()
	select {
	case <-reported:
	case <-time.After(time.Second):
		t.Error("the discovery watch waits for the disk")
	}
	close(gate)
	<-reported
	h.close(t.Context())
	if n := len(stored); n != 2 || len(stored[n-1]) != 1 || stored[n-1]["newest"] != 5 {
		t.Errorf("stored %v, want two writes, the last one with only the newest draining server", stored)
	}
}

// TestHandoverCloseIsBoundedWhenDiskHangs checks that close returns when its context ends although the disk hangs, and
// logs what the next process may miss.
func TestHandoverCloseIsBoundedWhenDiskHangs(t *testing.T) {
	gate := make(chan struct{})
	logged := &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(logged)
	h := newHandover(nil, func(map[string]float64) error { <-gate; return nil }, log)
	h.store(gather.EndpointList{Full: true}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	h.close(ctx)
	if !strings.Contains(logged.String(), "the disk is still writing") {
		t.Errorf("log %q does not say that the disk is still writing", logged)
	}
	close(gate)
	h.close(t.Context())
}

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

// TestSlowDiskDoesNotDelayEndpointUpdates guards against endpoint lists, drains among them, that wait until the handover is
// stored. The newest drains are stored in the end.
func TestSlowDiskDoesNotDelayEndpointUpdates(t *testing.T) {
	began, gate := make(chan struct{}, 10), make(chan struct{})
	var stored []map[string]float64
	h := newHandover(nil, func(draining map[string]float64) error {
		began <- struct{}{}
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
				<-began
			}
		}
	}()
	select {
	case <-reported:
	case <-time.After(time.Second):
		t.Error("the watch waits for the disk")
	}
	close(gate)
	<-reported
	h.close(t.Context())
	if n := len(stored); n != 2 || len(stored[n-1]) != 1 || stored[n-1]["newest"] != 5 {
		t.Errorf("stored %v", stored)
	}
}

// TestHandoverCloseIsBoundedWhenDiskHangs: it is bounded, and the log says what the next process may miss.
func TestHandoverCloseIsBoundedWhenDiskHangs(t *testing.T) {
	gate := make(chan struct{})
	text := &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(text)
	h := newHandover(nil, func(map[string]float64) error { <-gate; return nil }, log)
	h.store(gather.EndpointList{Full: true}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	h.close(ctx)
	if !strings.Contains(text.String(), "the disk is still writing") {
		t.Errorf("log: %s", text)
	}
	close(gate)
	h.close(t.Context())
}

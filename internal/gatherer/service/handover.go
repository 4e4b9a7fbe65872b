package service

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/storage/slowwrite"
	"yokeroute/internal/storage/statedir"
	"yokeroute/internal/worker"
)

// handover stores which servers are draining, for the next process of this gatherer. It writes on a separate goroutine,
// so that the discovery watch does not wait for the disk.
type handover struct {
	recovered map[string]float64 // stored by an earlier process: start time of each draining server process, by name
	write     func(draining map[string]float64) error
	log       *logrus.Logger
	worker    *worker.Worker

	mu       sync.Mutex
	draining map[string]float64 // to be stored: start time of each draining server process, by name
}

func newHandover(
	recovered map[string]float64, write func(draining map[string]float64) error, log *logrus.Logger,
) *handover {
	h := &handover{recovered: recovered, write: write, log: log}
	h.worker = worker.New(h.writeNewest)
	return h
}

// addHandover adds the handover of draining servers to the gatherer's next process, if a state folder is configured.
func (a *assembly) addHandover() error {
	if a.operatorFile.State == "" {
		return nil
	}
	stored, err := statedir.OpenHandover(a.operatorFile.State)
	if stored == nil {
		return err
	}
	if err != nil {
		a.log.WithError(err).Warn("handover: cannot read stored draining servers")
	}
	a.handover = newHandover(stored.Draining, stored.SetDraining, a.log)
	a.hooks.endpoints = append(a.hooks.endpoints, a.handover.store)
	a.hooks.close = append(a.hooks.close, func() error {
		ctx, cancel := context.WithDeadline(context.Background(), a.drainDeadline())
		defer cancel()
		a.handover.close(ctx)
		return nil
	})
	return nil
}

// apply marks servers as draining that an earlier process had stored as such, in the endpoint list from the platform's
// configuration, which may be older.
func (h *handover) apply(known *discovery.Response) {
	if marked := known.MarkDraining(h.recovered); marked > 0 {
		h.log.WithField("servers", marked).Info("handover: stored draining servers applied")
	}
}

// store queues the set of draining servers for writing. A failed watch event is ignored, so that what earlier processes
// stored stays until discovery has reported a list.
func (h *handover) store(event gather.EndpointList, addresses []shardcall.Address) {
	if event.Failed {
		return
	}
	draining := map[string]float64{}
	for _, address := range addresses {
		if address.State == gather.Draining {
			draining[address.Name] = address.StartedAt
		}
	}
	h.mu.Lock()
	h.draining = draining
	h.mu.Unlock()
	h.worker.Wake()
}

// writeNewest writes the most recently reported set of draining servers.
func (h *handover) writeNewest() {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	startedAt := time.Now()
	err := h.write(draining)
	slowwrite.Log(h.log, "handover", startedAt)
	if err != nil {
		h.log.WithError(err).Error("handover: cannot store draining servers")
	}
}

// close waits until the newest set of draining servers is stored, or until ctx ends.
func (h *handover) close(ctx context.Context) {
	if !h.worker.WaitIdle(ctx) {
		h.log.Warn("handover: the disk is still writing; the next process may miss the newest draining servers")
	}
}

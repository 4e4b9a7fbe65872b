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

// handover keeps for the next process which servers drain. It writes on a goroutine of its own, so that the watch of
// discovery does not wait for the disk.
type handover struct {
	recovered map[string]float64 // drains that an earlier process stored
	write     func(draining map[string]float64) error
	log       *logrus.Logger
	worker    *worker.Worker

	mu       sync.Mutex
	draining map[string]float64 // to be stored, by name: since when the draining process is up
}

func newHandover(
	recovered map[string]float64, write func(draining map[string]float64) error, log *logrus.Logger,
) *handover {
	h := &handover{recovered: recovered, write: write, log: log}
	h.worker = worker.New(h.writeNewest)
	return h
}

// addHandover adds the handover of drains to the gatherer's next process.
func (a *assembly) addHandover() error {
	if a.operatorFile.State == "" {
		return nil
	}
	stored, err := statedir.OpenHandover(a.operatorFile.State)
	if stored == nil {
		return err
	}
	if err != nil {
		a.log.WithError(err).Warn("handover: stored drains can't be read")
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

// apply marks the drains that an earlier process knew of in the list that the platform knows, which may be older.
func (h *handover) apply(known *discovery.Response) {
	if marked := known.MarkDraining(h.recovered); marked > 0 {
		h.log.WithField("servers", marked).Info("handover: stored drains applied")
	}
}

// store has stored which servers drain. What earlier processes stored stays until discovery itself has reported it.
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

// writeNewest stores the drains that were reported last.
func (h *handover) writeNewest() {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	startedAt := time.Now()
	err := h.write(draining)
	slowwrite.Log(h.log, "handover", startedAt)
	if err != nil {
		h.log.WithError(err).Error("handover: drains can't be stored")
	}
}

// close waits until the newest drains are stored, or until ctx ends.
func (h *handover) close(ctx context.Context) {
	if !h.worker.WaitIdle(ctx) {
		h.log.Warn("handover: the disk is still writing, the next process may not know of the newest drains")
	}
}

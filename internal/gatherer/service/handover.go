package service

import (
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/storage/statedir"
)

// slowWriteThreshold is from which duration a write of the handover is logged.
const slowWriteThreshold = 100 * time.Millisecond

// handover keeps for the next process which servers drain.
type handover struct {
	*statedir.Handover
	log *logrus.Logger
}

// addHandover adds the handover of drains to the gatherer's next process.
func (a *assembly) addHandover() error {
	if a.own.State == "" {
		return nil
	}
	stored, err := statedir.OpenHandover(a.own.State)
	if stored == nil {
		return err
	}
	if err != nil {
		a.log.WithError(err).Warn("handover: stored drains can't be read")
	}
	a.handover = &handover{stored, a.log}
	a.hooks.endpoints = append(a.hooks.endpoints, a.handover.store)
	return nil
}

// apply marks the drains that an earlier process knew of in the list that the platform knows, which may be older.
func (h *handover) apply(known *discovery.Response) {
	if marked := known.MarkDraining(h.Draining); marked > 0 {
		h.log.WithField("servers", marked).Info("handover: stored drains applied")
	}
}

// store stores which servers drain. What earlier processes stored stays until discovery itself has reported it.
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
	startedAt := time.Now()
	err := h.SetDraining(draining)
	if took := time.Since(startedAt); took >= slowWriteThreshold {
		h.log.WithField("took", took).Warn("handover: slow write")
	}
	if err != nil {
		h.log.WithError(err).Error("handover: drains can't be stored")
	}
}

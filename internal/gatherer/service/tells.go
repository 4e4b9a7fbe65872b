package service

import (
	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/storage/statedir"
	"yokeroute/internal/version"
)

// tells wires what a gatherer tells of itself. A nil one tells nothing.
type tells struct {
	counter *report.Counter
	server  *report.Server
}

func newTells(c *platform.Config, own *operator.File, picker *dispatch.Picker, pool *shardcall.Pool, policy func() any, ready func() bool, log *logrus.Logger) (*tells, error) {
	counter := report.NewCounter(c.Name, c.Settings, picker.Now, pool)
	counter.Policy = policy
	server, err := report.Listen(own.ReportAddress, counter, ready, log)
	if err != nil {
		return nil, err
	}
	picker.ObserveDecisions(counter)
	picker.ObserveWire(counter)
	t := &tells{counter, server}
	t.inForce("config", c.Checksum)
	t.files(own)
	return t, nil
}

func (t *tells) inForce(kind, sum string) {
	if t != nil {
		t.counter.InForce(kind, sum)
	}
}

// files tells of the operator's file and of what it names.
func (t *tells) files(own *operator.File) {
	if t == nil {
		return
	}
	t.inForce("operator", own.Checksum)
	for kind, name := range map[string]string{"plan": own.Plan, "placement": own.Placement, "segments": own.Segments} {
		sum := ""
		if name != "" {
			var err error
			if sum, err = version.FileChecksum(name); err != nil { // it has been read a moment ago
				sum = "unknown"
			}
		}
		t.inForce(kind, sum)
	}
}

func (t *tells) follow(list gather.EndpointList) {
	if t != nil {
		t.counter.Follow(list)
	}
}

func (t *tells) leave() {
	if t != nil {
		t.counter.Leave()
	}
}

// handover wires what a gatherer leaves to its successor. A nil one leaves nothing.
type handover struct {
	*statedir.Handover
	log *logrus.Logger
}

func openHandover(folder string, log *logrus.Logger) (*handover, error) {
	h, err := statedir.OpenHandover(folder)
	if h == nil {
		return nil, err
	}
	if err != nil {
		log.WithError(err).Warn("what the process before this one heard of drains cannot be read; discovery will tell")
	}
	return &handover{h, log}, nil
}

// apply keeps the drains that an earlier process heard, where the list known at the start is older than they are.
func (h *handover) apply(known *discovery.Response) {
	if h == nil {
		return
	}
	if marked := known.MarkDraining(h.Draining); marked > 0 {
		h.log.WithField("servers", marked).Info("drains heard by the process before this one are kept")
	}
}

// follow puts down which servers drain. What earlier processes heard stays until discovery itself has told.
func (h *handover) follow(list gather.EndpointList, all []shardcall.Address) {
	if h == nil || list.Failed {
		return
	}
	draining := map[string]float64{}
	for _, a := range all {
		if a.State == gather.Draining {
			draining[a.Name] = a.StartedAt
		}
	}
	if err := h.SetDraining(draining); err != nil {
		h.log.WithError(err).Error("drains could not be written down for the next process")
	}
}

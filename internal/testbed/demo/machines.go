package demo

import (
	"context"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/discovery"
)

// Machine is one machine as the gatherer knows it, and as it is.
type Machine struct {
	Name, Zone string
	ReplicaSet int
	Fault      string // empty without one
	gather.EndpointView
}

// Machines returns all machines. Those that the gatherer does not list have no figures.
func (d *Demo) Machines(ctx context.Context) []Machine {
	views := map[uint32]gather.EndpointView{}
	for _, v := range d.service.Picker.EndpointViews(ctx) {
		views[v.Server] = v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Machine
	for _, m := range d.Fleet.Machines {
		v, listed := views[discovery.ServerID(m.Name)]
		if !listed {
			v.State = gather.Removed
		}
		list = append(list, Machine{Name: m.Name, Zone: m.Zone, ReplicaSet: m.ReplicaSet, Fault: d.faults[m.Name], EndpointView: v})
	}
	return list
}

// Faults are the faults of a machine, with the key that injects each.
var Faults = []struct{ Key, Name, Help string }{
	{"k", "killed", "kill"},
	{"h", "hung", "hang"},
	{"s", "slow", "slow by 5"},
	{"f", "failing", "fail half"},
	{"d", "draining", "drain"},
	{"r", "", "repair"},
}

// ApplyFault injects a fault into a machine by the fault's key, once the fault before is repaired.
func (d *Demo) ApplyFault(machine, key string) {
	s := d.Fleet.Servers[machine]
	d.mu.Lock()
	was := d.faults[machine]
	for _, t := range Faults {
		if t.Key == key {
			d.faults[machine] = t.Name
		}
	}
	d.mu.Unlock()
	switch was {
	case "killed":
		if s.Restart() == nil {
			d.Fleet.AnnounceRestart(machine)
		}
	case "hung":
		s.SetHung(false)
	case "slow":
		s.SetSlowdown(1)
	case "failing":
		s.SetFailureShare(0)
	case "draining":
		d.Fleet.SetPhase("in_service", machine)
	}
	switch key {
	case "k":
		s.Kill()
		go func() { // discovery is late, as in life
			time.Sleep(2 * time.Second)
			d.mu.Lock()
			dead := d.faults[machine] == "killed"
			d.mu.Unlock()
			if dead {
				d.Fleet.SetPhase("terminated", machine)
			}
		}()
	case "h":
		s.SetHung(true)
	case "s":
		s.SetSlowdown(5)
	case "f":
		s.SetFailureShare(0.5)
	case "d":
		d.Fleet.SetPhase("terminating", machine)
	}
}

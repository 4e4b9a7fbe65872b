package emulator

import (
	"fmt"
	"slices"

	"yokeroute/internal/pcg"
	"yokeroute/logic/ownership"
)

// segmentOwners is who owns which keys in truth: the authority's map, what each server believes, and the logs.
type segmentOwners struct {
	m       *ownership.Map
	hosts   []ownership.Host // by server
	logs    map[string]*ownership.SegmentLog
	names   map[uint32]string
	byName  map[string]*server
	chance  *pcg.Source
	next    int
	busy    bool // a hand-over is under way
	changes []ownership.Change
	done    int // hand-overs that were carried out,
	undone  int // and taken back
	refused int // calls
}

// settleSegments deals the first segments out.
func (w *World) settleSegments() error {
	sc := w.sc
	o := &segmentOwners{hosts: make([]ownership.Host, len(w.servers)), logs: map[string]*ownership.SegmentLog{}, names: map[uint32]string{}, byName: map[string]*server{}, chance: w.stream("hand-overs", 0)}
	w.owned = o
	for _, s := range w.servers {
		name := fmt.Sprint("h", s.number)
		o.names[s.id], o.byName[name] = name, s
	}
	var list []ownership.Segment
	for i := range sc.Owned.Segments {
		s := ownership.Segment{Name: fmt.Sprint("s", i), Range: ownership.ShardRange(i, sc.Owned.Segments)}
		for k := range min(sc.Owned.Owners, len(w.servers)) {
			s.Owners = append(s.Owners, fmt.Sprint("h", (i+k*(len(w.servers)/max(sc.Owned.Owners, 1)+1))%len(w.servers)))
		}
		list = append(list, s)
	}
	var err error
	if o.m, err = ownership.NewMap(1, list); err != nil {
		return err
	}
	for _, s := range o.m.Segments {
		o.logs[s.Name] = &ownership.SegmentLog{Epoch: 1}
		o.accept(s)
	}
	for _, g := range w.gatherers {
		g.ownedBy = o.m
	}
	return nil
}

// accept has a segment's owners own it; it reports whether its writer could be reached.
func (o *segmentOwners) accept(s ownership.Segment) bool {
	reached := true
	for i, name := range s.Owners {
		srv := o.byName[name]
		if srv.down > 0 {
			reached = reached && i > 0
			continue
		}
		o.hosts[srv.number].Acquire(ownership.OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince, Writer: i == 0})
	}
	return reached
}

// asks has a server decide about a call.
func (o *segmentOwners) asks(s *server, a *attempt) ownership.Admission {
	keys, segment, since, _ := a.call.Ownership()
	answer := o.hosts[s.number].Admit(ownership.Request{Segment: segment, OwnedSince: since, Range: keys, NonIdempotent: a.call.NonIdempotent()})
	if answer == ownership.NotOwner {
		o.refused++
	}
	return answer
}

// takes reports whether a once-only call's log takes what it is about to do.
func (o *segmentOwners) takes(a *attempt) bool {
	_, segment, since, _ := a.call.Ownership()
	log := o.logs[segment]
	if log == nil || !log.Append(since) {
		o.refused++
		return false
	}
	return true
}

// handOver begins a hand-over and sees to the next one.
func (w *World) handOver() {
	if w.now > w.sc.Length {
		return
	}
	w.in(w.sc.Owned.Every, w.handOver)
	o := w.owned
	if o.busy {
		return
	}
	draw := func(n int) int { return int(o.chance.Uint32() % uint32(n)) }
	i := draw(len(o.m.Segments))
	s := o.m.Segments[i]
	o.next++
	var c ownership.Change
	var err error
	to := func() (hosts []string) {
		for len(hosts) < min(w.sc.Owned.Owners, len(w.servers)) {
			if h := fmt.Sprint("h", draw(len(w.servers))); !slices.Contains(hosts, h) {
				hosts = append(hosts, h)
			}
		}
		return hosts
	}
	switch kind := draw(3); {
	case kind == 0 && len(o.m.Segments) < w.sc.Owned.Most:
		c, err = o.m.SplitSegment(s.Name, s.Lo+(s.Hi-s.Lo)/uint64(2+draw(3))+1, fmt.Sprint("n", o.next, "a"), fmt.Sprint("n", o.next, "b"))
	case kind == 1 && i+1 < len(o.m.Segments) && len(o.m.Segments) > w.sc.Owned.Segments/2:
		c, err = o.m.MergeSegments(s.Name, o.m.Segments[i+1].Name, fmt.Sprint("n", o.next))
	default:
		c, err = o.m.MoveSegment(s.Name, to())
	}
	if err != nil {
		return
	}
	h := ownership.NewHandover(o.m, c)
	o.busy = true
	w.step(&h, o.chance.Float64() < w.sc.Owned.Undone, 0)
}

// step takes the next step of a hand-over. One is carried out at a time. New owners that can't be reached are tried
// some times; then it is taken back.
func (w *World) step(h *ownership.Handover, undo bool, tried int) {
	const most = 10
	o := w.owned
	if h.Step == ownership.Accept && tried > most {
		h.Step, undo = ownership.Publish, true
	}
	reached := func(hosts []string, do func(*ownership.Host)) bool {
		all := true
		for _, name := range hosts {
			if s := o.byName[name]; s.down == 0 {
				do(&o.hosts[s.number])
			} else {
				all = false
			}
		}
		return all
	}
	old, new := true, true
	switch h.Step {
	case ownership.Seal:
		for _, s := range h.Previous {
			old = reached(s.Owners, func(host *ownership.Host) { host.Seal(s.Name) }) && old
		}
	case ownership.Fence:
		o.raise(h.Change)
	case ownership.Accept:
		for _, s := range h.Added {
			new = o.accept(s) && new
		}
	case ownership.Publish:
		if undo {
			changes, err := h.Revert(o.m)
			if err != nil {
				panic(err) // the map has not changed since the hand-over began
			}
			for _, c := range changes {
				o.raise(c)
				for _, s := range c.Added {
					o.accept(s)
				}
				w.publish(c)
			}
			o.undone++
			o.busy = false
			return
		}
		w.publish(h.Change)
		o.done++
	case ownership.Release:
		for _, s := range h.Previous {
			reached(s.Owners, func(host *ownership.Host) {
				host.Segments = slices.DeleteFunc(host.Segments, func(has ownership.OwnedSegment) bool { return has.Name == s.Name && has.OwnedSince == s.OwnedSince })
			})
		}
	}
	if h.CanProceed(old, new) {
		h.Step++
		tried = 0
	} else {
		tried++
	}
	if h.Step == ownership.Done {
		o.busy = false
		return
	}
	w.in(w.sc.Owned.Takes, func() { w.step(h, undo, tried) })
}

func (o *segmentOwners) raise(c ownership.Change) {
	for _, name := range c.Removed {
		if log := o.logs[name]; log != nil {
			log.RaiseEpoch(c.Epoch)
			log.Sealed = true
		}
	}
	for _, s := range c.Added {
		log := o.logs[s.Name]
		if log == nil {
			log = &ownership.SegmentLog{}
			o.logs[s.Name] = log
		}
		log.RaiseEpoch(c.Epoch)
		log.Sealed = false
	}
}

// publish tells all gatherers of a change, each as late as it hears of anything.
func (w *World) publish(c ownership.Change) {
	o := w.owned
	next, err := o.m.Apply(c)
	if err != nil {
		return
	}
	o.m = next
	o.changes = append(o.changes, c)
	for _, g := range w.gatherers {
		lag := (w.sc.Discovery.Lag + (w.sc.Discovery.To-w.sc.Discovery.Lag)*g.know.Float64()) * w.listLag
		w.in(lag, func() {
			if next.Epoch > g.ownedBy.Epoch {
				g.ownedBy = next
			}
			if g.alive {
				g.picker.ApplyMapChange(c)
				w.round(g)
			}
		})
	}
}

// behind gives a gatherer the whole map where its facade finds that it is behind.
func (w *World) behind(g *gatherer) {
	if w.owned == nil {
		return
	}
	select {
	case <-g.picker.MapRequested():
		m := w.owned.m
		w.in(2, func() { // asking the authority takes a moment
			if m.Epoch > g.ownedBy.Epoch {
				g.ownedBy = m
			}
			if g.alive {
				g.picker.SetMap(m)
				w.round(g)
			}
		})
	default:
	}
}

package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"yokeroute/internal/suggest"
)

// drift is by how much two machines' clocks may differ in how fast they run: forty times what is allowed
// to an ordinary quartz.
const drift = 0.02

// Leader is what a steward that leads decides by: the record, and what it has heard from gatherers since
// its lead began. Times are milliseconds of its own monotonic clock.
type Leader struct {
	Record *Record
	Lease  float64 // that it gives
	Limit  float64 // after which a change that is not everywhere prepared is given up

	began   float64
	noticed float64    // when the change that is being prepared was first seen by this one
	number  uint64     // that change's
	heard   []instance // in the order of names and processes
}

// instance is one process of a gatherer. Two may bear one name: one that was stopped, and the one in its
// place.
type instance struct {
	name, process string
	hello         Hello
	at            float64 // when it last asked
	// begun is the change that was being prepared when it first asked, holding nothing: it has never heard a
	// word without it, and acts within its floor or within both.
	begun uint64
}

// Open begins a steward's lead.
func Open(r *Record, lease, limit, now float64) *Leader {
	return &Leader{Record: r, Lease: lease, Limit: limit, began: now}
}

// Wait is for how long after its last question a gatherer may still act by a lease: beyond it, by any
// clock, it acts within its floor.
func (d *Leader) Wait() float64 { return d.Lease * (1 + drift) }

// Hear takes a gatherer's question and gives its answer. It has to be asked for at the moment at which
// the steward is known to lead, by others' word, so that a steward that was stopped and overtaken gives
// no lease.
func (d *Leader) Hear(now float64, o Hello) Word {
	w := d.Record.Word()
	in := instance{name: o.Name, process: o.Process}
	i, found := slices.BinarySearchFunc(d.heard, in, func(a, b instance) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.process, b.process))
	})
	if !found {
		if w.Change != nil && o.Holds == (Fence{}) {
			in.begun = w.Change.Number
		}
		d.heard = slices.Insert(d.heard, i, in)
	}
	if d.Record.Known(o.Member) {
		w.Lease = d.Lease
	}
	d.heard[i].hello, d.heard[i].at = o, now
	return w
}

// prepared reports whether a process of a gatherer can't do any more what a change forbids.
func (in *instance) prepared(number uint64) bool {
	return in.begun == number || in.hello.Holds.Change == number && in.hello.Settled
}

// live are the processes that may still act by a lease, in the order of their names.
func (d *Leader) live(now float64) []instance {
	d.heard = slices.DeleteFunc(d.heard, func(in instance) bool { return now > in.at+d.Wait()+d.Limit })
	var all []instance
	for _, in := range d.heard {
		if now <= in.at+d.Wait() {
			all = append(all, in)
		}
	}
	return all
}

// Decide says whether the change that is being prepared is to be decided or given up now, nothing where
// neither; and for people what is waited for.
func (d *Leader) Decide(now float64) (c *Command, waits string) {
	change := d.Record.Change
	if change == nil {
		return nil, ""
	}
	if d.number != change.Number {
		d.number, d.noticed = change.Number, now
	}
	var missing []string
	for _, in := range d.live(now) {
		switch {
		case in.hello.Refuses == change.Number:
			return &Command{GiveUp: change.Number, Word: fmt.Sprintf("%s refuses it: %s", in.name, in.hello.Why)}, ""
		case !in.prepared(change.Number):
			missing = append(missing, in.name)
		}
	}
	switch {
	case len(missing) == 0 && now > d.began+d.Wait():
		return &Command{Decide: change.Number}, ""
	case now > d.noticed+d.Limit:
		word := "the stewards' lead went from one to another too often"
		if len(missing) > 0 {
			word = fmt.Sprintf("not prepared within %.0f s: %s", d.Limit/1000, suggest.List(slices.Compact(missing)))
		}
		return &Command{GiveUp: change.Number, Word: word}, ""
	case len(missing) > 0:
		return nil, "not prepared yet: " + suggest.List(slices.Compact(missing))
	}
	return nil, fmt.Sprintf("a steward that has just begun to lead waits for %.0f s, "+
		"since who asked the one before it may act by its word", math.Ceil((d.began+d.Wait()-now)/1000))
}

// Standing is how far a gatherer is.
type Standing struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone,omitempty"`
	Holds   Fence   `json:"holds"`
	State   State   `json:"state"`
	Since   float64 `json:"since"` // milliseconds since it was last heard; -1 for never by this steward
	Version string  `json:"version,omitempty"`
	Word    string  `json:"word,omitempty"`
}

// State is a gatherer's, in a word.
type State string

// The states.
const (
	Holding  State = "holds"    // the policy in force
	Prepared State = "prepared" // for the change
	Behind   State = "behind"   // it acts by an older word, or has lookups in hand that do
	Alone    State = "alone"    // it has not been heard, and acts within its floor
	Refusing State = "refuses"
	Outside  State = "not taken in" // it acts within a floor that allows what is forbidden, or is too old
)

// Standings are all gatherers that are known or were heard, by name; of one with several processes the
// one that is the furthest behind.
func (d *Leader) Standings(now float64) (all []Standing) {
	number := uint64(0)
	if d.Record.Change != nil {
		number = d.Record.Change.Number
	}
	rank := []State{Holding, Prepared, Alone, Behind, Outside, Refusing}
	put := func(s Standing) { // names come in their order
		last := len(all) - 1
		switch {
		case last < 0 || all[last].Name != s.Name:
			all = append(all, s)
		case slices.Index(rank, s.State) > slices.Index(rank, all[last].State):
			all[last] = s
		}
	}
	for _, in := range d.live(now) {
		o := in.hello
		s := Standing{Name: in.name, Zone: o.Zone, Holds: o.Holds, State: Behind, Since: now - in.at,
			Version: o.Version}
		switch {
		case !d.Record.Known(o.Member):
			s.State, s.Word = Outside, "its floor allows what is forbidden, or it does not know a kind"
		case o.Refuses > 0:
			s.State, s.Word = Refusing, o.Why
		case number > 0 && in.prepared(number):
			s.State = Prepared
		case o.Holds == (Fence{}): // it has just started, or had not been answered for a lease, when it asked
			s.State = Alone
		case number == 0 && o.Holds.Epoch == d.Record.Epoch && o.Holds.Last == d.Record.Last && o.Settled:
			s.State = Holding
		}
		put(s)
	}
	byName := func(s Standing, name string) int { return strings.Compare(s.Name, name) }
	heard := all
	for _, m := range d.Record.Members {
		if _, found := slices.BinarySearchFunc(heard, m.Name, byName); found {
			continue
		}
		s := Standing{Name: m.Name, Zone: m.Zone, State: Alone, Since: -1}
		for _, in := range d.heard {
			if in.name == m.Name && (s.Since < 0 || now-in.at < s.Since) {
				s.Since, s.Holds, s.Version = now-in.at, in.hello.Holds, in.hello.Version
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Standing) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Everywhere reports whether the policy in force is all that any gatherer acts by, but for those that are
// alone, and names those that lack; standings are those of the same moment.
func (d *Leader) Everywhere(now float64, standings []Standing) (holds bool, missing []string) {
	if now <= d.began+d.Wait() { // somebody may act by the word of the steward before this one
		missing = append(missing, "who asked the steward that led before")
	}
	for _, s := range standings {
		if s.State == Behind || s.State == Refusing {
			missing = append(missing, s.Name)
		}
	}
	return len(missing) == 0 && d.Record.Change == nil, missing
}

package soak

import "yokeroute/internal/pcg"

// Extras are what happens beside a day's faults.
type Extras struct {
	Reconfigured bool // gatherers get new files and SIGHUP, twice in a row, and discovery moves by them
	Habits       bool // some clients leave while their request waits, others give it very little time
	Exclusive    bool // the changes of policies are between two that exclude each other
	Resting      bool // clients rest until the gatherer ends their connection
}

const (
	leavingShare = 0.05
	hurriedShare = 0.05
)

// drawExtras draws a day's extras, apart from its faults. Reconfigurations would disturb the files of a rollout; where
// processes are killed, and beside a crowd, resting connections may be reset.
func drawExtras(seed uint64, kind Kind, crowd bool) Extras {
	random := pcg.New(seed ^ 0xe871a5)
	e := Extras{
		Reconfigured: random.Uint32()%2 == 0,
		Habits:       random.Uint32()%2 == 0,
		Resting:      random.Uint32()%2 == 0,
		Exclusive:    random.Uint32()%2 == 0,
	}
	e.Reconfigured = e.Reconfigured && kind != Rollouts
	e.Resting = e.Resting && kind == Restarts && !crowd
	e.Exclusive = e.Exclusive && kind == Policies
	return e
}

// String names the extras behind the kind of a day.
func (e Extras) String() string {
	text := ""
	if e.Reconfigured {
		text += ", new files"
	}
	if e.Habits {
		text += ", hasty clients"
	}
	if e.Exclusive {
		text += ", policies that exclude each other"
	}
	if e.Resting {
		text += ", resting clients"
	}
	return text
}

package processtest

import (
	"time"

	"yokeroute/internal/pcg"
)

const (
	maxLeavingTime = 60 * time.Millisecond // until a client that leaves has gone
	maxHurryTime   = 30 * time.Millisecond // that a client in a hurry gives a request

	// habitShift keeps the numbers of operations apart from seeds.
	habitShift = 32
)

// ClientHabits are the shares of operations whose clients are not the usual ones.
type ClientHabits struct {
	Leaving float64 // which close their connection while the request waits
	Hurried float64 // which give a request very little time
}

// draw draws an operation's client.
func (h ClientHabits) draw(o *operation, chance *pcg.Source) {
	switch draw := chance.Float64(); {
	case draw < h.Leaving:
		o.leaving = time.Duration(chance.Float64()*float64(maxLeavingTime)) + time.Millisecond
	case draw < h.Leaving+h.Hurried:
		o.hurry = time.Duration(chance.Float64()*float64(maxHurryTime)) + time.Millisecond
	}
}

package dispatch

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
)

// NewPlayed makes a picker whose rounds are played one by one by the caller, by a clock of the caller's: for models
// of fleets in which time is not the machine's. Build makes the module; nil is the project's own. Nothing of it may
// be called by two goroutines at once, and Tick and Pick not at all.
func NewPlayed(seed uint64, settings *gather.Settings, build func(seed uint64, settings *gather.Settings) gather.Module, clock func() float64, log *logrus.Logger) *Picker {
	p := New(seed, settings, log)
	p.clock = clock
	if build != nil {
		p.build = build
		p.module = build(seed, settings)
	}
	return p
}

// Due is when the next round is due, by the clock: no sooner than a tick after the last one. It is infinite where
// nothing waits.
func (p *Picker) Due() float64 {
	at := p.wakeAt
	if p.inbox.waiting {
		at = 0
	}
	return max(at, p.ranAt+p.tick)
}

// Play runs a round now.
func (p *Picker) Play() Orders { return p.round(p.Now()) }

// Take hands a lookup in for the next round; false where too much is held already.
func (p *Picker) Take(lk *Lookup) bool { return p.admit(lk) }

// Leave tells that a lookup's client has gone. Its verdict is there after the next round.
func (p *Picker) Leave(lk *Lookup) {
	p.tell(func(in *inbox) { in.Abandoned = append(in.Abandoned, lk.ref) })
}

// View is what the module knows of the servers, after one more round; nil where ctx ends before that.
func (p *Picker) View(ctx context.Context) []gather.EndpointView {
	to := make(chan []gather.EndpointView, 1)
	p.tell(func(in *inbox) { in.views = append(in.views, to) })
	select {
	case v := <-to:
		return v
	case <-ctx.Done():
		return nil
	}
}

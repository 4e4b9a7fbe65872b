package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/processtest"
)

const (
	reconfigurationPause = 400 * time.Millisecond
	maxSecondHangupDelay = 30 * time.Millisecond // behind the first, which may still be carried out
	restartOneIn         = 4                     // on days of restarts, one of so many comes behind SIGTERM
	termPollInterval     = time.Millisecond
	firstTraceCount      = 50
)

// reconfigurations gives gatherers new files until ctx ends.
type reconfigurations struct {
	fleet  *processtest.Fleet
	random *pcg.Source
	count  int
}

func runReconfigurations(ctx context.Context, f *processtest.Fleet, day *Day) error {
	r := &reconfigurations{fleet: f, random: pcg.New(day.Seed ^ 0x51609)}
	for wait(ctx, reconfigurationPause); ctx.Err() == nil; wait(ctx, reconfigurationPause) {
		g := f.Gatherers[r.random.Uint32()%uint32(len(f.Gatherers))]
		afterTerm := r.random.Uint32()%restartOneIn == 0 && day.Kind == Restarts
		if !g.IsReady() { // by the platform's page it gets no SIGHUP
			continue
		}
		reconfigure := r.hangupTwice
		if afterTerm {
			reconfigure = r.hangupAfterTerm
		}
		if err := reconfigure(ctx, g); err != nil {
			return fmt.Errorf("%s: new files: %w", g.Name, err)
		}
	}
	return nil
}

// hangupTwice sends SIGHUP with new files, and again with other ones while the first may be carried out.
func (r *reconfigurations) hangupTwice(ctx context.Context, g *processtest.Gatherer) error {
	if err := r.hangup(g); err != nil {
		return err
	}
	wait(ctx, time.Duration(r.random.Float64()*float64(maxSecondHangupDelay)))
	return r.hangup(g)
}

// hangupAfterTerm restarts a gatherer as planned, and sends SIGHUP with new files right behind SIGTERM.
func (r *reconfigurations) hangupAfterTerm(ctx context.Context, g *processtest.Gatherer) error {
	ctx = context.WithoutCancel(ctx) // a restart that has begun is carried out
	fault := &processtest.Fault{Kind: "restart", On: []string{g.Name}, State: "kept"}
	p := g.Process()
	r.fleet.Say("%s: SIGTERM, SIGHUP behind it", p.Name)
	begun := make(chan error, 1)
	go func() { begun <- r.fleet.Do(ctx, fault, false) }()
	for !p.Sent(syscall.SIGTERM) && p.Alive() {
		time.Sleep(termPollInterval)
	}
	hangupErr := r.hangup(g)
	return errors.Join(<-begun, hangupErr, r.fleet.Do(ctx, fault, true))
}

// hangup writes new files, which move discovery every other time, and sends SIGHUP.
func (r *reconfigurations) hangup(g *processtest.Gatherer) error {
	r.count++
	p := g.Process()
	var err error
	if r.count%2 == 0 {
		err = g.MoveDiscovery()
	} else {
		err = g.SetOperatorText(fmt.Sprintf("trace keep %d", firstTraceCount+r.count))
	}
	if err != nil {
		return err
	}
	r.fleet.Say("%s: new files %d and SIGHUP", p.Name, r.count)
	if err := p.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

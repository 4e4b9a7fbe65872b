package processtest

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/testbed/reservedport"
)

// TestLostTryTellsOfSIGTERM guards against a lost try that says nothing of its gatherer's planned end, as
// that was no drawn fault but a rollout's step.
func TestLostTryTellsOfSIGTERM(t *testing.T) {
	g := &Gatherer{Name: "g1"}
	for _, name := range []string{"g1.1", "g1.2"} {
		p, err := process.Start(name, "/bin/sleep", []string{"60"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		g.process, g.processes = p, append(g.processes, p)
	}
	fleet := &Fleet{}
	lost := func() LostTry {
		return fleet.lostTry(&Try{StartedAt: time.Now()}, &frontTarget{gatherer: g}, NewConnectionBroke, io.EOF)
	}
	if text := lost().String(); strings.Contains(text, "SIGTERM") {
		t.Errorf("before: %s", text)
	}
	if err := g.processes[0].Terminate(minute(t)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	told := lost()
	if told.Terminated != "g1.1" || told.SinceTerm < 10*time.Millisecond || told.Fault != "" {
		t.Errorf("%+v", told)
	}
	if text := told.String(); !strings.Contains(text, "no fault before, 0.") || !strings.Contains(text, "s after SIGTERM to g1.1") {
		t.Errorf("after: %s", text)
	}
}

// TestLostTryTellsOfRelay guards against resets that are taken for a gatherer's where the rig's relay has
// made them, as its own connection was refused.
func TestLostTryTellsOfRelay(t *testing.T) {
	link, err := NewLink("front", "g1", "127.0.0.1", reservedport.ForTest(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	fleet := &Fleet{links: map[string]*Link{link.Name(): link}}
	target := &frontTarget{gatherer: &Gatherer{Name: "g1"}}
	try := &Try{StartedAt: time.Now()}
	c, reset := net.Dial("tcp", link.Address()) // the reset may come within
	if reset == nil {
		defer c.Close()
		_, reset = c.Read(make([]byte, 1))
	}
	if !errors.Is(reset, syscall.ECONNRESET) {
		t.Fatal(reset)
	}
	told := fleet.lostTry(try, target, NewConnectionBroke, reset)
	if told.Refused != 1 || !strings.Contains(told.String(), "(1 connections of the relay refused meanwhile)") {
		t.Errorf("%v", told)
	}
	later := &Try{StartedAt: time.Now()}
	if told := fleet.lostTry(later, target, NewConnectionBroke, errors.New("another one")); told.Refused != 0 {
		t.Errorf("%v", told)
	}
}

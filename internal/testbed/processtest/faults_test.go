package processtest

import (
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/process"
)

// TestFaultsOverlapOnOneTarget guards against a rig that falls over its own faults: a second SIGTERM whose end waits for
// the process that the first one's end has started, a server that is started twice, and a process that one fault lets
// go on while another one still stops it.
func TestFaultsOverlapOnOneTarget(t *testing.T) {
	t.Parallel()
	ctx := minute(t)
	f := start(t, ctx, small+`
fault term on g4 at 300ms for 100ms
fault term on g4 at 350ms for 2s
fault kill on g3 at 400ms for 200ms
fault term on g3 at 450ms for 1s
fault kill on g3 at 500ms for 1500ms
fault port-taken on g3 at 2.2s for 300ms
fault kill on g3 at 2.3s for 100ms
fault stop on g2 at 300ms for 1500ms
fault stop on g2 at 500ms for 200ms
fault server-kill on s1 at 300ms for 500ms
fault server-kill on s1 at 500ms for 800ms
fault server-kill on s1 at 700ms for 200ms
fault hang on s2 at 300ms for 1s
fault hang on s2 at 500ms for 200ms
fault cut on g1:s3 at 300ms for 1s
fault cut on g1:s3 at 500ms for 200ms
`, Terms{})
	stopped := make(chan bool, 1)
	go func() {
		time.Sleep(1200 * time.Millisecond)
		stopped <- f.Gatherer("g2").Process().Stopped()
	}()
	if err := f.Play(ctx); err != nil {
		t.Fatal(err)
	}
	if !<-stopped {
		t.Error("g2 went on while a fault still stopped it")
	}
	for _, g := range f.Gatherers {
		if !g.Serves() {
			t.Errorf("%s does not serve after all faults", g.Name)
		}
	}
	end(t, f)
}

// TestOnlyProcessesThatHaveNotBegunMayEndBySignal guards against a soak that accuses a process which SIGTERM met before
// it could catch it, or that excuses one which had begun.
func TestOnlyProcessesThatHaveNotBegunMayEndBySignal(t *testing.T) {
	t.Parallel()
	for script, excused := range map[string]bool{
		"exec sleep 60":               true,
		"echo begun; exec sleep 60":   false,
		"trap 'exit 0' TERM; sleep 1": false, // it ends with status 0
	} {
		p, err := process.Start("script", "/bin/sh", []string{"-c", script}, nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // the shell's commands begin, of which nothing tells
		if err := p.Terminate(minute(t)); err != nil {
			t.Fatal(err)
		}
		if got := EndedBeforeItBegan(p); got != excused {
			t.Errorf("%q: excused %v, ended with %v", script, got, p.Err())
		}
	}
}

// TestSignalToEndedProcessIsNoFault guards against a day that fails as a fault strikes a process which has ended and is
// not waited for yet: what it has started holds its output.
func TestSignalToEndedProcessIsNoFault(t *testing.T) {
	p, err := process.Start("ended", "/bin/sh", []string{"-c", "sleep 20 & exit 0"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	var signalled error
	err = process.WaitUntil(minute(t), "the process has ended", func() bool {
		signalled = p.Signal(syscall.SIGCONT)
		return signalled != nil
	})
	if err != nil || !p.Alive() {
		t.Fatalf("%v, waited for: %v", err, !p.Alive())
	}
	if err := ignoreEnded(p, signalled); err != nil {
		t.Error(err)
	}
}

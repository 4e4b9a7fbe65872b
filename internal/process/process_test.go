package process

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// deafProcess is the environment variable that has this test be a process that does not end on SIGTERM.
const deafProcess = "YOKEROUTE_TEST_DEAF_PROCESS"

// TestHangOnTerminateIsDescribed guards against a process that does not end on SIGTERM and leaves nothing to tell why.
func TestHangOnTerminateIsDescribed(t *testing.T) {
	if os.Getenv(deafProcess) != "" {
		signal.Ignore(syscall.SIGTERM)
		os.Stdout.WriteString("deaf\n")
		time.Sleep(time.Minute)
	}
	args := []string{"-test.run", "^TestHangOnTerminateIsDescribed$"}
	p, err := Start("deaf", os.Args[0], args, []string{deafProcess + "=1"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := WaitUntil(ctx, "it is deaf", func() bool { return strings.Contains(p.Log(), "deaf") }); err != nil {
		t.Fatal(err)
	}
	short, end := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer end()
	err = p.Terminate(short)
	for _, want := range []string{"deaf has not ended", "SIGTERM (0.", "TestHangOnTerminateIsDescribed(", "time.Sleep("} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %.3000v", want, err)
		}
	}
	if p.Alive() {
		t.Error("it runs on")
	}
}

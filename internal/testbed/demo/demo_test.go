package demo

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"yokeroute/gather"
)

// ask sends what the printed curl sends and gives the status.
func ask(t *testing.T, curl, id string) int {
	t.Helper()
	url := regexp.MustCompile(`http://\S+`).FindString(curl)
	body := regexp.MustCompile(`-d '(.*)'`).FindStringSubmatch(curl)[1]
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range regexp.MustCompile(`-H '([^:]+): ([^']+)'`).FindAllStringSubmatch(curl, -1) {
		req.Header.Set(header[1], header[2])
	}
	req.Header.Set("X-Request-ID", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// until waits for something to become true of the machines.
func until(t *testing.T, d *Demo, what string, holds func([]Machine) bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds(d.Machines(t.Context())) {
			return
		}
	}
	t.Errorf("never: %s", what)
}

// TestPrintedCurlIsServedAndFaultsShowOnTheScreen sends the printed curl, also with a server killed.
func TestPrintedCurlIsServedAndFaultsShowOnTheScreen(t *testing.T) {
	d, err := Start(Options{Listen: "127.0.0.1:0", Rate: 40, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	until(t, d, "all machines are listed", func(all []Machine) bool {
		listed := 0
		for _, m := range all {
			if m.State == gather.Running && m.Latency > 0 {
				listed++
			}
		}
		return listed == len(all) && len(all) == sets*replicas
	})
	if status := ask(t, d.Curl(), "by-hand-1"); status != http.StatusOK {
		t.Errorf("the printed curl is answered with %d", status)
	}
	first := d.Fleet.Machines[0].Name
	d.ApplyFault(first, "d")
	until(t, d, "a drained machine shows as draining", func(all []Machine) bool { return all[0].State == gather.Draining && all[0].Fault == "draining" })
	d.ApplyFault(first, "k")
	until(t, d, "a killed machine leaves the list", func(all []Machine) bool { return all[0].State == gather.Removed })
	if status := ask(t, d.Curl(), "by-hand-2"); status != http.StatusOK {
		t.Errorf("with a server killed the curl is answered with %d", status)
	}
	d.ApplyFault(first, "r")
	until(t, d, "a repaired machine is back, cold", func(all []Machine) bool { return all[0].State == gather.Running && all[0].CapacityShare < 1 })

	// The screen takes keys and new figures without a terminal.
	s := &screen{demo: d, ctx: t.Context(), width: 100}
	s.Update(machinesUpdated(d.Machines(t.Context())))
	s.Update(tea.KeyMsg{Type: tea.KeyDown})
	_, cmd := s.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune{'s'}})
	cmd()
	s.Update(machinesUpdated(d.Machines(t.Context())))
	view := s.View()
	for _, want := range []string{"curl -i http://", "server", first, "slow", "satisfied", "q quit"} {
		if !strings.Contains(view, want) {
			t.Errorf("the screen lacks %q:\n%s", want, view)
		}
	}
	if _, quit := s.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune{'q'}}); quit == nil {
		t.Error("q does not quit")
	}

	var plain strings.Builder
	ctx, stop := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer stop()
	d.WriteLines(ctx, &plain)
	if !strings.Contains(plain.String(), "lookups") || !strings.Contains(plain.String(), "f=") {
		t.Errorf("lines: %q", plain.String())
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	if n := d.Counts.Complete.Load(); n < 20 {
		t.Errorf("%d satisfied", n)
	}
}

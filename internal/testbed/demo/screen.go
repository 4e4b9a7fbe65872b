package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"

	"yokeroute/gather"
	"yokeroute/internal/termstyle"
)

// refreshInterval is how often the screen is drawn anew.
const refreshInterval = 250 * time.Millisecond

// screen is the live view.
type screen struct {
	demo           *Demo
	ctx            context.Context
	machines       []Machine
	selected       int
	width          int
	previousCounts [3]int64 // lookups, calls and further calls a second ago
	rates          [3]float64
	ticks          int
}

type machinesUpdated []Machine

// RunScreen shows the live view until a key ends it, or ctx.
func (d *Demo) RunScreen(ctx context.Context) error {
	p := tea.NewProgram(&screen{demo: d, ctx: ctx, width: 100}, tea.WithContext(ctx), tea.WithAltScreen())
	_, err := p.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *screen) Init() tea.Cmd { return s.pollMachines }

// pollMachines asks the gatherer off the screen's own goroutine, and not more often than it is drawn.
func (s *screen) pollMachines() tea.Msg {
	time.Sleep(refreshInterval)
	return machinesUpdated(s.demo.Machines(s.ctx))
}

// Update takes a key or new figures.
func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case machinesUpdated:
		s.machines = m
		if s.ticks++; s.ticks%4 == 0 {
			now := [3]int64{s.demo.Counts.Queries.Load(), s.demo.Counts.Attempts.Load(), s.demo.Counts.Retries.Load()}
			for i := range now {
				s.rates[i] = float64(now[i]-s.previousCounts[i]) / (4 * refreshInterval.Seconds())
			}
			s.previousCounts = now
		}
		return s, s.pollMachines
	case tea.WindowSizeMsg:
		s.width = m.Width
	case tea.KeyMsg:
		switch key := m.String(); key {
		case "q", "ctrl+c", "esc":
			return s, tea.Quit
		case "up":
			s.selected = max(s.selected-1, 0)
		case "down":
			s.selected = min(s.selected+1, max(len(s.machines)-1, 0))
		default:
			for _, t := range Faults {
				if t.Key == key && s.selected < len(s.machines) {
					name := s.machines[s.selected].Name
					return s, func() tea.Msg { s.demo.ApplyFault(name, key); return nil }
				}
			}
		}
	}
	return s, nil
}

var states = map[gather.State]string{gather.Running: "running", gather.Draining: "draining", gather.Removed: "off the list"}

// View draws the screen.
func (s *screen) View() string {
	var b strings.Builder
	fmt.Fprintln(&b, termstyle.Title.Render("yokeroute demo")+termstyle.Muted.Render("  a gatherer on http://"+s.demo.Address+" before six stand-in shard servers"))
	fmt.Fprintln(&b, termstyle.Muted.Render("ask it yourself:"))
	fmt.Fprintln(&b, lipgloss.NewStyle().Width(max(s.width-2, 40)).Render(s.demo.Curl()))
	fmt.Fprintln(&b)
	fmt.Fprintln(&b, termstyle.Title.Render(fmt.Sprintf("  %-10s %-3s %-12s %9s %6s %9s %7s %5s %6s  %s", "server", "set", "list", "s ms", "f", "r ms", "q", "calls", "warm", "done to it")))
	for i, m := range s.machines {
		line := fmt.Sprintf("  %-10s %-3d %-12s %9.1f %6.2f %9.1f %7d %5.0f %5.0f%%  %s", m.Name, m.ReplicaSet, states[m.State], m.Latency, m.FailureShare, m.ExtraLatency, m.InFlight, m.Rate, 100*m.CapacityShare, m.Fault)
		switch {
		case i == s.selected:
			line = termstyle.Selected.Render(line)
		case m.FailureShare > 0.2 || m.State != gather.Running:
			line = termstyle.Alert.Render(line)
		}
		fmt.Fprintln(&b, line)
	}
	c := &s.demo.Counts
	fmt.Fprintf(&b, "\n  %s %8.1f/s   satisfied %d   in part %d   %s   %s\n", termstyle.Title.Render("lookups"), s.rates[0], c.Complete.Load(), c.Partial.Load(), highlightCount("nacked", c.Rejected.Load()), highlightCount("aborted", c.Failed.Load()))
	fmt.Fprintf(&b, "  %s   %6.1f/s   further %.1f/s   beyond n %d   answered %d   failed %d   given up %d\n\n", termstyle.Title.Render("calls"), s.rates[1], s.rates[2], c.BeyondQuorum.Load(), c.AttemptsSucceeded.Load(), c.AttemptsFailed.Load(), c.AttemptsCancelled.Load())
	for _, line := range s.demo.LogLines(4) {
		if len(line) > s.width-4 && s.width > 10 {
			line = line[:s.width-5] + "…"
		}
		fmt.Fprintln(&b, termstyle.Muted.Render("  "+line))
	}
	var keys []string
	for _, t := range Faults {
		keys = append(keys, t.Key+" "+t.Help)
	}
	fmt.Fprintln(&b, "\n"+termstyle.Muted.Render("  up/down choose a server   "+strings.Join(keys, "   ")+"   q quit"))
	return b.String()
}

func highlightCount(what string, n int64) string {
	text := fmt.Sprintf("%s %d", what, n)
	if n > 0 {
		return termstyle.Alert.Render(text)
	}
	return text
}

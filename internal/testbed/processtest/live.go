package processtest

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/termstyle"

	tea "github.com/charmbracelet/bubbletea"
)

// keys are what can be done by hand to the chosen gatherer.
var keys = []struct{ key, help string }{{"k", "kill"}, {"s", "stop"}, {"g", "go on"}, {"t", "end by SIGTERM"}, {"r", "start again"}, {"c", "cut from servers"}, {"f", "silence to the front"}, {"m", "mend its links"}}

// DoKey carries out a key on a gatherer.
func (f *Fleet) DoKey(ctx context.Context, key string, g *Gatherer) {
	p := g.Process()
	f.Say("by hand: %s %s", key, g.Name)
	switch key {
	case "k":
		g.Kill()
	case "s":
		f.fault(p.Stop(ctx))
	case "g":
		p.Continue()
	case "t":
		f.fault(p.Terminate(ctx))
	case "r":
		if !p.Alive() {
			f.fault(g.Start(ctx))
		}
	case "c":
		for _, k := range f.Links(g.Name + ":s*") {
			f.fault(k.Cut(true))
		}
	case "f":
		f.Link("front:" + g.Name).Change(func(w *Weather) { w.Silent = [2]bool{true, true} })
	case "m":
		for _, k := range append(f.Links(g.Name+":*"), f.Link("front:"+g.Name)) {
			f.fault(k.Mend())
		}
	}
}

// Plain writes a line a second until ctx ends.
func (f *Fleet) Plain(ctx context.Context, w io.Writer) {
	told := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		for _, line := range f.Said()[told:] {
			fmt.Fprintln(w, line)
			told++
		}
		serving := 0
		for _, g := range f.Gatherers {
			if g.Serves() {
				serving++
			}
		}
		t := f.Front.Total()
		fmt.Fprintf(w, "%7.2fs  %d of %d gatherers serve; %d operations, %d satisfied, %d nacked, %d failed, late or lost\n",
			time.Since(f.began).Seconds(), serving, len(f.Gatherers), t.Operations,
			t.Endings[Satisfied]+t.Endings[Partial], t.Endings[Nacked], t.unanswered())
	}
}

// screen is the live view.
type screen struct {
	f    *Fleet
	ctx  context.Context
	at   int
	rows int
}

type beat struct{}

// Screen shows the live view until a key ends it, or ctx.
func (f *Fleet) Screen(ctx context.Context) error {
	_, err := tea.NewProgram(&screen{f: f, ctx: ctx, rows: 20}, tea.WithContext(ctx), tea.WithAltScreen()).Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *screen) Init() tea.Cmd { return s.look }

func (s *screen) look() tea.Msg {
	time.Sleep(250 * time.Millisecond)
	return beat{}
}

// Update takes a key or draws anew.
func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch m := msg.(type) {
	case beat:
		return s, s.look
	case tea.WindowSizeMsg:
		s.rows = max(m.Height-16, 4)
	case tea.KeyMsg:
		switch key := m.String(); key {
		case "q", "ctrl+c", "esc":
			return s, tea.Quit
		case "up":
			s.at = max(s.at-1, 0)
		case "down":
			s.at = min(s.at+1, len(s.f.Gatherers)-1)
		default:
			for _, k := range keys {
				if k.key == key {
					g := s.f.Gatherers[s.at]
					return s, func() tea.Msg { s.f.DoKey(s.ctx, key, g); return nil }
				}
			}
		}
	}
	return s, nil
}

// View draws the screen.
func (s *screen) View() string {
	var b strings.Builder
	t := s.f.Front.Total()
	fmt.Fprintln(&b, termstyle.Title.Render("yokeroute-testbed fleet")+termstyle.Muted.Render(fmt.Sprintf("  %s, %d gatherers, %d servers", s.f.Scenario.Name, len(s.f.Gatherers), len(s.f.Servers))))
	fmt.Fprintf(&b, "operations %d   earned %.1f%%   nacked %d   failed, late or lost %d\n\n", t.Operations,
		100*t.Value/max(t.Asked, 1e-9), t.Endings[Nacked], t.unanswered())
	fmt.Fprintln(&b, termstyle.Title.Render(fmt.Sprintf("  %-6s %-10s %-10s %8s %8s", "name", "hall", "state", "cpu s", "MB")))
	from := max(min(s.at-s.rows/2, len(s.f.Gatherers)-s.rows), 0)
	for i, g := range s.f.Gatherers[from:min(from+s.rows, len(s.f.Gatherers))] {
		p, state, use := g.Process(), "serves", process.Usage{}
		switch {
		case p == nil || !p.Alive():
			state = "ended"
		case p.Stopped():
			state = "stopped"
		}
		if p != nil {
			use = p.Usage()
		}
		line := fmt.Sprintf("  %-6s %-10s %-10s %8.1f %8.0f", g.Name, g.Hall, state, use.CPU, use.Memory)
		switch {
		case from+i == s.at:
			line = termstyle.Selected.Render(line)
		case state != "serves":
			line = termstyle.Alert.Render(line)
		}
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintln(&b)
	said := s.f.Said()
	for _, line := range said[max(len(said)-5, 0):] {
		fmt.Fprintln(&b, termstyle.Muted.Render(line))
	}
	var help []string
	for _, k := range keys {
		help = append(help, k.key+" "+k.help)
	}
	fmt.Fprintln(&b, "\n"+termstyle.Muted.Render("up/down choose   "+strings.Join(help, "   ")+"   q quit"))
	return b.String()
}

// Package termstyle holds the text styles that all terminal screens share.
package termstyle

import "github.com/charmbracelet/lipgloss"

// The styles, for light and dark terminals.
var (
	Title    = lipgloss.NewStyle().Bold(true)    // titles
	Muted    = lipgloss.NewStyle().Faint(true)   // what helps, and what is past
	Selected = lipgloss.NewStyle().Reverse(true) // the line that keys act on
	Alert    = lipgloss.NewStyle().Foreground(lipgloss.AdaptiveColor{Light: "#9c0000", Dark: "#ff8a80"})
)

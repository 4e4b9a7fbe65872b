// Package look is how the screens of commands mark what they show, alike in all of them.
package termstyle

import "github.com/charmbracelet/lipgloss"

// Styles of words and lines on a terminal, light or dark.
var (
	Strong = lipgloss.NewStyle().Bold(true)    // titles
	Faint  = lipgloss.NewStyle().Faint(true)   // what helps, and what is past
	Chosen = lipgloss.NewStyle().Reverse(true) // the line that keys act on
	Alarm  = lipgloss.NewStyle().Foreground(lipgloss.AdaptiveColor{Light: "#9c0000", Dark: "#ff8a80"})
)

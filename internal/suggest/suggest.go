// Package suggest completes messages about unknown words with the known word that may have been meant.
package suggest

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Nearest returns the known word with the smallest edit distance, the first of several in alphabetical order. It is empty
// where all differ by more than one letter, or by more than a third of the letters of a longer word.
func Nearest(word string, known []string) string {
	best, least := "", max(1, len(word)/3)+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least || d == least && best != "" && k < best {
			best, least = k, d
		}
	}
	return best
}

// Hint returns the end of a message about an unknown word, empty where nothing is near.
func Hint(word string, known []string) string {
	if n := Nearest(word, known); n != "" {
		return "; did you mean " + n + "?"
	}
	return ""
}

// Join lists names, and only counts those beyond the first few.
func Join(names []string) string {
	const most = 8
	if len(names) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

// Package spell finds what may have been meant by a word that is unknown, and puts words in a row.
package suggest

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Near gives the known word that is nearest to the word, the first of several equally near, or nothing where none
// is near enough to be worth a guess: one letter off, or a third of them in longer words.
func Near(word string, known []string) string {
	best, least := "", max(1, len(word)/3)+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < least || d == least && best != "" && k < best {
			best, least = k, d
		}
	}
	return best
}

// Hint is the end of a message about an unknown word: what may have been meant, or nothing.
func Hint(word string, known []string) string {
	if n := Near(word, known); n != "" {
		return "; did you mean " + n + "?"
	}
	return ""
}

// List puts names in a row, and counts what is too many to read.
func List(names []string) string {
	const most = 8
	if len(names) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

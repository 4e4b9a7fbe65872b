// Package cases2 runs the scripts of the second review's cases as one test, so that KNOWN-RED.txt can name them. CI skips
// what stands there.
package cases2

import (
	"os/exec"
	"testing"
)

// TestSecondReview wants the rule of each case to hold. What the deploy file's build and review/build-2.sh leave must be
// there.
func TestSecondReview(t *testing.T) {
	for _, folder := range []string{"6", "7", "8", "9", "10"} {
		t.Run(folder, func(t *testing.T) {
			if out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput(); err != nil {
				t.Errorf("review/%s/run.sh: %v\n%s", folder, err, out)
			}
		})
	}
}

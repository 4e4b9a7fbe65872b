// Package cases runs the scripts of the review's cases as one test, so that KNOWN-RED.txt can name them. CI skips what
// stands there.
package cases

import (
	"os/exec"
	"testing"
)

// TestCases wants the rule of each case to hold. What the deploy file's build and review/build.sh leave must be there.
func TestCases(t *testing.T) {
	for _, folder := range []string{"1", "2", "3"} {
		t.Run(folder, func(t *testing.T) {
			if out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput(); err != nil {
				t.Errorf("review/%s/run.sh: %v\n%s", folder, err, out)
			}
		})
	}
}

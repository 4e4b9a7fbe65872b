package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// built is the program under the race detector, built once a process, and its folder.
var built struct {
	sync.Mutex
	folder string
	errs   map[string]error
}

// Build builds a program of this module under the race detector, once, and gives its file: what is left of compiling
// is in the go tool's own cache, which the race tests around it have filled. Sets are values for -ldflags -X, by which
// a test gets an older and a newer version of one source; each set is a program of its own.
func Build(program string, sets ...string) (string, error) {
	return build("./cmd/"+program, true, sets)
}

// BuildWorse builds the gatherer with a fault of its own (package worse names them) and a version.
func BuildWorse(fault, version string, race bool) (string, error) {
	return build("./internal/testbed/processtest/worse", race, []string{"main.fault=" + fault, "yokeroute/internal/version.Set=" + version})
}

// BuildPlain builds a program of this module without the race detector, for figures.
func BuildPlain(program string, sets ...string) (string, error) {
	return build("./cmd/"+program, false, sets)
}

// BuildFloodClient builds the client that floods a gatherer, without the race detector.
func BuildFloodClient() (string, error) { return build("./internal/testbed/floodclient", false, nil) }

func build(program string, race bool, sets []string) (string, error) {
	built.Lock()
	defer built.Unlock()
	if built.folder == "" {
		folder, err := os.MkdirTemp("", "yokeroute-processes-")
		if err != nil {
			return "", err
		}
		built.folder, built.errs = folder, map[string]error{}
	}
	name := filepath.Base(program)
	if !race {
		name += "-plain"
	}
	for _, s := range sets {
		name += "-" + strings.Map(func(r rune) rune {
			if r == '/' || r == ' ' || r == '=' {
				return '_'
			}
			return r
		}, s)
	}
	file := filepath.Join(built.folder, name)
	if err, tried := built.errs[name]; tried {
		return file, err
	}
	root, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	args := []string{"build", "-o", file}
	if race {
		args = append(args, "-race")
	}
	if len(sets) > 0 {
		args = append(args, "-ldflags=-X "+strings.Join(sets, " -X "))
	}
	cmd := exec.Command("go", append(args, program)...)
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(root)))
	if out, failed := cmd.CombinedOutput(); failed != nil {
		err = fmt.Errorf("go build %s: %w: %s", program, failed, out)
	}
	built.errs[name] = err
	return file, err
}

// Unbuild takes away what Build has left. A TestMain calls it behind its tests.
func Unbuild() {
	built.Lock()
	defer built.Unlock()
	if built.folder != "" {
		os.RemoveAll(built.folder)
		built.folder = ""
	}
}

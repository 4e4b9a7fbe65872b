// Command yokelab is the deprecated name of yokeroute-testbed. It starts the program of that name beside it.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// statusBadUse is the exit status where the program cannot be started.
const statusBadUse = 2

func main() {
	fmt.Fprintln(os.Stderr, "yokelab: deprecated, use yokeroute-testbed")
	self, err := os.Executable()
	if err == nil {
		program := filepath.Join(filepath.Dir(self), "yokeroute-testbed")
		err = syscall.Exec(program, append([]string{program}, os.Args[1:]...), os.Environ())
	}
	fmt.Fprintln(os.Stderr, "yokelab: starting yokeroute-testbed:", err)
	os.Exit(statusBadUse)
}

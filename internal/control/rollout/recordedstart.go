package rollout

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
)

// waitForRecord is a shell's script that becomes the program of its arguments once it has read a line from
// descriptor 3, and ends where that closes without one. The program has the process ID of the shell.
const waitForRecord = `read -r recorded <&3 && exec "$@" 3<&-`

const shell = "/bin/sh"

// startRecorded starts a command once record has returned for its process ID. A controller that is killed before
// leaves nothing that runs: a later one could not know of it, and would run another beside it. The command must
// not have files of its own beyond the standard streams.
func startRecorded(cmd *exec.Cmd, record func(pid int) error) error {
	if err := checkExecutable(cmd); err != nil {
		return err
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	defer write.Close()
	cmd.Args = append([]string{shell, "-c", waitForRecord, shell, cmd.Path}, cmd.Args[1:]...)
	cmd.Path = shell
	cmd.ExtraFiles = []*os.File{read}
	err = cmd.Start()
	read.Close()
	if err != nil {
		return err
	}
	err = record(cmd.Process.Pid)
	if err == nil {
		_, err = write.WriteString("recorded\n")
	}
	if err != nil {
		write.Close()
		_ = cmd.Wait() // it ends, since the pipe has closed
	}
	return err
}

// checkExecutable checks what the shell would only report by its status.
func checkExecutable(cmd *exec.Cmd) error {
	if cmd.Err != nil && !errors.Is(cmd.Err, exec.ErrDot) {
		return cmd.Err
	}
	path := cmd.Path
	if !filepath.IsAbs(path) {
		path = filepath.Join(cmd.Dir, path)
	}
	_, err := exec.LookPath(path)
	return err
}

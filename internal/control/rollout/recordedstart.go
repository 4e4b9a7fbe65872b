package rollout

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
)

// awaitRecordScript is a shell script that reads a line from descriptor 3 and then executes the program given by its
// arguments, in the shell's own process. It exits without executing it if the descriptor is closed before a line
// arrives.
const awaitRecordScript = `read -r recorded <&3 && exec "$@" 3<&-`

const shell = "/bin/sh"

// startRecorded starts a command, but lets it execute only after record has stored its process ID. If the controller
// is killed before that, the command does not run: a later controller could not know of it and would run another
// command concurrently. The command must not have open files other than the standard streams (ExtraFiles is
// overwritten).
func startRecorded(cmd *exec.Cmd, record func(pid int) error) error {
	if err := checkExecutable(cmd); err != nil {
		return err
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	defer write.Close()
	cmd.Args = append([]string{shell, "-c", awaitRecordScript, shell, cmd.Path}, cmd.Args[1:]...)
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
		_ = cmd.Wait() // returns, since the script exits once the pipe is closed
	}
	return err
}

// checkExecutable returns an error if the command's program can't be executed, which the shell would report by its
// exit status only.
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

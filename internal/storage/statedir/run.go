package statedir

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// RunFolder is the folder of something long that one process carries out and that outlives it, such as a rollout: a lock that
// keeps a second process out, a number that a process which takes over makes higher, a journal for each of them, the
// operator's last word, and files that others read meanwhile.
//
// A process that was stopped keeps its lock; another takes over without it, by the number. Whoever has a lower one is
// told so by Mine, before each thing that it does. None writes into another's journal, so that one which was stopped in
// the midst of a write spoils nothing when it goes on.
type RunFolder struct {
	FencingToken uint64 // this process' number, from 1

	folder  string
	lock    *os.File
	journal *Journal
}

// ErrLocked is a run that another process carries out.
var ErrLocked = errors.New("is carried out by another process")

// ErrSuperseded is a run that a later process has taken over.
var ErrSuperseded = errors.New("another controller has taken this over")

// ErrRecordsLost is a journal of which records are lost: what was done can't be told.
var ErrRecordsLost = errors.New("records are lost; what was done cannot be told")

// maxRunJournalBytes bounds a run's journal before a snapshot takes its place.
const maxRunJournalBytes = 1 << 20

// OpenRunFolder takes a folder's lock, and the next number. With over it goes on without the lock where another process has
// it. Close gives back what it holds.
func OpenRunFolder(folder string, takeOver bool) (*RunFolder, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	r := &RunFolder{folder: folder}
	f, err := os.OpenFile(r.path("lock"), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
	case err == nil:
		r.lock = f
	case !errors.Is(err, unix.EWOULDBLOCK):
		f.Close()
		return nil, fmt.Errorf("%s: %w", f.Name(), err)
	default:
		f.Close()
		if !takeOver {
			return nil, ErrLocked
		}
	}
	before, err := readFencingToken(folder)
	if err == nil {
		r.FencingToken = before + 1
		err = WriteFileAtomic(r.path("controller"), fmt.Appendf(nil, "%d\n", r.FencingToken))
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *RunFolder) path(name string) string { return filepath.Join(r.folder, name) }

func readFencingToken(folder string) (uint64, error) {
	name := filepath.Join(folder, "controller")
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: is no number of a controller: %w", name, err)
	}
	return n, nil
}

// CheckSuperseded says whether the run is still this process'. It is asked before each thing that must not be done twice.
func (r *RunFolder) CheckSuperseded() error {
	n, err := readFencingToken(r.folder)
	if err == nil && n != r.FencingToken {
		err = fmt.Errorf("%w: its number is %d, this one's %d", ErrSuperseded, n, r.FencingToken)
	}
	return err
}

// journalFolder is the journal's folder of the process of a number.
func journalFolder(folder string, fence uint64) string {
	return filepath.Join(folder, "journal", strconv.FormatUint(fence, 10))
}

// Recover hands the newest journal of a process before this one to see, the oldest record first, and begins this one's
// with all of it. A damaged one is an error that names it.
func (r *RunFolder) Recover(see func(record []byte) error) error {
	var all [][]byte
	for fence := r.FencingToken - 1; fence > 0 && len(all) == 0; fence-- {
		own := journalFolder(r.folder, fence)
		if _, err := os.Stat(own); err != nil {
			continue // killed before it had written anything
		}
		j, found, err := OpenJournal(own, maxRunJournalBytes, func(record []byte) error {
			all = append(all, record)
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s: %w", own, err)
		}
		j.Close()
		if found.Damaged {
			return fmt.Errorf("%s: %w", own, ErrRecordsLost)
		}
	}
	for _, record := range all {
		if err := see(record); err != nil {
			return err
		}
	}
	var err error
	if r.journal, _, err = OpenJournal(journalFolder(r.folder, r.FencingToken), maxRunJournalBytes, func([]byte) error { return nil }); err != nil {
		return err
	}
	return r.journal.Snapshot(func(put func([]byte) error) error {
		for _, record := range all {
			if err := put(record); err != nil {
				return err
			}
		}
		return nil
	})
}

// Append writes a record down; what is not there after a kill was not done. One goroutine calls it at a time.
func (r *RunFolder) Append(record []byte) error {
	if err := r.CheckSuperseded(); err != nil {
		return err
	}
	return r.journal.Append(record)
}

// WriteFile replaces a file that others read.
func (r *RunFolder) WriteFile(name string, text []byte) error {
	if err := r.CheckSuperseded(); err != nil {
		return err
	}
	return WriteFileAtomic(r.path(name), text)
}

// AppendLine adds a line to a file that others read.
func (r *RunFolder) AppendLine(name string, line []byte) error {
	f, err := os.OpenFile(r.path(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(line, '\n'))
	return errors.Join(err, f.Close())
}

// Command is the operator's last word, empty for none.
func (r *RunFolder) Command() (string, error) {
	text, err := os.ReadFile(r.path("word"))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// SendCommand leaves a word for the process that carries a run out, or for the next one. Stamp tells one word from the same
// said again.
func SendCommand(folder, word string, stamp int64) error {
	if _, err := os.Stat(filepath.Join(folder, "controller")); err != nil {
		return err
	}
	return WriteFileAtomic(filepath.Join(folder, "word"), fmt.Appendf(nil, "%s %d", word, stamp))
}

// Close gives the lock back.
func (r *RunFolder) Close() {
	if r.journal != nil {
		r.journal.Close()
	}
	if r.lock != nil {
		r.lock.Close() // and its lock with it
	}
}

// ReadRunJournal hands the newest journal of a run to see, while a process may write it.
func ReadRunJournal(folder string, see func(record []byte) error) error {
	fence, err := readFencingToken(folder)
	if err != nil {
		return err
	}
	for n := 0; fence > 0 && n == 0; fence-- {
		if _, err := os.Stat(journalFolder(folder, fence)); err != nil {
			continue
		}
		err := ReadJournal(journalFolder(folder, fence), func(record []byte) error {
			n++
			return see(record)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

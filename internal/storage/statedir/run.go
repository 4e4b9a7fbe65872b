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

// Run is the folder of something long that one process carries out and that outlives it, such as a rollout: a lock that
// keeps a second process out, a number that a process which takes over makes higher, a journal for each of them, the
// operator's last word, and files that others read meanwhile.
//
// A process that was stopped keeps its lock; another takes over without it, by the number. Whoever has a lower one is
// told so by Mine, before each thing that it does. None writes into another's journal, so that one which was stopped in
// the midst of a write spoils nothing when it goes on.
type Run struct {
	Fence uint64 // this process' number, from 1

	folder  string
	lock    *os.File
	journal *Journal
}

// ErrHeld is a run that another process carries out.
var ErrHeld = errors.New("is carried out by another process")

// ErrTaken is a run that a later process has taken over.
var ErrTaken = errors.New("another controller has taken this over")

// ErrDamaged is a journal of which records are lost: what was done can't be told.
var ErrDamaged = errors.New("records are lost; what was done cannot be told")

// mostRun bounds a run's journal before a snapshot takes its place.
const mostRun = 1 << 20

// OpenRun takes a folder's lock, and the next number. With over it goes on without the lock where another process has
// it. Close gives back what it holds.
func OpenRun(folder string, over bool) (*Run, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	r := &Run{folder: folder}
	f, err := os.OpenFile(r.file("lock"), os.O_RDWR|os.O_CREATE, 0o644)
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
		if !over {
			return nil, ErrHeld
		}
	}
	before, err := readFence(folder)
	if err == nil {
		r.Fence = before + 1
		err = Replace(r.file("controller"), fmt.Appendf(nil, "%d\n", r.Fence))
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Run) file(name string) string { return filepath.Join(r.folder, name) }

func readFence(folder string) (uint64, error) {
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

// Mine says whether the run is still this process'. It is asked before each thing that must not be done twice.
func (r *Run) Mine() error {
	n, err := readFence(r.folder)
	if err == nil && n != r.Fence {
		err = fmt.Errorf("%w: its number is %d, this one's %d", ErrTaken, n, r.Fence)
	}
	return err
}

// journalOf is the journal's folder of the process of a number.
func journalOf(folder string, fence uint64) string {
	return filepath.Join(folder, "journal", strconv.FormatUint(fence, 10))
}

// Recover hands the newest journal of a process before this one to see, the oldest record first, and begins this one's
// with all of it. A damaged one is an error that names it.
func (r *Run) Recover(see func(record []byte) error) error {
	var all [][]byte
	for fence := r.Fence - 1; fence > 0 && len(all) == 0; fence-- {
		own := journalOf(r.folder, fence)
		if _, err := os.Stat(own); err != nil {
			continue // killed before it had written anything
		}
		j, found, err := Open(own, mostRun, func(record []byte) error {
			all = append(all, record)
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s: %w", own, err)
		}
		j.Close()
		if found.Damaged {
			return fmt.Errorf("%s: %w", own, ErrDamaged)
		}
	}
	for _, record := range all {
		if err := see(record); err != nil {
			return err
		}
	}
	var err error
	if r.journal, _, err = Open(journalOf(r.folder, r.Fence), mostRun, func([]byte) error { return nil }); err != nil {
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
func (r *Run) Append(record []byte) error {
	if err := r.Mine(); err != nil {
		return err
	}
	return r.journal.Append(record)
}

// Put replaces a file that others read.
func (r *Run) Put(name string, text []byte) error {
	if err := r.Mine(); err != nil {
		return err
	}
	return Replace(r.file(name), text)
}

// Add adds a line to a file that others read.
func (r *Run) Add(name string, line []byte) error {
	f, err := os.OpenFile(r.file(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(line, '\n'))
	return errors.Join(err, f.Close())
}

// Word is the operator's last word, empty for none.
func (r *Run) Word() (string, error) {
	text, err := os.ReadFile(r.file("word"))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// Say leaves a word for the process that carries a run out, or for the next one. Stamp tells one word from the same
// said again.
func Say(folder, word string, stamp int64) error {
	if _, err := os.Stat(filepath.Join(folder, "controller")); err != nil {
		return err
	}
	return Replace(filepath.Join(folder, "word"), fmt.Appendf(nil, "%s %d", word, stamp))
}

// Close gives the lock back.
func (r *Run) Close() {
	if r.journal != nil {
		r.journal.Close()
	}
	if r.lock != nil {
		r.lock.Close() // and its lock with it
	}
}

// ReadRun hands the newest journal of a run to see, while a process may write it.
func ReadRun(folder string, see func(record []byte) error) error {
	fence, err := readFence(folder)
	if err != nil {
		return err
	}
	for n := 0; fence > 0 && n == 0; fence-- {
		if _, err := os.Stat(journalOf(folder, fence)); err != nil {
			continue
		}
		err := Read(journalOf(folder, fence), func(record []byte) error {
			n++
			return see(record)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

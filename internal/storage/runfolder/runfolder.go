// Package runfolder keeps a long operation, such as a rollout, that one process at a time carries out and that
// outlives it. Its folder holds a lock, a fencing token that grows with each process, a journal for each token, the
// operator's last command and files for readers.
//
// A process that is stopped keeps the lock. Another one may take over without it, by a higher token, and the process
// with the lower one finds that out before each step. None writes into another's journal, so that one that was
// stopped in the middle of a write does no harm when it goes on.
package runfolder

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"yokeroute/internal/storage/atomicfile"
	"yokeroute/internal/storage/journal"
)

// Names of files and folders.
const (
	lockFile       = "lock"
	tokenFile      = "controller"
	commandFile    = "word"
	journalsFolder = "journal"
)

// maxJournalBytes bounds a journal before a snapshot replaces it.
const maxJournalBytes = 1 << 20

var (
	// ErrLocked is an operation that another process carries out.
	ErrLocked = errors.New("is carried out by another process")
	// ErrSuperseded is an operation that a later process has taken over.
	ErrSuperseded = errors.New("another controller has taken this over")
	// ErrRecordsLost is a journal that does not tell what was done.
	ErrRecordsLost = errors.New("records are lost; what was done cannot be told")
)

// Folder is an open run folder.
type Folder struct {
	FencingToken uint64 // of this process, from 1

	path    string
	lock    *os.File // nil where the folder was taken over without it
	journal *journal.Journal
}

// Open takes the folder's lock and the next fencing token. With force it goes on without the lock where another
// process holds it. Close releases what is held.
func Open(path string, force bool) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	f := &Folder{path: path}
	previous, err := readToken(path) // before the lock, so that no takeover goes unnoticed behind it
	if err != nil {
		return nil, err
	}
	if err := f.acquireLock(); err != nil && (!force || !errors.Is(err, ErrLocked)) {
		return nil, err
	}
	if err := f.acquireToken(previous); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Folder) acquireLock() error {
	file, err := os.OpenFile(f.file(lockFile), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		f.lock = file
		return nil
	}
	file.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return ErrLocked
	}
	return fmt.Errorf("%s: %w", file.Name(), err)
}

// acquireToken takes the token that follows the highest one, which was previous. The folder of the token's
// journal is made by one process only. One that finds it made has been taken over from if it holds the lock;
// without the lock it takes over in its turn.
func (f *Folder) acquireToken(previous uint64) error {
	if err := os.MkdirAll(f.file(journalsFolder), 0o755); err != nil {
		return err
	}
	for {
		f.FencingToken = previous + 1
		err := os.Mkdir(journalFolder(f.path, f.FencingToken), 0o755)
		if err == nil {
			return atomicfile.Write(f.file(tokenFile), fmt.Appendf(nil, "%d\n", f.FencingToken))
		}
		if !errors.Is(err, fs.ErrExist) {
			return err
		}
		if f.lock != nil {
			return fmt.Errorf("%w while this one began", ErrSuperseded)
		}
		if previous, err = readToken(f.path); err != nil {
			return err
		}
	}
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

// readToken returns the highest token taken so far, 0 for none. Processes of earlier versions, which made no
// folder before they wrote the token's file, and processes that were held up before they wrote it, leave only
// one of the two.
func readToken(path string) (uint64, error) {
	written, err := readTokenFile(path)
	if err != nil {
		return 0, err
	}
	journals, err := os.ReadDir(filepath.Join(path, journalsFolder))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, err
	}
	highest := written
	for _, journal := range journals {
		if token, err := strconv.ParseUint(journal.Name(), 10, 64); err == nil {
			highest = max(highest, token)
		}
	}
	return highest, nil
}

// readTokenFile returns the token that was written last, 0 for none.
func readTokenFile(path string) (uint64, error) {
	name := filepath.Join(path, tokenFile)
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	token, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: is no number of a controller: %w", name, err)
	}
	return token, nil
}

// CheckSuperseded returns ErrSuperseded once a later process has taken over. It must be called before each step that
// must not be done twice.
func (f *Folder) CheckSuperseded() error {
	token, err := readToken(f.path)
	if err == nil && token != f.FencingToken {
		return fmt.Errorf("%w: its number is %d, this one's %d", ErrSuperseded, token, f.FencingToken)
	}
	return err
}

// journalFolder is the journal's folder of the process with a token.
func journalFolder(path string, token uint64) string {
	return filepath.Join(path, journalsFolder, strconv.FormatUint(token, 10))
}

// Recover hands the records of the process before to visit, the oldest first, and begins this one's journal with them.
// A damaged journal is ErrRecordsLost.
func (f *Folder) Recover(visit func(record []byte) error) error {
	records, err := f.previousRecords()
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := visit(record); err != nil {
			return err
		}
	}
	f.journal, _, err = journal.Open(journal.Config{
		Folder:   journalFolder(f.path, f.FencingToken),
		MaxBytes: maxJournalBytes,
		Load:     func([]byte) error { return nil },
	})
	if err != nil {
		return err
	}
	return f.journal.Snapshot(func(put func([]byte) error) error {
		for _, record := range records {
			if err := put(record); err != nil {
				return err
			}
		}
		return nil
	})
}

// previousRecords returns the records of the newest journal before this process's that holds any.
func (f *Folder) previousRecords() (records [][]byte, err error) {
	for token := f.FencingToken - 1; token > 0 && len(records) == 0; token-- {
		folder := journalFolder(f.path, token)
		if _, err := os.Stat(folder); err != nil {
			continue // that process was killed before it had written anything
		}
		previous, found, err := journal.Open(journal.Config{
			Folder:   folder,
			MaxBytes: maxJournalBytes,
			Load: func(record []byte) error {
				records = append(records, record)
				return nil
			},
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", folder, err)
		}
		_ = previous.Close() // all of it is read
		if found.Damaged {
			return nil, fmt.Errorf("%s: %w", folder, ErrRecordsLost)
		}
	}
	return records, nil
}

// Append stores a record. It is not safe for concurrent use.
func (f *Folder) Append(record []byte) error {
	if err := f.CheckSuperseded(); err != nil {
		return err
	}
	return f.journal.Append(record)
}

// WriteFile replaces a file for readers.
func (f *Folder) WriteFile(name string, content []byte) error {
	if err := f.CheckSuperseded(); err != nil {
		return err
	}
	return atomicfile.Write(f.file(name), content)
}

// AppendLine appends a line to a file for readers.
func (f *Folder) AppendLine(name string, line []byte) error {
	file, err := os.OpenFile(f.file(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(append(line, '\n'))
	return errors.Join(err, file.Close())
}

// Command is the operator's last command, empty for none.
func (f *Folder) Command() (string, error) {
	text, err := os.ReadFile(f.file(commandFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// SendCommand leaves a command for the process that carries out the operation, or for the next one. The stamp tells
// it from the same command sent before.
func SendCommand(path, command string, stamp int64) error {
	if _, err := os.Stat(filepath.Join(path, tokenFile)); err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(path, commandFile), fmt.Appendf(nil, "%s %d", command, stamp))
}

// Close closes the journal and releases the lock.
func (f *Folder) Close() {
	if f.journal != nil {
		_ = f.journal.Close() // each append is on the disk already
	}
	if f.lock != nil {
		f.lock.Close() // which releases it
	}
}

// ReadJournal hands the newest records of an operation to visit, while a process may write them.
func ReadJournal(path string, visit func(record []byte) error) error {
	token, err := readToken(path)
	if err != nil {
		return err
	}
	for n := 0; token > 0 && n == 0; token-- {
		if _, err := os.Stat(journalFolder(path, token)); err != nil {
			continue
		}
		err := journal.Read(journalFolder(path, token), func(record []byte) error {
			n++
			return visit(record)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

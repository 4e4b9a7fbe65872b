// Package runfolder stores the state of a long operation, such as a rollout, that is run by one process at a time and
// may continue in another process. Its folder contains a lock, a fencing token that increases with each process, a
// journal for each token, the operator's last command and files for readers.
//
// A process that is suspended keeps the lock. Another process may take over without the lock by taking a higher token,
// and the process with the lower token detects this before each step. No process writes to the journal of another, so
// that a process that was suspended in the middle of a write does no damage when it resumes.
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

// maxJournalBytes is the size of a journal beyond which a snapshot replaces it.
const maxJournalBytes = 1 << 20

var (
	// ErrLocked is returned by Open if another process holds the lock of the folder.
	ErrLocked = errors.New("is run by another process")
	// ErrSuperseded is returned to a process once a later process has taken over the operation.
	ErrSuperseded = errors.New("another controller has taken this over")
	// ErrRecordsLost is returned if the journal is damaged, so that the steps done so far are unknown.
	ErrRecordsLost = errors.New("journal is damaged and records are lost; the steps done so far are unknown")
)

// Folder is an open run folder.
type Folder struct {
	FencingToken uint64 // this process's token; the first process has 1

	path    string
	lock    *os.File // nil if the folder was taken over without the lock
	journal *journal.Journal
}

// Open acquires the folder's lock and the next fencing token. If another process holds the lock, Open returns
// ErrLocked, or with force continues without the lock. Close releases the lock.
func Open(path string, force bool) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	f := &Folder{path: path}
	previous, err := readToken(path) // read before locking, so that acquireToken detects every later takeover
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

// acquireToken takes the token after previous, where previous is the highest token read. It creates the folder of that
// token's journal, which only one process can do. If the folder exists, another process was first: if this process
// holds the folder's lock, it has been superseded; if not, it retries with a higher token and takes over from that
// process.
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
			return fmt.Errorf("%w while this process was starting", ErrSuperseded)
		}
		if previous, err = readToken(f.path); err != nil {
			return err
		}
	}
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

// readToken returns the highest token taken so far, or 0 if there is none. It reads both the token file and the names
// of the journal folders, since either may be missing for a token: earlier versions created no folder before they
// wrote the token file, and a process may be delayed between creating the folder and writing the file.
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

// readTokenFile returns the token in the token file, or 0 if there is no such file.
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
		return 0, fmt.Errorf("%s: invalid fencing token, want a decimal number: %w", name, err)
	}
	return token, nil
}

// CheckSuperseded returns ErrSuperseded once a later process has taken over. Call it before each step that must not be
// done twice.
func (f *Folder) CheckSuperseded() error {
	token, err := readToken(f.path)
	if err == nil && token != f.FencingToken {
		return fmt.Errorf("%w: the newest fencing token is %d, this process has %d", ErrSuperseded, token, f.FencingToken)
	}
	return err
}

// journalFolder returns the path of the journal folder of the process with the given token.
func journalFolder(path string, token uint64) string {
	return filepath.Join(path, journalsFolder, strconv.FormatUint(token, 10))
}

// Recover passes the records of the previous process to visit, the oldest first, and starts this process's journal with
// them. It returns ErrRecordsLost if the previous journal is damaged.
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

// previousRecords returns the records of the newest earlier journal that contains any.
func (f *Folder) previousRecords() (records [][]byte, err error) {
	for token := f.FencingToken - 1; token > 0 && len(records) == 0; token-- {
		folder := journalFolder(f.path, token)
		if _, err := os.Stat(folder); err != nil {
			continue // that process was killed before it wrote a record
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
		_ = previous.Close() // an error does not matter, since all records have been read
		if found.Damaged {
			return nil, fmt.Errorf("%s: %w", folder, ErrRecordsLost)
		}
	}
	return records, nil
}

// Append stores a record, unless the process has been superseded. It is not safe for concurrent use.
func (f *Folder) Append(record []byte) error {
	if err := f.CheckSuperseded(); err != nil {
		return err
	}
	return f.journal.Append(record)
}

// WriteFile atomically replaces a file for readers, unless the process has been superseded.
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

// Command returns the operator's last command, or an empty string if there is none.
func (f *Folder) Command() (string, error) {
	text, err := os.ReadFile(f.file(commandFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	return string(text), err
}

// SendCommand stores a command for the process that runs the operation now or next. The stamp distinguishes the command
// from an earlier one with the same text.
func SendCommand(path, command string, stamp int64) error {
	if _, err := os.Stat(filepath.Join(path, tokenFile)); err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(path, commandFile), fmt.Appendf(nil, "%s %d", command, stamp))
}

// Close closes the journal and releases the lock.
func (f *Folder) Close() {
	if f.journal != nil {
		_ = f.journal.Close() // an error does not matter, since every Append has synced its record
	}
	if f.lock != nil {
		f.lock.Close() // also releases the lock
	}
}

// ReadJournal passes the records of the newest journal that contains any to visit. A process may be appending to it
// meanwhile.
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

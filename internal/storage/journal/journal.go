// Package journal stores records durably in a folder: a write-ahead journal with a checksum per record, and snapshots
// that compact it once it has outgrown its size limit.
//
// A record survives a crash once Append has returned. Open truncates a record that a crash left incomplete, at any
// byte, and distinguishes it from damage. Recovery reads at most one snapshot and one journal.
package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Prefixes of the file names. Each generation has a snapshot of all earlier records and a journal of the records that
// were appended after it. A snapshot has a temporary name while it is being written.
const (
	snapshotPrefix  = "snapshot-"
	journalPrefix   = "journal-"
	temporaryPrefix = ".writing-"
)

// Journal is an open journal folder. It is not safe for concurrent use.
type Journal struct {
	folder     string
	maxBytes   int64
	generation uint64
	file       *os.File
	size       int64
	// failure is the error of an earlier write, after which the content of the files is unknown. It is returned by
	// later writes, until a snapshot succeeds.
	failure error
	sync    func(*os.File) error
	// unsynced is set if Open has written a snapshot and folder entries that have not been synced since.
	unsynced bool
}

// Config configures a Journal.
type Config struct {
	Folder   string                    // created if it does not exist
	MaxBytes int64                     // size of the journal beyond which a snapshot is due
	Load     func(record []byte) error // is called for each stored record, the oldest first; an error aborts Open
	Sync     func(*os.File) error      // flushes a file to the disk; (*os.File).Sync if nil
}

// Recovery reports what Open found in the folder.
type Recovery struct {
	Records   int   // records passed to Config.Load
	BytesRead int64 // bytes read from the snapshot and the journal
	TornBytes int64 // incomplete bytes that a crash left and that were truncated from the end of the journal
	Damaged   bool  // records are lost: more is unreadable than a crash leaves
	Empty     bool  // the folder contained no snapshot
}

// Open opens a folder and passes its records to config.Load. It does not wait for the disk: what it writes is synced by
// the first Append. If the machine crashes before that, the folder may be reported as damaged.
func Open(config Config) (*Journal, Recovery, error) {
	var recovery Recovery
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return nil, recovery, err
	}
	generations, err := listGenerations(config.Folder)
	if err != nil {
		return nil, recovery, err
	}
	recovery.Empty = len(generations) == 0
	j := &Journal{folder: config.Folder, maxBytes: config.MaxBytes, sync: config.Sync}
	if j.sync == nil {
		j.sync = (*os.File).Sync
	}
	if err := j.loadSnapshot(generations, config.Load, &recovery); err != nil {
		return nil, recovery, err
	}
	if j.generation == 0 { // no snapshot is readable: start a generation after the existing ones
		if len(generations) > 0 {
			j.generation = generations[0]
		}
		j.unsynced = true
		return j, recovery, j.writeSnapshot(noSync, func(func([]byte) error) error { return nil })
	}
	if err := j.replay(config.Load, &recovery); err != nil {
		return nil, recovery, err
	}
	j.removeOldFiles()
	return j, recovery, nil
}

// loadSnapshot loads the newest readable snapshot and sets the journal's generation to that of the snapshot.
func (j *Journal) loadSnapshot(generations []uint64, load func([]byte) error, recovery *Recovery) error {
	for _, generation := range generations {
		records, size, err := readSnapshot(j.folder, generation)
		if err != nil {
			// A snapshot is synced before it is renamed to its final name, so an unreadable one is not the result of
			// a crash.
			recovery.Damaged = true
			continue
		}
		j.generation = generation
		recovery.BytesRead += size
		for _, record := range records {
			if err := load(record); err != nil {
				return err
			}
			recovery.Records++
		}
		return nil
	}
	return nil
}

// Append stores records in one write and returns once they are synced. After an error the content of the disk is
// unknown: every further append fails until a snapshot has started new files or the folder is reopened.
func (j *Journal) Append(records ...[]byte) error {
	if err := j.write(records); err != nil {
		return err
	}
	if err := errors.Join(j.sync(j.file), j.syncOpened()); err != nil {
		return j.fail(err)
	}
	return nil
}

// noSync replaces Config.Sync in Open, where no record has been acknowledged yet.
func noSync(*os.File) error { return nil }

// syncOpened syncs the snapshot and the folder if Open has written them without a sync.
func (j *Journal) syncOpened() error {
	if !j.unsynced {
		return nil
	}
	snapshot, err := os.Open(generationPath(j.folder, snapshotPrefix, j.generation))
	if err != nil {
		return err
	}
	defer snapshot.Close()
	if err := errors.Join(j.sync(snapshot), j.syncFolder(j.sync)); err != nil {
		return err
	}
	j.unsynced = false
	return nil
}

// AppendUnsynced stores records in one write and does not wait for the disk. They survive a crash of the process; a
// crash of the machine may lose them until a later Append has returned.
func (j *Journal) AppendUnsynced(records ...[]byte) error { return j.write(records) }

// write writes records at the end of the journal.
func (j *Journal) write(records [][]byte) error {
	if j.failure != nil {
		return j.failure
	}
	var buf []byte
	for _, record := range records {
		if err := checkRecordSize(record); err != nil {
			return err
		}
		buf = appendRecord(buf, j.generation, j.size+int64(len(buf)), record)
	}
	if _, err := j.file.WriteAt(buf, j.size); err != nil {
		return j.fail(err)
	}
	j.size += int64(len(buf))
	return nil
}

// fail records a write error, which all further appends return until a snapshot has started new files.
func (j *Journal) fail(err error) error {
	j.failure = fmt.Errorf("journal: %w", err)
	return j.failure
}

// Failed reports whether a write has failed, after which only a snapshot can store records.
func (j *Journal) Failed() bool { return j.failure != nil }

// SnapshotDue reports whether the journal has grown beyond Config.MaxBytes.
func (j *Journal) SnapshotDue() bool { return j.size > j.maxBytes }

// Size returns the size of the journal in bytes, without its snapshot.
func (j *Journal) Size() int64 { return j.size }

// Snapshot replaces all records by a compacted set of records in new files. write passes each of these to put.
func (j *Journal) Snapshot(write func(put func(record []byte) error) error) error {
	previous := j.file
	if err := j.writeSnapshot(j.sync, write); err != nil {
		return err
	}
	j.failure = nil
	j.unsynced = false
	if previous != nil {
		previous.Close()
	}
	return nil
}

// Close closes the journal file. It has no effect on a closed journal.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	if errors.Is(err, fs.ErrClosed) {
		return nil
	}
	return err
}

// generationPath returns the path of the snapshot or the journal of a generation.
func generationPath(folder, prefix string, generation uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%016x", prefix, generation))
}

// Package journal keeps records in a folder: a journal of them with checksums, which a snapshot replaces now and then.
//
// A record is there after a crash once Append has returned. What a crash left incomplete, at any byte, is cut off, and is
// told apart from damage. The time to recover is bounded by a snapshot and one journal.
package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Files of a folder, by generation: a snapshot of all that was before it, and a journal of what came after it. Files
// that are being written have another name.
const (
	snapshotPrefix  = "snapshot-"
	journalPrefix   = "journal-"
	temporaryPrefix = ".writing-"
)

// Journal is an open folder. One goroutine at a time may use it.
type Journal struct {
	folder     string
	maxBytes   int64
	generation uint64
	file       *os.File
	size       int64
	failure    error // of an earlier write, after which the files' content is unknown; a snapshot ends it
	sync       func(*os.File) error
	unsynced   bool // the snapshot and the names of the files, as Open has left them
}

// Config is what a Journal needs.
type Config struct {
	Folder   string                    // created where it is missing
	MaxBytes int64                     // of the journal; beyond it a snapshot is due
	Load     func(record []byte) error // takes the records that are found, the oldest first; an error ends Open
	Sync     func(*os.File) error      // writes a file through to the disk, (*os.File).Sync if nil
}

// Recovery is what Open found.
type Recovery struct {
	Records   int   // handed to load
	BytesRead int64 // of the files
	TornBytes int64 // cut off the journal's end, where a crash left them
	Damaged   bool  // more is unreadable than a crash leaves: records are lost
	Empty     bool  // there was nothing
}

// Open opens a folder and hands its records to config.Load. It does not wait for the disk: what it writes is synced by
// the first Append. A crash of the machine before that may leave a folder that is reported as damaged.
func Open(config Config) (*Journal, Recovery, error) {
	var found Recovery
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return nil, found, err
	}
	generations, err := listGenerations(config.Folder)
	if err != nil {
		return nil, found, err
	}
	found.Empty = len(generations) == 0
	j := &Journal{folder: config.Folder, maxBytes: config.MaxBytes, sync: config.Sync}
	if j.sync == nil {
		j.sync = (*os.File).Sync
	}
	if err := j.loadSnapshot(generations, config.Load, &found); err != nil {
		return nil, found, err
	}
	if j.generation == 0 { // nothing is readable: go on behind all that is there
		if len(generations) > 0 {
			j.generation = generations[0]
		}
		j.unsynced = true
		return j, found, j.writeSnapshot(noSync, func(func([]byte) error) error { return nil })
	}
	if err := j.replay(config.Load, &found); err != nil {
		return nil, found, err
	}
	j.removeOldFiles()
	return j, found, nil
}

// loadSnapshot loads the newest readable snapshot and takes over its generation.
func (j *Journal) loadSnapshot(generations []uint64, load func([]byte) error, found *Recovery) error {
	for _, generation := range generations {
		records, size, err := readSnapshot(j.folder, generation)
		if err != nil {
			// A snapshot is on the disk before it gets its name, so that no crash leaves it unreadable.
			found.Damaged = true
			continue
		}
		j.generation = generation
		found.BytesRead += size
		for _, record := range records {
			if err := load(record); err != nil {
				return err
			}
			found.Records++
		}
		return nil
	}
	return nil
}

// Append stores records by one write, and returns once they are on the disk. After an error the content of the disk
// is unknown: nothing more can be appended until a snapshot has begun new files, or the folder is opened anew.
func (j *Journal) Append(records ...[]byte) error {
	if err := j.write(records); err != nil {
		return err
	}
	if err := errors.Join(j.sync(j.file), j.syncOpened()); err != nil {
		return j.fail(err)
	}
	return nil
}

// noSync stands for sync where nothing is acknowledged yet.
func noSync(*os.File) error { return nil }

// syncOpened syncs what Open has written beside the journal.
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

// AppendUnsynced stores records by one write and does not wait for the disk. They outlast the process; a crash of the
// machine may lose them until a later Append has returned.
func (j *Journal) AppendUnsynced(records ...[]byte) error { return j.write(records) }

// write writes records behind the journal's end.
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

// fail has nothing more appended until a snapshot has begun new files.
func (j *Journal) fail(err error) error {
	j.failure = fmt.Errorf("journal: %w", err)
	return j.failure
}

// Failed reports whether a write has failed, so that records can only be stored by a snapshot.
func (j *Journal) Failed() bool { return j.failure != nil }

// SnapshotDue reports whether the journal has outgrown its limit.
func (j *Journal) SnapshotDue() bool { return j.size > j.maxBytes }

// Size is the journal's size in bytes, without its snapshot.
func (j *Journal) Size() int64 { return j.size }

// Snapshot replaces all records by others that stand for them, in new files. write gets a function that takes these.
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

// Close closes the folder.
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

// generationPath is the path of a folder's snapshot or journal of a generation.
func generationPath(folder, prefix string, generation uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%016x", prefix, generation))
}

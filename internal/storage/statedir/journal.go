// Package state keeps what has to outlast a process, for installations with a lasting disk: a journal of records with
// checksums and, now and then, a snapshot in place of all before it. What Append has returned from is there after a
// crash; what a crash tore, at any byte, is not, and is told from what was damaged before. Size and time to recover
// are bounded by the snapshot and one journal behind it.
package statedir

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Files of a folder, by generation: a snapshot of all before it, and a journal of what came after.
const (
	snapshotPrefix    = "snapshot-"
	journalPrefix     = "journal-"
	snapshotHeader    = "yokeroute state 1\n"
	maxRecordBytes    = 1 << 24 // bytes of a record; more is damage
	recordHeaderBytes = 12      // of a record: its length and its sum
)

// Recovery is what opening a folder found.
type Recovery struct {
	Records   int   // handed to load
	BytesRead int64 // read
	TornBytes int64 // bytes at the journal's end that a crash has left half-written; they are cut off
	Damaged   bool  // what stands behind the first record that can't be read is more than a crash leaves: records are lost
	Empty     bool  // there was nothing
}

// Journal is an open folder. One goroutine uses it at a time.
type Journal struct {
	folder     string
	maxBytes   int64
	generation uint64
	file       *os.File
	size       int64
	failure    error
	sync       func(*os.File) error
}

// OpenJournal opens a folder, makes it where there is none, and hands all records that it holds to load, the oldest first.
// Behind a snapshot the journal grows to so many bytes at most; then Full says so. An error of load ends it.
func OpenJournal(dir string, most int64, load func(record []byte) error) (*Journal, Recovery, error) {
	var r Recovery
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, r, err
	}
	gens, err := listGenerations(dir)
	if err != nil {
		return nil, r, err
	}
	j := &Journal{folder: dir, maxBytes: most, sync: (*os.File).Sync}
	r.Empty = len(gens) == 0
	for _, gen := range gens { // the newest that is whole counts
		records, bytes, err := readSnapshot(j.generationPath(snapshotPrefix, gen))
		if err != nil {
			// It was on the disk before it had its name: no crash leaves it so.
			r.Damaged = true
			continue
		}
		j.generation = gen
		r.BytesRead += bytes
		for _, rec := range records {
			if err := load(rec); err != nil {
				return nil, r, err
			}
			r.Records++
		}
		break
	}
	if j.generation == 0 { // nothing, or nothing that can be read: begin behind all that there is
		if len(gens) > 0 {
			j.generation = gens[0]
		}
		return j, r, j.writeSnapshot(func(func([]byte) error) error { return nil })
	}
	if err := j.replay(load, &r); err != nil {
		return nil, r, err
	}
	j.removeOldFiles()
	return j, r, nil
}

func (j *Journal) generationPath(name string, gen uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf("%s%016x", name, gen))
}

// listGenerations are those of which there is a snapshot, the newest first.
func listGenerations(dir string) (gens []uint64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		var gen uint64
		if n, _ := fmt.Sscanf(e.Name(), snapshotPrefix+"%016x", &gen); n == 1 && e.Name() == fmt.Sprintf("%s%016x", snapshotPrefix, gen) {
			gens = append(gens, gen)
		}
	}
	slices.Sort(gens)
	slices.Reverse(gens)
	return gens, nil
}

// appendRecord frames a record: length, a sum over where it stands and what it says, and itself. The place is in the
// sum, against a record of an older file that a disk gives back in the place of a newer one.
func appendRecord(to []byte, gen uint64, at int64, record []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(len(record)))
	to = binary.LittleEndian.AppendUint64(to, recordChecksum(gen, at, record))
	return append(to, record...)
}

func recordChecksum(gen uint64, at int64, record []byte) uint64 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], gen)
	binary.LittleEndian.PutUint64(place[8:], uint64(at))
	h := xxhash.New()
	h.Write(place[:])
	h.Write(record)
	return h.Sum64()
}

var errIncompleteRecord = errors.New("half a record")

// readRecord reads the record at a place.
func readRecord(r io.Reader, gen uint64, at int64) ([]byte, error) {
	var head [recordHeaderBytes]byte
	_, err := io.ReadFull(r, head[:])
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, errIncompleteRecord
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > maxRecordBytes {
		return nil, errIncompleteRecord
	}
	record := make([]byte, length)
	if _, err := io.ReadFull(r, record); err != nil || recordChecksum(gen, at, record) != binary.LittleEndian.Uint64(head[4:]) {
		return nil, errIncompleteRecord
	}
	return record, nil
}

// readSnapshot reads a whole snapshot; its last record is empty and says that it is whole.
func readSnapshot(path string) (records [][]byte, bytes int64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	var gen uint64
	fmt.Sscanf(filepath.Base(path), snapshotPrefix+"%016x", &gen)
	r := bufio.NewReader(f)
	head := make([]byte, len(snapshotHeader))
	if _, err := io.ReadFull(r, head); err != nil || string(head) != snapshotHeader {
		return nil, 0, errIncompleteRecord
	}
	at := int64(len(snapshotHeader))
	for {
		rec, err := readRecord(r, gen, at)
		if err != nil {
			return nil, at, errIncompleteRecord // also where it ends: its last record is missing
		}
		at += recordHeaderBytes + int64(len(rec))
		if len(rec) == 0 {
			return records, at, nil
		}
		records = append(records, rec)
	}
}

// replay reads the journal behind the snapshot, cuts off what a crash has torn, and goes on from there.
func (j *Journal) replay(load func([]byte) error, r *Recovery) error {
	f, err := os.OpenFile(j.generationPath(journalPrefix, j.generation), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	in := bufio.NewReader(f)
	at := int64(0)
	for {
		rec, err := readRecord(in, j.generation, at)
		if err != nil {
			break
		}
		if err := load(rec); err != nil {
			f.Close()
			return err
		}
		r.Records++
		at += recordHeaderBytes + int64(len(rec))
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return err
	}
	r.BytesRead += info.Size()
	if r.TornBytes = info.Size() - at; r.TornBytes > 0 {
		r.Damaged = r.Damaged || hasLaterRecord(f, j.generation, at, info.Size())
		if err := errors.Join(f.Truncate(at), j.sync(f)); err != nil {
			f.Close()
			return err
		}
	}
	j.file, j.size = f, at
	return nil
}

// hasLaterRecord looks for a record that can be read behind one that can't. A crash tears the last write alone, so that
// one behind it means that the disk has lost what stood before; where a single write of several records was torn out
// of order it says so too, which errs on the careful side.
func hasLaterRecord(f *os.File, gen uint64, from, to int64) bool {
	const most = 1 << 20 // looked at
	if to-from > most {
		return true // no write is as long
	}
	buf := make([]byte, to-from)
	if _, err := f.ReadAt(buf, from); err != nil {
		return true
	}
	for at := 1; at+recordHeaderBytes <= len(buf); at++ {
		n := int(binary.LittleEndian.Uint32(buf[at:]))
		if n > maxRecordBytes || at+recordHeaderBytes+n > len(buf) {
			continue
		}
		if recordChecksum(gen, from+int64(at), buf[at+recordHeaderBytes:at+recordHeaderBytes+n]) == binary.LittleEndian.Uint64(buf[at+4:]) {
			return true
		}
	}
	return false
}

// Append writes records, all in one write, and returns once they are on the disk. After an error nothing more can be
// written: what is on the disk is not known, and a new Open tells.
func (j *Journal) Append(records ...[]byte) error {
	if j.failure != nil {
		return j.failure
	}
	var buf []byte
	for _, rec := range records {
		if len(rec) == 0 || len(rec) > maxRecordBytes {
			return fmt.Errorf("a record of %d bytes", len(rec))
		}
		buf = appendRecord(buf, j.generation, j.size+int64(len(buf)), rec)
	}
	if _, err := j.file.WriteAt(buf, j.size); err != nil {
		j.failure = fmt.Errorf("journal: %w", err)
		return j.failure
	}
	if err := j.sync(j.file); err != nil {
		j.failure = fmt.Errorf("journal: %w", err)
		return j.failure
	}
	j.size += int64(len(buf))
	return nil
}

// SnapshotDue reports whether a snapshot is due.
func (j *Journal) SnapshotDue() bool { return j.size > j.maxBytes }

// Size is that of the journal behind its snapshot, in bytes.
func (j *Journal) Size() int64 { return j.size }

// Snapshot puts what all records come to in their place: write is handed each record of it.
func (j *Journal) Snapshot(write func(put func(record []byte) error) error) error {
	if j.failure != nil {
		return j.failure
	}
	old := j.file
	if err := j.writeSnapshot(write); err != nil {
		return err
	}
	if old != nil {
		old.Close()
	}
	return nil
}

// writeSnapshot writes the snapshot of the next generation and opens its journal. The old generation goes only when the new
// one is on the disk.
func (j *Journal) writeSnapshot(write func(put func([]byte) error) error) error {
	gen := j.generation + 1
	path := j.generationPath(snapshotPrefix, gen)
	f, err := os.CreateTemp(j.folder, ".writing-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // where it was not renamed
	out := bufio.NewWriter(f)
	out.WriteString(snapshotHeader)
	at := int64(len(snapshotHeader))
	put := func(rec []byte) error {
		framed := appendRecord(nil, gen, at, rec)
		at += int64(len(framed))
		_, err := out.Write(framed)
		return err
	}
	err = write(func(rec []byte) error {
		if len(rec) == 0 || len(rec) > maxRecordBytes {
			return fmt.Errorf("a record of %d bytes", len(rec))
		}
		return put(rec)
	})
	if err = errors.Join(err, put(nil), out.Flush(), f.Chmod(0o644), j.sync(f), f.Close()); err != nil {
		return err
	}
	// The journal is there before its snapshot counts, empty: one of the same generation that an earlier crash left
	// behind was never part of anything.
	journal, err := os.OpenFile(j.generationPath(journalPrefix, gen), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if err := errors.Join(j.sync(journal), os.Rename(f.Name(), path), j.syncDir()); err != nil {
		journal.Close()
		return err
	}
	j.generation, j.file, j.size = gen, journal, 0
	j.removeOldFiles()
	return nil
}

func (j *Journal) syncDir() error {
	d, err := os.Open(j.folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return j.sync(d)
}

// removeOldFiles takes away what is of another generation, or was being written when a crash came.
func (j *Journal) removeOldFiles() {
	entries, err := os.ReadDir(j.folder)
	if err != nil {
		return
	}
	for _, e := range entries {
		name := e.Name()
		ours := strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, journalPrefix) || strings.HasPrefix(name, ".writing-")
		if ours && name != filepath.Base(j.generationPath(snapshotPrefix, j.generation)) && name != filepath.Base(j.generationPath(journalPrefix, j.generation)) {
			os.Remove(filepath.Join(j.folder, name)) // what is left of it is taken away the next time
		}
	}
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

// ReadJournal hands all records of a folder that can be read to see, the oldest first, and changes nothing there: for who looks
// on while another process writes.
func ReadJournal(dir string, see func(record []byte) error) error {
	gens, err := listGenerations(dir)
	if err != nil {
		return err
	}
	for _, gen := range gens {
		records, _, err := readSnapshot(filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, gen)))
		if err != nil {
			continue
		}
		for _, rec := range records {
			if err := see(rec); err != nil {
				return err
			}
		}
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("%s%016x", journalPrefix, gen)))
		if err != nil {
			return err
		}
		defer f.Close()
		in, at := bufio.NewReader(f), int64(0)
		for {
			rec, err := readRecord(in, gen, at)
			if err != nil {
				return nil // the end, or half a record of who writes now
			}
			if err := see(rec); err != nil {
				return err
			}
			at += recordHeaderBytes + int64(len(rec))
		}
	}
	return nil
}

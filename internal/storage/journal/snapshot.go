package journal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// snapshotHeader is the first line of a snapshot. An empty record marks its end.
const snapshotHeader = "yokeroute state 1\n"

// listGenerations returns the generations that have a snapshot, the newest first.
func listGenerations(folder string) ([]uint64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var generations []uint64
	for _, entry := range entries {
		var generation uint64
		n, _ := fmt.Sscanf(entry.Name(), snapshotPrefix+"%016x", &generation)
		exact := filepath.Base(generationPath(folder, snapshotPrefix, generation))
		if n == 1 && entry.Name() == exact {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	slices.Reverse(generations)
	return generations, nil
}

// readSnapshot reads a snapshot. It returns errIncompleteRecord unless the snapshot is complete.
func readSnapshot(folder string, generation uint64) (records [][]byte, size int64, err error) {
	file, err := os.Open(generationPath(folder, snapshotPrefix, generation))
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	header := make([]byte, len(snapshotHeader))
	if _, err := io.ReadFull(reader, header); err != nil || string(header) != snapshotHeader {
		return nil, 0, errIncompleteRecord
	}
	offset := int64(len(snapshotHeader))
	for {
		record, err := readRecord(reader, generation, offset)
		if err != nil {
			return nil, offset, errIncompleteRecord // also for io.EOF, since the empty record at the end is missing
		}
		offset += recordHeaderBytes + int64(len(record))
		if len(record) == 0 {
			return records, offset, nil
		}
		records = append(records, record)
	}
}

// writeSnapshot starts the next generation and removes the files of the current one once the new ones are synced.
func (j *Journal) writeSnapshot(sync func(*os.File) error, write func(put func([]byte) error) error) error {
	generation := j.generation + 1
	temporary, err := j.writeSnapshotFile(generation, sync, write)
	if temporary != "" {
		defer func() { _ = os.Remove(temporary) }() // has no effect once the file has been renamed
	}
	if err != nil {
		return err
	}
	// The journal is created before the snapshot is renamed to its final name. A journal of this generation that an
	// earlier crash left is truncated: without a snapshot it was never valid.
	journalPath := generationPath(j.folder, journalPrefix, generation)
	journal, err := os.OpenFile(journalPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	snapshotPath := generationPath(j.folder, snapshotPrefix, generation)
	if err := errors.Join(sync(journal), os.Rename(temporary, snapshotPath), j.syncFolder(sync)); err != nil {
		journal.Close()
		// The snapshot may already have its final name. A reader would then ignore what is appended to the old journal.
		j.failure = fmt.Errorf("journal: %w", err)
		return err
	}
	j.generation = generation
	j.file = journal
	j.size = 0
	j.removeOldFiles()
	return nil
}

// writeSnapshotFile writes a snapshot to a temporary file and returns the name of that file.
func (j *Journal) writeSnapshotFile(
	generation uint64, sync func(*os.File) error, write func(put func([]byte) error) error,
) (string, error) {
	file, err := os.CreateTemp(j.folder, temporaryPrefix+"*")
	if err != nil {
		return "", err
	}
	out := bufio.NewWriter(file)
	_, _ = out.WriteString(snapshotHeader) // the writer keeps the error and returns it from Flush
	offset := int64(len(snapshotHeader))
	put := func(record []byte) error {
		stored := appendRecord(nil, generation, offset, record)
		offset += int64(len(stored))
		_, err := out.Write(stored)
		return err
	}
	err = write(func(record []byte) error {
		if err := checkRecordSize(record); err != nil {
			return err
		}
		return put(record)
	})
	err = errors.Join(err, put(nil), out.Flush(), file.Chmod(0o644), sync(file), file.Close())
	return file.Name(), err
}

func (j *Journal) syncFolder(sync func(*os.File) error) error {
	folder, err := os.Open(j.folder)
	if err != nil {
		return err
	}
	defer folder.Close()
	return sync(folder)
}

// removeOldFiles removes the files of other generations and temporary files that a crash left. It ignores errors: the
// next call tries to remove the remaining files again.
func (j *Journal) removeOldFiles() {
	entries, err := os.ReadDir(j.folder)
	if err != nil {
		return
	}
	current := []string{
		filepath.Base(generationPath(j.folder, snapshotPrefix, j.generation)),
		filepath.Base(generationPath(j.folder, journalPrefix, j.generation)),
	}
	for _, entry := range entries {
		name := entry.Name()
		ours := strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, journalPrefix) ||
			strings.HasPrefix(name, temporaryPrefix)
		if ours && !slices.Contains(current, name) {
			_ = os.Remove(filepath.Join(j.folder, name))
		}
	}
}

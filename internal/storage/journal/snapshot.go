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

// snapshotHeader begins a snapshot. An empty record ends it.
const snapshotHeader = "yokeroute state 1\n"

// listGenerations returns the generations with a snapshot, the newest first.
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

// readSnapshot reads a snapshot that is complete.
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
			return nil, offset, errIncompleteRecord // at the file's end, too: the last record is missing
		}
		offset += recordHeaderBytes + int64(len(record))
		if len(record) == 0 {
			return records, offset, nil
		}
		records = append(records, record)
	}
}

// writeSnapshot begins the next generation. The files of the present one are removed once the new ones are on the
// disk.
func (j *Journal) writeSnapshot(sync func(*os.File) error, write func(put func([]byte) error) error) error {
	generation := j.generation + 1
	temporary, err := j.writeSnapshotFile(generation, sync, write)
	if temporary != "" {
		defer func() { _ = os.Remove(temporary) }() // unless it was renamed
	}
	if err != nil {
		return err
	}
	// The journal is created before its snapshot gets its name. One of this generation that an earlier crash left was
	// never valid.
	journalPath := generationPath(j.folder, journalPrefix, generation)
	journal, err := os.OpenFile(journalPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	snapshotPath := generationPath(j.folder, snapshotPrefix, generation)
	if err := errors.Join(sync(journal), os.Rename(temporary, snapshotPath), j.syncFolder(sync)); err != nil {
		journal.Close()
		// The snapshot may have its name already, and would be read in place of what is appended to the present journal.
		j.failure = fmt.Errorf("journal: %w", err)
		return err
	}
	j.generation = generation
	j.file = journal
	j.size = 0
	j.removeOldFiles()
	return nil
}

// writeSnapshotFile writes a snapshot to a temporary file, whose name it returns.
func (j *Journal) writeSnapshotFile(
	generation uint64, sync func(*os.File) error, write func(put func([]byte) error) error,
) (string, error) {
	file, err := os.CreateTemp(j.folder, temporaryPrefix+"*")
	if err != nil {
		return "", err
	}
	out := bufio.NewWriter(file)
	_, _ = out.WriteString(snapshotHeader) // an error stays in the writer until Flush
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

// removeOldFiles removes files of other generations, and temporary ones that a crash left. What can't be removed is
// left for the next time.
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

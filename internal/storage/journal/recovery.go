package journal

import (
	"bufio"
	"encoding/binary"
	"io"
	"os"
)

// maxScanBytes limits the search for readable records after an unreadable one. It is longer than any write.
const maxScanBytes = 1 << 20

// replay loads the journal that follows the snapshot and truncates a record that a crash left incomplete.
func (j *Journal) replay(load func([]byte) error, recovery *Recovery) error {
	path := generationPath(j.folder, journalPrefix, j.generation)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	size, err := readRecords(file, j.generation, func(record []byte) error {
		err := load(record)
		if err == nil {
			recovery.Records++
		}
		return err
	})
	if err == nil {
		err = j.truncate(file, size, recovery)
	}
	if err != nil {
		file.Close()
		return err
	}
	j.file = file
	j.size = size
	return nil
}

// truncate truncates a journal after its last readable record. The next sync of the file makes this durable.
func (j *Journal) truncate(file *os.File, size int64, recovery *Recovery) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	recovery.BytesRead += info.Size()
	recovery.TornBytes = info.Size() - size
	if recovery.TornBytes <= 0 {
		return nil
	}
	if hasLaterRecord(file, j.generation, size, info.Size()) {
		recovery.Damaged = true
	}
	return file.Truncate(size)
}

// readRecords passes the records of a journal to visit, up to the first unreadable one, and returns their size.
func readRecords(file io.Reader, generation uint64, visit func(record []byte) error) (size int64, err error) {
	reader := bufio.NewReader(file)
	for {
		record, err := readRecord(reader, generation, size)
		if err != nil {
			return size, nil
		}
		if err := visit(record); err != nil {
			return size, err
		}
		size += recordHeaderBytes + int64(len(record))
	}
}

// hasLaterRecord reports whether a range that begins with an unreadable record contains a readable one. A crash tears
// only the last write, so a readable record after it means that the disk has lost an earlier one. A write of several
// records that reached the disk out of order is reported as well, which errs on the safe side.
func hasLaterRecord(file *os.File, generation uint64, from, to int64) bool {
	if to-from > maxScanBytes {
		return true
	}
	buf := make([]byte, to-from)
	if _, err := file.ReadAt(buf, from); err != nil {
		return true
	}
	for start := 1; start+recordHeaderBytes <= len(buf); start++ {
		header := buf[start:]
		length := int(binary.LittleEndian.Uint32(header))
		if length > maxRecordBytes || recordHeaderBytes+length > len(header) {
			continue
		}
		record := header[recordHeaderBytes : recordHeaderBytes+length]
		checksum := binary.LittleEndian.Uint64(header[4:])
		if recordChecksum(generation, from+int64(start), record) == checksum {
			return true
		}
	}
	return false
}

// Read passes the readable records of a folder to visit, the oldest first. It does not modify the folder, which another
// process may be writing.
func Read(folder string, visit func(record []byte) error) error {
	generations, err := listGenerations(folder)
	if err != nil {
		return err
	}
	for _, generation := range generations {
		records, _, err := readSnapshot(folder, generation)
		if err != nil {
			continue
		}
		return readGeneration(folder, generation, records, visit)
	}
	return nil
}

func readGeneration(folder string, generation uint64, records [][]byte, visit func(record []byte) error) error {
	for _, record := range records {
		if err := visit(record); err != nil {
			return err
		}
	}
	file, err := os.Open(generationPath(folder, journalPrefix, generation))
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = readRecords(file, generation, visit) // up to the end of the file or a record that is still being written
	return err
}

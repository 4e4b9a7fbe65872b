package journal

import (
	"bufio"
	"encoding/binary"
	"io"
	"os"
)

// maxScanBytes bounds the search for records behind one that can't be read. No write is as long.
const maxScanBytes = 1 << 20

// replay loads the journal behind the snapshot and cuts off what a crash left incomplete.
func (j *Journal) replay(load func([]byte) error, found *Recovery) error {
	path := generationPath(j.folder, journalPrefix, j.generation)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	size, err := readRecords(file, j.generation, func(record []byte) error {
		err := load(record)
		if err == nil {
			found.Records++
		}
		return err
	})
	if err == nil {
		err = j.truncate(file, size, found)
	}
	if err != nil {
		file.Close()
		return err
	}
	j.file = file
	j.size = size
	return nil
}

// truncate cuts a journal off behind its readable records. The next sync of the file covers it.
func (j *Journal) truncate(file *os.File, size int64, found *Recovery) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	found.BytesRead += info.Size()
	found.TornBytes = info.Size() - size
	if found.TornBytes <= 0 {
		return nil
	}
	if hasLaterRecord(file, j.generation, size, info.Size()) {
		found.Damaged = true
	}
	return file.Truncate(size)
}

// readRecords hands the readable records of a journal to visit, and returns the size of these.
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

// hasLaterRecord looks for a readable record in a range that begins with an unreadable one. A crash tears the last
// write alone, so that a record behind it means that the disk has lost what was before. A write of several records
// that was torn out of order is reported as well, which errs on the safe side.
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

// Read hands the readable records of a folder to visit, the oldest first, and changes nothing: another process
// may be writing it.
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
	_, err = readRecords(file, generation, visit) // to its end, or to the record that is being written
	return err
}

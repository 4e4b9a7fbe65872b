package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// A stored record is its length in four bytes, its checksum in eight, the least significant first, and itself.
const (
	recordHeaderBytes = 12
	maxRecordBytes    = 1 << 24
)

// errIncompleteRecord is a record that is cut off or damaged.
var errIncompleteRecord = errors.New("incomplete record")

func checkRecordSize(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return fmt.Errorf("record of %d bytes, 1 to %d are allowed", len(record), maxRecordBytes)
	}
	return nil
}

// appendRecord appends a record as it is stored at an offset of a generation's file.
func appendRecord(buf []byte, generation uint64, offset int64, record []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
	buf = binary.LittleEndian.AppendUint64(buf, recordChecksum(generation, offset, record))
	return append(buf, record...)
}

// recordChecksum covers a record and its place, so that a record of an older file, which a disk may return in place
// of a newer one, does not fit.
func recordChecksum(generation uint64, offset int64, record []byte) uint64 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], generation)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	h := xxhash.New()
	_, _ = h.Write(place[:]) // never fails
	_, _ = h.Write(record)
	return h.Sum64()
}

// readRecord reads the record at an offset. The error is io.EOF at the file's end, errIncompleteRecord otherwise.
func readRecord(r io.Reader, generation uint64, offset int64) ([]byte, error) {
	var header [recordHeaderBytes]byte
	_, err := io.ReadFull(r, header[:])
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, errIncompleteRecord
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length > maxRecordBytes {
		return nil, errIncompleteRecord
	}
	record := make([]byte, length)
	if _, err := io.ReadFull(r, record); err != nil {
		return nil, errIncompleteRecord
	}
	if recordChecksum(generation, offset, record) != binary.LittleEndian.Uint64(header[4:]) {
		return nil, errIncompleteRecord
	}
	return record, nil
}

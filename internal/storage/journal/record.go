package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// A stored record consists of its length (four bytes), its checksum (eight bytes), both little-endian, and its content.
const (
	recordHeaderBytes = 12
	maxRecordBytes    = 1 << 24
)

// errIncompleteRecord is returned for a record that is truncated or damaged.
var errIncompleteRecord = errors.New("incomplete or damaged record")

func checkRecordSize(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return fmt.Errorf("journal record has %d bytes, want 1 to %d", len(record), maxRecordBytes)
	}
	return nil
}

// appendRecord appends a record in its stored form. The checksum depends on the generation and the offset in its file.
func appendRecord(buf []byte, generation uint64, offset int64, record []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
	buf = binary.LittleEndian.AppendUint64(buf, recordChecksum(generation, offset, record))
	return append(buf, record...)
}

// recordChecksum returns the checksum of a record, its generation and its offset, so that a record of an older file,
// which a disk may return instead of a newer one, is detected.
func recordChecksum(generation uint64, offset int64, record []byte) uint64 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], generation)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	h := xxhash.New()
	_, _ = h.Write(position[:]) // never returns an error
	_, _ = h.Write(record)
	return h.Sum64()
}

// readRecord reads the record at an offset. It returns io.EOF at the end of the file and errIncompleteRecord for a
// record that is truncated or damaged.
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

package policyserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"yokeroute/logic/policy"
)

// snapshotFormat is the format number of snapshots. A server rejects a snapshot of another format.
const snapshotFormat = 1

// snapshot is the document in a snapshot file.
type snapshot struct {
	Format int           `json:"policies"`
	Record policy.Record `json:"record"`
}

// Persist writes the snapshot.
func (s *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(fmt.Errorf("snapshot of policies: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot holds no resources.
func (s *snapshot) Release() {}

// ReadSnapshot reads the record of a snapshot, and closes the reader.
func ReadSnapshot(from io.ReadCloser) (*policy.Record, error) {
	defer from.Close()
	var s snapshot
	if err := json.NewDecoder(from).Decode(&s); err != nil {
		return nil, fmt.Errorf("snapshot of policies: %w", err)
	}
	if s.Format != snapshotFormat {
		return nil, fmt.Errorf("snapshot of policies: unsupported format %d, this version reads %d", s.Format, snapshotFormat)
	}
	return &s.Record, nil
}

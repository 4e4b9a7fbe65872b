package policyserver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	wire "yokeroute/internal/control/policyclient"
)

// boots counts the starts of each steward, its own and those it was told of by the others. One whose own count is behind
// what another knows of it has a disk of long ago: it has voted in ways that it does not remember, and must not go on.
type boots struct{ db *bbolt.DB }

// ErrOldDisk is a steward with a disk from before what the others know of it.
var ErrOldDisk = errors.New("the disk is older than this steward: it was started since then. " +
	"It may have voted in ways that it does not remember; replace it under a new name: docs/operate/policy.md")

var bucket = []byte("boots")

func openBoots(folder string) (*boots, error) {
	db, err := bbolt.Open(filepath.Join(folder, "boots"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("folder %s: %w; another steward may run in it", folder, err)
	}
	return &boots{db}, db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
}

// Close lets go of the file.
func (b *boots) Close() error { return b.db.Close() }

// known is the highest count known of a steward.
func (b *boots) known(name string) (n uint64) {
	b.db.View(func(tx *bbolt.Tx) error {
		if v := tx.Bucket(bucket).Get([]byte(name)); len(v) == 8 {
			n = binary.BigEndian.Uint64(v)
		}
		return nil
	})
	return n
}

// note keeps a count that is higher than the one known, and gives the one known before.
func (b *boots) note(name string, n uint64) (before uint64, err error) {
	err = b.db.Update(func(tx *bbolt.Tx) error {
		at := tx.Bucket(bucket)
		if v := at.Get([]byte(name)); len(v) == 8 {
			before = binary.BigEndian.Uint64(v)
		}
		if n <= before {
			return nil
		}
		return at.Put([]byte(name), binary.BigEndian.AppendUint64(nil, n))
	})
	return before, err
}

// begin counts this start and tells the others of it. It waits for one of them at least: with nobody's word an old disk
// could not be told from a new one. A steward alone has nobody to contradict.
func (b *boots) begin(ctx context.Context, t *Terms, log *logrus.Logger) error {
	own := b.known(t.Name) + 1
	if _, err := b.note(t.Name, own); err != nil {
		return err
	}
	if len(t.Peers) == 1 {
		return nil
	}
	for said := false; ; said = true {
		heard := 0
		for _, p := range t.Peers {
			if p.Name == t.Name {
				continue
			}
			before, err := tell(ctx, p.HTTP, wire.Name{Form: wire.Form, Name: t.Name, Number: own})
			switch {
			case err != nil:
				continue
			case before >= own:
				return fmt.Errorf("steward %s: %w (start %d here, %s knows of start %d)", t.Name, ErrOldDisk, own, p.Name, before)
			}
			heard++
		}
		if heard > 0 {
			return nil
		}
		if !said {
			log.Warn("policies: no other steward answers yet; this one waits for one")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// tell tells another steward of a start, and gives what it knew before.
func tell(ctx context.Context, address string, start wire.Name) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	a, status, err := wire.Exchange(ctx, http.DefaultClient, http.MethodPost, "http://"+address+wire.BootPath, start)
	if err == nil && status != http.StatusOK {
		err = errors.New(a.Error)
	}
	if err != nil {
		return 0, err
	}
	return a.Boot, nil
}

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

	"yokeroute/internal/control/policyapi"
)

// ErrStaleDisk reports a policy server that was started with a disk from before some of its earlier incarnations.
var ErrStaleDisk = errors.New("the disk is older than this policy server: it was started since then. " +
	"It may have voted in ways that it does not remember; replace it under a new name: docs/operate/policy.md")

const (
	incarnationFile     = "boots" // in the state folder
	fileLockTimeout     = time.Second
	announceTimeout     = 2 * time.Second
	announceRetryPause  = 200 * time.Millisecond
	storedCounterLength = 8 // bytes
)

var incarnationBucket = []byte("boots")

// incarnationStore counts the incarnations of each policy server: its own, and those that the others have announced.
// A server whose own count is lower than what another one knows runs on a stale disk. It has voted in ways that it
// does not remember and must not take part.
type incarnationStore struct{ db *bbolt.DB }

func openIncarnations(folder string) (*incarnationStore, error) {
	options := &bbolt.Options{Timeout: fileLockTimeout}
	db, err := bbolt.Open(filepath.Join(folder, incarnationFile), 0o600, options)
	if err != nil {
		return nil, fmt.Errorf("folder %s: %w; another policy server may run in it", folder, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(incarnationBucket)
		return err
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("folder %s: %w", folder, err), db.Close())
	}
	return &incarnationStore{db}, nil
}

// Close closes the file.
func (s *incarnationStore) Close() error { return s.db.Close() }

// latest returns the highest known incarnation of a server, 0 for none.
func (s *incarnationStore) latest(name string) (incarnation uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		incarnation = readCounter(tx.Bucket(incarnationBucket), name)
		return nil
	})
	return incarnation, err
}

// record stores an incarnation that is higher than the highest known one, and returns the one known before.
func (s *incarnationStore) record(name string, incarnation uint64) (before uint64, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(incarnationBucket)
		before = readCounter(bucket, name)
		if incarnation <= before {
			return nil
		}
		return bucket.Put([]byte(name), binary.BigEndian.AppendUint64(nil, incarnation))
	})
	return before, err
}

func readCounter(bucket *bbolt.Bucket, name string) uint64 {
	value := bucket.Get([]byte(name))
	if len(value) != storedCounterLength {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// begin counts this incarnation and announces it to the other servers. It waits for one of them at least, as nobody
// else can tell a stale disk from a current one. A single server has nobody to ask.
func (s *incarnationStore) begin(ctx context.Context, c *Config, log *logrus.Logger) error {
	latest, err := s.latest(c.Name)
	if err != nil {
		return err
	}
	own := latest + 1
	if _, err := s.record(c.Name, own); err != nil {
		return err
	}
	if len(c.Peers) == 1 {
		return nil
	}
	for logged := false; ; logged = true {
		answered, err := announceToPeers(ctx, c, own)
		if answered || err != nil {
			return err
		}
		if !logged {
			log.Warn("policy server: waiting for another policy server to answer")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(announceRetryPause):
		}
	}
}

// announceToPeers announces an incarnation to each peer, and reports whether one has answered.
func announceToPeers(ctx context.Context, c *Config, own uint64) (answered bool, err error) {
	for _, p := range c.Peers {
		if p.Name == c.Name {
			continue
		}
		before, err := announce(ctx, p.HTTP, c.Name, own)
		if err != nil {
			continue
		}
		if before >= own {
			return false, fmt.Errorf("policy server %s: %w (start %d here, %s knows of start %d)",
				c.Name, ErrStaleDisk, own, p.Name, before)
		}
		answered = true
	}
	return answered, nil
}

// announce announces an incarnation to one server, and returns the highest one that it knew before.
func announce(ctx context.Context, address, name string, incarnation uint64) (before uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	e := policyapi.Endpoint{Method: http.MethodPost, Address: address, Path: policyapi.IncarnationPath}
	request := policyapi.IncarnationRequest{Format: policyapi.Format, Name: name, Incarnation: incarnation}
	r, err := policyapi.Call(ctx, http.DefaultClient, e, request, policyapi.Read[policyapi.IncarnationResponse])
	if err != nil {
		return 0, err
	}
	return r.Incarnation, nil
}

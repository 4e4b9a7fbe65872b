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

// ErrStaleDisk reports that a policy server was started with a disk that lacks some of its earlier incarnations, such
// as an old copy.
var ErrStaleDisk = errors.New("the disk is older than this policy server: the server has been started since. " +
	"It may have cast votes that the disk does not hold; replace it under a new name: docs/operate/policy.md")

const (
	incarnationFile     = "boots" // file name in the state folder
	fileLockTimeout     = time.Second
	announceTimeout     = 2 * time.Second
	announceRetryPause  = 200 * time.Millisecond
	storedCounterLength = 8 // bytes
)

var incarnationBucket = []byte("boots")

// incarnationStore stores the number of incarnations of each policy server: its own, and those that the others have
// announced. A server whose own number is lower than the one that another server knows runs on a stale disk. It may
// have cast votes that the disk does not hold, so it must not take part in the quorum.
type incarnationStore struct{ db *bbolt.DB }

func openIncarnations(folder string) (*incarnationStore, error) {
	options := &bbolt.Options{Timeout: fileLockTimeout}
	db, err := bbolt.Open(filepath.Join(folder, incarnationFile), 0o600, options)
	if err != nil {
		return nil, fmt.Errorf("state folder %s: %w; another policy server may be using it", folder, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(incarnationBucket)
		return err
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("state folder %s: %w", folder, err), db.Close())
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

// record stores an incarnation if it is higher than the highest known one, and returns the one known before.
func (s *incarnationStore) record(name string, incarnation uint64) (previous uint64, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(incarnationBucket)
		previous = readCounter(bucket, name)
		if incarnation <= previous {
			return nil
		}
		return bucket.Put([]byte(name), binary.BigEndian.AppendUint64(nil, incarnation))
	})
	return previous, err
}

// readCounter returns the stored incarnation of a server, 0 if there is none.
func readCounter(bucket *bbolt.Bucket, name string) uint64 {
	value := bucket.Get([]byte(name))
	if len(value) != storedCounterLength {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// startIncarnation stores a new incarnation and announces it to the other servers. It waits until at least one of them
// has answered, since only another server can tell that the disk is stale. A server without peers does not wait.
func (s *incarnationStore) startIncarnation(ctx context.Context, c *Config, log *logrus.Logger) error {
	latest, err := s.latest(c.Name)
	if err != nil {
		return err
	}
	incarnation := latest + 1
	if _, err := s.record(c.Name, incarnation); err != nil {
		return err
	}
	if len(c.Peers) == 1 {
		return nil
	}
	for logged := false; ; logged = true {
		answered, err := announceToPeers(ctx, c, incarnation)
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

// announceToPeers announces an incarnation to each peer, and reports whether at least one has answered. It returns
// ErrStaleDisk if a peer knows of the same or a later incarnation.
func announceToPeers(ctx context.Context, c *Config, incarnation uint64) (answered bool, err error) {
	for _, p := range c.Peers {
		if p.Name == c.Name {
			continue
		}
		previous, err := announce(ctx, p.HTTP, c.Name, incarnation)
		if err != nil {
			continue
		}
		if previous >= incarnation {
			return false, fmt.Errorf("policy server %s: %w (incarnation %d here, %s knows of incarnation %d)",
				c.Name, ErrStaleDisk, incarnation, p.Name, previous)
		}
		answered = true
	}
	return answered, nil
}

// announce announces an incarnation to one server, and returns the highest incarnation that the server knew before.
func announce(ctx context.Context, address, name string, incarnation uint64) (previous uint64, err error) {
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

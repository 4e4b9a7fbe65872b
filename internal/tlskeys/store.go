package tlskeys

import (
	"context"
	"crypto/tls"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
)

const (
	// A change of files is often several: a new certificate, then its key. They are read once there is a pause.
	quietPeriod = 100 * time.Millisecond
	// Where the system tells of no changes, as on some network disks, they are looked for.
	pollInterval = 30 * time.Second
)

// Store holds the keys in force and replaces them when their files change. Keys that don't check out change nothing.
type Store struct {
	use Use
	log *logrus.Logger
	now func() time.Time

	keys atomic.Pointer[Keys]

	mu            sync.Mutex
	files         Files
	lastRejection string // of the last refusal, against a line at each look
	onReplace     []func(*Keys)
}

// Open reads keys for a use. Faulty ones are an error.
func Open(files Files, use Use, log *logrus.Logger) (*Store, error) {
	s := &Store{use: use, log: log, now: time.Now, files: files}
	k, err := Read(files, use, s.now())
	if err != nil {
		return nil, err
	}
	s.logKeys(k)
	s.keys.Store(k)
	return s, nil
}

// Keys are those in force.
func (s *Store) Keys() *Keys { return s.keys.Load() }

// OnReplace has a function called with new keys once they are in force. It is called by whoever reloads.
func (s *Store) OnReplace(f func(*Keys)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReplace = append(s.onReplace, f)
}

func (s *Store) logKeys(k *Keys) {
	for _, w := range k.Warnings {
		s.log.Warn("keys: " + w)
	}
	s.log.WithFields(logrus.Fields{"names": Names(k.Leaf), "until": formatTime(k.Leaf.NotAfter), "authorities": len(k.Authorities)}).Info("keys in force")
}

// Reload reads the files again, from other places where files is not nil, and puts what is new in force. An error
// changes nothing.
func (s *Store) Reload(files *Files) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if files == nil {
		files = &s.files
	}
	k, err := Read(*files, s.use, s.now())
	if err != nil {
		if text := err.Error(); text != s.lastRejection {
			s.lastRejection = text
			s.log.WithError(err).Error("keys refused; those before stay in force")
		}
		return err
	}
	s.files, s.lastRejection = *files, ""
	if k.digest == s.keys.Load().digest {
		return nil
	}
	s.keys.Store(k)
	s.logKeys(k)
	for _, f := range s.onReplace {
		f(k)
	}
	return nil
}

// Watch reloads whenever the files change, until ctx ends. Files that are swapped by renaming, or by a link to another
// folder, are seen as well, since their folders are watched.
func (s *Store) Watch(ctx context.Context) {
	var events chan fsnotify.Event
	var faults chan error
	if w, err := fsnotify.NewWatcher(); err != nil {
		s.log.WithError(err).Warn("keys: the system tells of no changes; files are looked at now and then")
	} else {
		defer w.Close()
		s.mu.Lock()
		for _, f := range []string{s.files.Cert, s.files.Key, s.files.Trust} {
			if err := w.Add(filepath.Dir(f)); err != nil {
				s.log.WithError(err).WithField("file", f).Warn("keys: the system tells of no changes; files are looked at now and then")
			}
		}
		s.mu.Unlock()
		events, faults = w.Events, w.Errors
	}
	looks := time.NewTicker(pollInterval)
	defer looks.Stop()
	soon := time.NewTimer(time.Hour)
	soon.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-events:
			soon.Reset(quietPeriod)
		case err := <-faults:
			s.log.WithError(err).Debug("keys: watching")
			soon.Reset(quietPeriod)
		case <-soon.C:
			s.Reload(nil) // it logs what it refuses
		case <-looks.C:
			s.Reload(nil)
		}
	}
}

// ClientConfig is for connections to a server of that name, or address; each one uses the keys then in force.
func (s *Store) ClientConfig(server string, protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: server, NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &s.Keys().Certificate, nil },
		// The library's own check goes by a bundle that can't be replaced; this one goes by the bundle in force.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			if !s.Keys().Trusts(cs.PeerCertificates, Server, s.now()) {
				return errUntrusted
			}
			return cs.PeerCertificates[0].VerifyHostname(server)
		}}
}

package tlskeys

import (
	"context"
	"crypto/tls"
	"errors"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
)

const (
	// A change often touches several files: a certificate, then its key. They are read once no file has changed for
	// this long.
	quietPeriod = 100 * time.Millisecond
	// Files are read this often as well, since some network file systems report no changes.
	pollInterval = 30 * time.Second
)

var errUntrusted = errors.New("its certificate is of no authority that is trusted")

// Store holds the keys in force and replaces them when their files change. Keys that fail a check change nothing.
type Store struct {
	use  Use
	log  *logrus.Logger
	now  func() time.Time
	keys atomic.Pointer[Keys]

	mu            sync.Mutex
	files         Files
	lastRejection string // so that polling does not log the same fault again and again
	onReplace     []func(*Keys)
}

// Open reads keys for a use. Faulty keys are an error.
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

// Keys returns the keys in force.
func (s *Store) Keys() *Keys { return s.keys.Load() }

// OnReplace registers a function that is called with new keys once they are in force, on the goroutine that reloads
// them.
func (s *Store) OnReplace(f func(*Keys)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReplace = append(s.onReplace, f)
}

func (s *Store) logKeys(k *Keys) {
	for _, warning := range k.Warnings {
		s.log.WithField("warning", warning).Warn("keys: accepted with a warning")
	}
	s.log.WithFields(logrus.Fields{
		"names":       Names(k.Leaf),
		"until":       formatTime(k.Leaf.NotAfter),
		"authorities": len(k.Authorities),
	}).Info("keys: in force")
}

// Reload reads the files again, from other places where files is not nil, and puts new keys in force. An error
// changes nothing.
func (s *Store) Reload(files *Files) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if files == nil {
		files = &s.files
	}
	k, err := Read(*files, s.use, s.now())
	if err != nil {
		s.logRejection(err)
		return err
	}
	s.files = *files
	s.lastRejection = ""
	if k.digest == s.keys.Load().digest {
		return nil
	}
	s.keys.Store(k)
	s.logKeys(k)
	for _, notify := range s.onReplace {
		notify(k)
	}
	return nil
}

func (s *Store) logRejection(err error) {
	text := err.Error()
	if text == s.lastRejection {
		return
	}
	s.lastRejection = text
	s.log.WithError(err).Error("keys: rejected, the previous ones stay in force")
}

// Watch reloads whenever the files change, until ctx ends. It watches their folders, so that it notices files that
// are replaced by a rename, or by a link to another folder.
func (s *Store) Watch(ctx context.Context) {
	var changes <-chan fsnotify.Event
	var watchErrors <-chan error
	if w := s.watchFolders(); w != nil {
		defer func() { _ = w.Close() }() // nothing is lost with it
		changes = w.Events
		watchErrors = w.Errors
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	settled := time.NewTimer(quietPeriod)
	settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			settled.Reset(quietPeriod)
		case err := <-watchErrors:
			s.log.WithError(err).Debug("keys: watch failed")
			settled.Reset(quietPeriod)
		case <-settled.C:
			_ = s.Reload(nil) // it logs its errors
		case <-poll.C:
			_ = s.Reload(nil)
		}
	}
}

// watchFolders returns a watcher of the files' folders, nil where there can be none.
func (s *Store) watchFolders() *fsnotify.Watcher {
	const unwatched = "keys: no notification of changes, polling instead"
	w, err := fsnotify.NewWatcher()
	if err != nil {
		s.log.WithError(err).Warn(unwatched)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, file := range []string{s.files.Cert, s.files.Key, s.files.Trust} {
		if err := w.Add(filepath.Dir(file)); err != nil {
			s.log.WithError(err).WithField("file", file).Warn(unwatched)
		}
	}
	return w
}

// ClientConfig returns the client's end of TLS for connections to a server of that name, or address. Each handshake
// uses the keys that are in force then.
func (s *Store) ClientConfig(server string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: server,
		NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.Keys().Certificate, nil
		},
		// The library's own check uses a bundle that can't be replaced. VerifyConnection uses the one in force.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if !s.Keys().Trusts(state.PeerCertificates, Server, s.now()) {
				return errUntrusted
			}
			return state.PeerCertificates[0].VerifyHostname(server)
		},
	}
}

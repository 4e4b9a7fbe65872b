package service

import (
	"math"
	"reflect"
	"runtime"
	"runtime/debug"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
)

// Reload applies what of a new platform's configuration can change under load. A faulty one changes nothing.
func (s *Service) Reload(load func() (*platform.Config, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := load()
	if err != nil {
		s.log.WithError(err).Error("service: configuration rejected")
		return
	}
	old := s.config
	s.config = c
	for _, configured := range s.hooks.platformConfigAccepted {
		configured(c)
	}
	if c.Limits != old.Limits {
		Limit(c.Limits)
	}
	for _, key := range keysNeedingRestart(old, c) {
		s.log.WithField("key", key).Warn("service: configuration key takes effect at the next start")
	}
	s.log.WithField("discovery", c.Discovery).Info("service: configuration applied")
}

// keysNeedingRestart names the changed keys that connections and queries in flight depend on.
func keysNeedingRestart(before, after *platform.Config) (keys []string) {
	for _, key := range []struct {
		name    string
		changed bool
	}{
		{"name", after.Name != before.Name},
		{"listen", after.Listen != before.Listen},
		{"limits.sockets", after.Limits.Sockets != before.Limits.Sockets},
		{"settings", !reflect.DeepEqual(after.Settings, before.Settings)},
	} {
		if key.changed {
			keys = append(keys, key.name)
		}
	}
	return keys
}

// Reread reads the operator's file again. A faulty one, or one that names a faulty plan, changes nothing.
func (s *Service) Reread(file string) {
	if err := s.reloadOperatorFile(file); err != nil {
		s.log.WithError(err).Error("service: operator's file rejected")
	}
}

func (s *Service) reloadOperatorFile(file string) error {
	own, err := operator.Read(file)
	if err != nil {
		return err
	}
	for _, reread := range s.hooks.operatorFileRead {
		if err := reread(own); err != nil {
			return err
		}
	}
	for _, reloaded := range s.hooks.operatorFileAccepted {
		reloaded(own)
	}
	return nil
}

// Limit sets the runtime to the platform's limits, so that the process is neither killed for memory nor throttled
// during a collection.
func Limit(l platform.Limits) {
	const (
		bytesPerMegabyte = 1 << 20
		heapShare        = 3.0 / 4 // the rest is for stacks, buffers of the kernel and the program itself
	)
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB * bytesPerMegabyte * heapShare))
}

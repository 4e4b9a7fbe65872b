package service

import (
	"math"
	"reflect"
	"runtime"
	"runtime/debug"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
)

// Reload loads a new platform configuration and applies the parts that can change while serving. An invalid
// configuration changes nothing. Changed keys that need a restart are logged.
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
	for _, apply := range s.hooks.platformConfigAccepted {
		apply(c)
	}
	if c.Limits != old.Limits {
		ApplyRuntimeLimits(c.Limits)
	}
	for _, key := range keysNeedingRestart(old, c) {
		s.log.WithField("key", key).Warn("service: configuration key takes effect at the next start")
	}
	s.log.WithField("discovery", c.Discovery).Info("service: configuration applied")
}

// keysNeedingRestart returns the changed keys that take effect only after a restart, because open connections and
// queries in flight depend on them.
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

// ReloadOperatorFile reads the operator's file again and applies it. An invalid file, or one that names an invalid
// plan, changes nothing.
func (s *Service) ReloadOperatorFile(file string) {
	if err := s.reloadOperatorFile(file); err != nil {
		s.log.WithError(err).Error("service: operator's file rejected")
	}
}

func (s *Service) reloadOperatorFile(file string) error {
	operatorFile, err := operator.Read(file)
	if err != nil {
		return err
	}
	for _, apply := range s.hooks.operatorFileRead {
		if err := apply(operatorFile); err != nil {
			return err
		}
	}
	for _, accepted := range s.hooks.operatorFileAccepted {
		accepted(operatorFile)
	}
	return nil
}

// ApplyRuntimeLimits configures the Go runtime for the platform's CPU and memory limits, so that the process is neither
// killed for exceeding its memory nor throttled during a garbage collection.
func ApplyRuntimeLimits(l platform.Limits) {
	// The remaining quarter is for the program itself, and for garbage that the collector has not caught up with.
	const heapShare = 3.0 / 4
	runtime.GOMAXPROCS(processors(l))
	debug.SetMemoryLimit(int64(l.MemoryMB * bytesPerMegabyte * heapShare))
}

// processors returns how many processors the process uses under the platform's limits.
func processors(l platform.Limits) int { return max(int(math.Ceil(l.Cores)), 1) }

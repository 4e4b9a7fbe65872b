package drainable

import (
	"errors"
	"syscall"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay limit the wait after a failure of accept. It is short, as clients wait meanwhile.
	minRetryDelay = time.Millisecond
	maxRetryDelay = 20 * time.Millisecond

	// maxWrapWait is how long an accepted connection waits for a second descriptor.
	maxWrapWait = time.Second
)

// mayPass reports whether a failure of accept may pass: a lack of descriptors or memory, or an error of the connection or
// the network that accept reports in place of the connection. net/http would end the service after most of these.
func mayPass(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK: // of the listener itself
		return false
	}
	return true
}

// Package segmentserver is a stand-in for hosts that own segments of keys, and for the authority that hands segments
// over: logs that outlive hosts, hosts that speak the platform's frames with keys (docs/protocol-owners.md), and the
// ownership map over HTTP. Any step of a handover can be delayed, and hosts can be killed or disconnected from the
// authority or from the logs.
package segmentserver

import (
	"slices"
	"sync"

	"yokeroute/logic/ownership"
)

// Execution is one claim that ran.
type Execution struct {
	RequestID string // of the shard request
	Key       uint64
	Claimant  string
	Granted   bool // the key was free
	Host      string
}

// SegmentLogs are the logs of what ran in each segment. They outlive hosts. All hosts that are not disconnected from
// them can append.
type SegmentLogs struct {
	// WithoutFencing accepts records of any epoch, as if no log had a fence. It shows that the fence is needed.
	WithoutFencing bool

	mu         sync.Mutex
	logs       map[string]*ownership.SegmentLog
	claims     map[uint64]string // claimants by key
	executions []Execution
}

// claim is a request to append a claim.
type claim struct {
	Execution
	segment    string
	ownedSince uint64            // the epoch from which the host owns the segment
	seen       map[uint64]string // the claims that the host has seen, for logs without fencing
}

// append appends a claim to its segment's log, unless the log is fenced against the claim's epoch.
func (l *SegmentLogs) append(c claim) (granted, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	claims := l.claims
	if l.WithoutFencing { // each host knows only what it has seen itself
		claims = c.seen
	} else if log := l.logs[c.segment]; log == nil || !log.Append(c.ownedSince) {
		return false, false
	}
	_, claimed := claims[c.Key]
	if !claimed {
		claims[c.Key] = c.Claimant
		l.claims[c.Key] = c.Claimant
	}
	c.Granted = !claimed
	l.executions = append(l.executions, c.Execution)
	return c.Granted, true
}

// Executions returns all claims that ran, in their order.
func (l *SegmentLogs) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// reset empties the logs for the segments of a first map.
func (l *SegmentLogs) reset(first *ownership.Map) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logs = map[string]*ownership.SegmentLog{}
	l.claims = map[uint64]string{}
	for _, s := range first.Segments {
		l.logs[s.Name] = &ownership.SegmentLog{Epoch: s.OwnedSince}
	}
}

// raiseEpochs fences the logs of a change's segments against older epochs, and seals those that it removes.
func (l *SegmentLogs) raiseEpochs(c ownership.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range c.Removed {
		if log := l.logs[name]; log != nil {
			log.RaiseEpoch(c.Epoch)
			log.Sealed = true
		}
	}
	for _, s := range c.Added {
		log := l.logs[s.Name]
		if log == nil {
			log = &ownership.SegmentLog{}
			l.logs[s.Name] = log
		}
		log.RaiseEpoch(c.Epoch)
		log.Sealed = false
	}
}

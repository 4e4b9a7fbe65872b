package policyfleet

import (
	"encoding/json"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

const (
	// One poll in so many is encoded for its length, which counts for all of them.
	pollsPerSample = 16
	// httpOverhead is the size of the headers of a request and its response, and of a short response, in bytes.
	httpOverhead = 220
)

// traffic counts messages.
type traffic struct {
	polls int
	bytes float64
}

// phase tells the times with a change that is pending or being applied from those without.
type phase struct {
	change      uint64 // its number, 0 without one
	proposedAt  float64
	committedAt float64 // 0 while the change is pending
	startedAt   float64
	changeTime  float64 // total time with a change
	idle        traffic
	changing    traffic
}

// begin begins the time with a change.
func (p *phase) begin(now float64, change uint64) {
	p.end(now)
	p.change = change
	p.proposedAt = now
	p.committedAt = 0
}

// end ends the time with a change or without.
func (p *phase) end(now float64) {
	if p.change > 0 {
		p.changeTime += now - p.startedAt
	}
	p.startedAt = now
	p.change = 0
}

// count counts a poll.
func (p *phase) count(h policy.Heartbeat) {
	t := &p.idle
	if p.change > 0 {
		t = &p.changing
	}
	t.polls++
	if t.polls%pollsPerSample != 1 {
		return
	}
	request := policyapi.PollRequest{Format: policyapi.Format, Heartbeat: h, WaitMillis: pollWait}
	text, err := json.Marshal(request)
	if err != nil {
		panic(err) // a heartbeat holds nothing that JSON cannot
	}
	t.bytes += pollsPerSample * float64(len(text)+httpOverhead)
}

// Package discovery follows the list of shard servers.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"

	"yokeroute/gather"
)

// member is one entry as discovery words it.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     *int    `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// Response is what discovery tells at once: the whole list, or what changed.
type Response struct {
	Revision int64
	Full     bool
	members  []member
}

// MarkDraining marks servers as draining that the list, which may be old, does not know to drain: by name, with since when
// the process that drains has been up. A later process of that name is another one. It gives how many it marked.
func (r *Response) MarkDraining(draining map[string]float64) (marked int) {
	for i := range r.members {
		m := &r.members[i]
		if up, told := draining[m.ID]; told && m.UpSince <= up && stateOfPhase[m.Phase] == gather.Running {
			m.Phase = "terminating"
			marked++
		}
	}
	return marked
}

var stateOfPhase = map[string]gather.State{
	"in_service": gather.Running, "terminating": gather.Draining, "terminated": gather.Removed,
}

// ParseResponse reads a reply and checks it, so that a bad one is dropped whole.
func ParseResponse(text []byte) (*Response, error) {
	var wire struct {
		Revision *int64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	}
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, err
	}
	if wire.Revision == nil {
		return nil, errors.New("no revision")
	}
	if len(wire.Members) > maxMembers {
		return nil, fmt.Errorf("%w: members: %d entries, at most %d can be", errTooLarge, len(wire.Members), maxMembers)
	}
	for i, m := range wire.Members {
		state, known := stateOfPhase[m.Phase]
		switch {
		case m.ID == "":
			return nil, fmt.Errorf("members[%d]: no id", i)
		case !known:
			return nil, fmt.Errorf("members[%d]: phase %q", i, m.Phase)
		case state == gather.Removed:
			continue // needs no more than its name
		case m.Cell == nil:
			return nil, fmt.Errorf("members[%d]: no cell", i)
		}
		if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
			return nil, fmt.Errorf("members[%d]: host_port: %w", i, err)
		}
	}
	return &Response{Revision: *wire.Revision, Full: wire.Complete, members: wire.Members}, nil
}

// ServerID is the id that the module knows a server by. Gatherers take turns by it, so that it has to come out
// alike at all of them and after each start: a name that ends in eight hex digits carries its number, others
// are hashed.
func ServerID(name string) uint32 {
	if at := strings.LastIndexByte(name, '-'); at >= 0 && len(name)-at == 9 {
		if n, err := strconv.ParseUint(name[at+1:], 16, 32); err == nil {
			return uint32(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

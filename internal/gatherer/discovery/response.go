// Package discovery watches the list of shard servers. A discovery agent serves it over HTTP: the full list on
// request, and the changes since a revision by long polling.
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

// maxMembers limits the number of members in a response, so that a peer that is not a discovery agent cannot make a
// gatherer read without end. It is more than three times the largest planned fleet of 28,000 servers.
const maxMembers = 100_000

var errTooManyMembers = errors.New("too many members")

// member is the entry of one server in a discovery document.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     *int    `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"` // Unix milliseconds

	// markedDraining is set by MarkDraining on a member that the document lists as running.
	markedDraining bool
}

const phaseDraining = "terminating"

var stateOfPhase = map[string]gather.State{
	"in_service":  gather.Running,
	phaseDraining: gather.Draining,
	"terminated":  gather.Removed,
}

// endpoint returns the member as an endpoint for the decision module.
func (m *member) endpoint(id uint32, startedAt float64, state gather.State) gather.Endpoint {
	e := gather.Endpoint{
		ID:        id,
		Zone:      m.Locality,
		Kind:      m.Flavor,
		Size:      m.Size,
		State:     state,
		StartedAt: startedAt,
	}
	if m.Cell != nil {
		e.ReplicaSet = *m.Cell
	}
	return e
}

// Response is a parsed response of a discovery agent: the full list, or the changes since a revision.
type Response struct {
	Revision int64
	Full     bool
	members  []member
}

// MarkDraining marks servers as draining that the response, which may be old, lists as running. The map holds, by
// server name, when the process that is draining was started, in Unix milliseconds, or 0 for long ago. A process of the
// same name is not marked if it certainly started later: a start that is listed may have been stored as long ago.
// MarkDraining returns the number of servers that it marked.
func (r *Response) MarkDraining(draining map[string]float64) (marked int) {
	for i := range r.members {
		m := &r.members[i]
		upSince, stored := draining[m.ID]
		laterProcess := upSince != 0 && m.UpSince > upSince
		if stored && !laterProcess && stateOfPhase[m.Phase] == gather.Running {
			m.Phase = phaseDraining
			m.markedDraining = true
			marked++
		}
	}
	return marked
}

// ParseResponse parses a discovery document. If any member is invalid, it rejects the whole document with an error
// that gives the index of the member.
func ParseResponse(text []byte) (*Response, error) {
	var document struct {
		Revision *int64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	if document.Revision == nil {
		return nil, errors.New("document has no revision")
	}
	if n := len(document.Members); n > maxMembers {
		return nil, fmt.Errorf("%w: got %d, the limit is %d", errTooManyMembers, n, maxMembers)
	}
	for i := range document.Members {
		if err := document.Members[i].validate(); err != nil {
			return nil, fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	return &Response{Revision: *document.Revision, Full: document.Complete, members: document.Members}, nil
}

func (m *member) validate() error {
	state, known := stateOfPhase[m.Phase]
	switch {
	case m.ID == "":
		return errors.New("no id")
	case !known:
		return fmt.Errorf("phase %q is unknown, want in_service, terminating or terminated", m.Phase)
	case state == gather.Removed:
		return nil // a removed server needs no fields other than its name
	case m.Cell == nil:
		return errors.New("no cell")
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("host_port: %w", err)
	}
	return nil
}

// hexDigitsOfID is the number of hex digits after the last dash of a server name that form its ID.
const hexDigitsOfID = 8

// ServerID returns the ID of a server in the decision module. Round robin orders servers by ID, so that the ID must be
// the same at all gatherers and after each restart. If the name ends in a dash and eight hex digits, these are the ID;
// otherwise the ID is a hash of the name.
func ServerID(name string) uint32 {
	dash := strings.LastIndexByte(name, '-')
	if dash >= 0 && len(name)-dash-1 == hexDigitsOfID {
		if n, err := strconv.ParseUint(name[dash+1:], 16, 32); err == nil {
			return uint32(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

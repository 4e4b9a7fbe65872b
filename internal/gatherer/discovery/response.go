// Package discovery watches the list of shard servers. A discovery agent serves it over HTTP: the full list, and by
// long polls what has changed since a revision.
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

// maxMembers bounds a response, against reading without end from what is no discovery: more than three times the
// largest fleet that is planned for, 28,000.
const maxMembers = 100_000

var errTooManyMembers = errors.New("too many members")

// member is one server in a discovery document.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     *int    `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"` // Unix milliseconds

	markedDraining bool // by MarkDraining, where the document says running
}

const phaseDraining = "terminating"

var stateOfPhase = map[string]gather.State{
	"in_service":  gather.Running,
	phaseDraining: gather.Draining,
	"terminated":  gather.Removed,
}

// endpoint is the member as the decisions know it.
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

// Response is what discovery answers to one request: the full list, or what has changed.
type Response struct {
	Revision int64
	Full     bool
	members  []member
}

// MarkDraining marks servers as draining that a list, which may be old, shows as running. The map gives for each of
// their names since when the draining process is up, in Unix milliseconds; a later process of that name is another
// one. The result is how many were marked.
func (r *Response) MarkDraining(draining map[string]float64) (marked int) {
	for i := range r.members {
		m := &r.members[i]
		upSince, listed := draining[m.ID]
		if listed && m.UpSince <= upSince && stateOfPhase[m.Phase] == gather.Running {
			m.Phase = phaseDraining
			m.markedDraining = true
			marked++
		}
	}
	return marked
}

// ParseResponse reads a discovery document. One with an invalid member is refused altogether, and the error names the
// member.
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
		return nil, errors.New("no revision")
	}
	if n := len(document.Members); n > maxMembers {
		return nil, fmt.Errorf("%w: %d, at most %d are allowed", errTooManyMembers, n, maxMembers)
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
		return fmt.Errorf("phase %q", m.Phase)
	case state == gather.Removed:
		return nil // needs no more than its name
	case m.Cell == nil:
		return errors.New("no cell")
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("host_port: %w", err)
	}
	return nil
}

// hexDigitsOfID is how many digits behind the last dash of a server's name are its number.
const hexDigitsOfID = 8

// ServerID is the number by which the decisions know a server. Round robin goes by it, so that it has to be the same
// at all gatherers and after each start: a name that ends in a dash and eight hex digits has these, others are
// hashed.
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

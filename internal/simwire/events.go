package simwire

import (
	"encoding/json"
	"errors"
	"fmt"

	"yokeroute/gather"
)

// notReported marks a value that a load report lacks.
const notReported = -1

// addToRound translates an instance's event and adds it to the instance's round.
func (s *session) addToRound(r *gather.Round, m *message) error {
	switch m.Command {
	case cmdHello, cmdTimer, cmdStreamStarted, cmdPeer:
		return nil // these events only make the instance run a round
	case cmdHealthCheckDone:
		return addHealthCheck(r, m)
	case cmdEndpointChange:
		return s.addEndpointList(r, m)
	case cmdQuery:
		return addQueryOrRequest(r, m)
	case cmdResult:
		return addResult(r, m)
	case cmdAbandoned:
		return addAbandoned(r, m)
	}
	return errors.New("unknown message")
}

func addHealthCheck(r *gather.Round, m *message) error {
	if m.Server == nil {
		return errors.New("field server is missing")
	}
	result := gather.HealthCheckResult{
		Server:      *m.Server,
		Elapsed:     milliseconds(m.Elapsed),
		Succeeded:   m.Verdict == verdictSucceeded,
		QueueLength: notReported,
		Latency:     notReported,
	}
	if m.Report.QueueLength != nil {
		result.QueueLength = *m.Report.QueueLength
	}
	if m.Report.LatencyMS != nil {
		result.Latency = *m.Report.LatencyMS
	}
	r.HealthChecks = append(r.HealthChecks, result)
	return nil
}

func (s *session) addEndpointList(r *gather.Round, m *message) error {
	list := gather.EndpointList{}
	switch m.Form {
	case formDelta:
	case formFull, formCached:
		list.Full = true
	case formFailed:
		list.Failed = true
	default:
		return fmt.Errorf("unknown form %q, want D, F, C or X", m.Form)
	}
	if !list.Failed {
		if m.ListNumber == nil {
			return errors.New("field sheet is missing")
		}
		endpoints, known := s.endpointLists[*m.ListNumber]
		if !known {
			return fmt.Errorf("sheet %d is not defined by a DefineList", *m.ListNumber)
		}
		list.Endpoints = endpoints
	}
	r.EndpointLists = append(r.EndpointLists, list)
	return nil
}

func endpoints(members []member) ([]gather.Endpoint, error) {
	list := make([]gather.Endpoint, 0, len(members))
	for _, e := range members {
		state, known := states[e.Condition]
		if !known || e.Server == nil {
			return nil, fmt.Errorf("member has no server, or condition %q is not Running, Stopping or Deleted", e.Condition)
		}
		list = append(list, gather.Endpoint{
			ID:         *e.Server,
			ReplicaSet: e.ReplicaSet,
			Zone:       e.Zone,
			Kind:       e.Kind,
			Size:       e.Size,
			State:      state,
			StartedAt:  milliseconds(e.StartedAt),
		})
	}
	return list, nil
}

func addQueryOrRequest(r *gather.Round, m *message) error {
	if m.ID == nil || m.Number == nil || m.Shard == nil {
		return errors.New("field ref, query or shard is missing")
	}
	if *m.Shard >= 0 {
		r.Requests = append(r.Requests, gather.ShardRequest{
			ID:     *m.ID,
			Number: *m.Number,
			Shard:  *m.Shard,
			Weight: m.Weight,
			Cost:   milliseconds(m.Cost),
			Key:    m.Key,
		})
		return nil
	}
	tenant, err := tenantName(m.Tenant)
	if err != nil {
		return err
	}
	r.Queries = append(r.Queries, gather.Query{
		ID:       *m.ID,
		Number:   *m.Number,
		Class:    m.Class,
		Tenant:   tenant,
		Cost:     milliseconds(m.Cost),
		Key:      m.Key,
		Deadline: milliseconds(m.Deadline),
		Retry:    m.Retry,
		Write:    m.Write,
	})
	return nil
}

// tenantName returns the tenant's name, or "" if value is not a string: simulations without tenants send 0.
func tenantName(value json.RawMessage) (name string, err error) {
	if len(value) > 0 && value[0] == '"' {
		err = json.Unmarshal(value, &name)
	}
	return name, err
}

func addResult(r *gather.Round, m *message) error {
	outcome, known := outcomes[m.Verdict]
	if m.ID == nil || m.Server == nil || !known {
		return fmt.Errorf("field ref or server is missing, or unknown verdict %q", m.Verdict)
	}
	r.Results = append(r.Results, gather.AttemptResult{
		Request:           *m.ID,
		Server:            *m.Server,
		Attempt:           m.Attempt,
		Elapsed:           milliseconds(m.Elapsed),
		Outcome:           outcome,
		NoFurtherAttempts: m.Closed,
	})
	return nil
}

func addAbandoned(r *gather.Round, m *message) error {
	if m.ID == nil {
		return errors.New("field ref is missing")
	}
	r.Abandoned = append(r.Abandoned, *m.ID)
	return nil
}

// Package simwire connects the decision module to the simulator. The protocol is JSON lines on standard input and
// output: batches of events for many instances that share no state, and a reply to each batch. The package translates
// messages and checks the framing; all decisions are the module's.
//
// The protocol's names appear in this package only: field names in the struct tags of message, and values in the tables
// and constants next to it.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"yokeroute/gather"
	"yokeroute/internal/config/settings"
	"yokeroute/logic"
)

const (
	inputBufferBytes  = 1 << 20 // a batch may have several megabytes
	outputBufferBytes = 1 << 16
)

// instance is one simulated gatherer, with its events of the open batch.
type instance struct {
	module    gather.Module
	writer    roundWriter
	round     gather.Round
	hasEvents bool
}

// session holds the state of a connection: the instances, the endpoint lists by number, and the open batch.
type session struct {
	out           *bufio.Writer
	instances     map[int64]*instance
	order         []int64 // instances with events, in the order of their first event in the batch
	endpointLists map[int][]gather.Endpoint

	batchOpen bool
	batch     int64
	now       float64 // time of the batch, in milliseconds
}

// Serve replies to batches until the input ends. It returns an error, with the line number, for invalid input.
func Serve(in io.Reader, out io.Writer) error {
	s := &session{
		out:           bufio.NewWriterSize(out, outputBufferBytes),
		instances:     map[int64]*instance{},
		endpointLists: map[int][]gather.Endpoint{},
	}
	lines := bufio.NewReaderSize(in, inputBufferBytes)
	for number := 1; ; number++ {
		line, readErr := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			if s.batchOpen {
				return fmt.Errorf("line %d: input ends inside batch %d", number, s.batch)
			}
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
	}
}

func (s *session) handleLine(line []byte) error {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return fmt.Errorf("malformed message: %w", err)
	}
	switch {
	case m.Command == "":
		return errors.New("message has no cmd")
	case m.Command == cmdBeginBatch:
		return s.beginBatch(&m)
	case !s.batchOpen:
		return fmt.Errorf("%s outside a batch", m.Command)
	case m.Command == cmdEndBatch:
		return s.reply()
	case m.Command == cmdDefineList:
		return s.defineList(&m)
	}
	if err := s.handleEvent(&m); err != nil {
		return fmt.Errorf("%s: %w", m.Command, err)
	}
	return nil
}

func (s *session) beginBatch(m *message) error {
	if s.batchOpen || m.Now == nil || m.Batch == nil {
		return errors.New("BeginBatch inside an open batch, or without the fields now and batch")
	}
	s.batchOpen = true
	s.now = milliseconds(*m.Now)
	s.batch = *m.Batch
	return nil
}

// defineList stores an endpoint list under its number, replacing an earlier one. Later events refer to the newest list
// of a number.
func (s *session) defineList(m *message) error {
	if m.ListNumber == nil {
		return errors.New("DefineList: field sheet is missing")
	}
	list, err := endpoints(m.Members)
	if err != nil {
		return fmt.Errorf("DefineList: %w", err)
	}
	s.endpointLists[*m.ListNumber] = list
	return nil
}

// handleEvent adds an event to its instance's round.
func (s *session) handleEvent(m *message) error {
	if m.Instance == nil {
		return errors.New("field gathererId is missing")
	}
	id := *m.Instance
	switch m.Command {
	case cmdHello:
		if err := s.start(id, m); err != nil {
			return err
		}
	case cmdKill:
		delete(s.instances, id)
		return nil
	}
	in := s.instances[id]
	if in == nil {
		return fmt.Errorf("instance %d is not running", id)
	}
	if !in.hasEvents {
		in.hasEvents = true
		s.order = append(s.order, id)
	}
	return s.addToRound(&in.round, m)
}

func (s *session) start(id int64, m *message) error {
	config, err := settings.Read(m.Settings)
	if err != nil {
		return err
	}
	s.instances[id] = &instance{
		module: logic.New(m.Seed, config),
		writer: roundWriter{out: s.out, instance: id},
	}
	return nil
}

// reply runs a round of each instance that has events, ends the reply and closes the batch.
func (s *session) reply() error {
	for _, id := range s.order {
		in := s.instances[id]
		if in == nil || !in.hasEvents {
			continue // killed after its events, or listed twice because it was restarted
		}
		in.hasEvents = false
		in.round.Now = s.now
		runRound(in)
		clearRound(&in.round)
	}
	s.order = s.order[:0]
	s.batchOpen = false
	writeBatchEnd(s.out, s.batch)
	return s.out.Flush()
}

// runRound runs the module once. It reports a panic of the module to the simulator by a message, because a process that
// crashed could not report the cause.
func runRound(in *instance) {
	defer func() {
		if cause := recover(); cause != nil {
			in.writer.panicked(cause)
		}
	}()
	in.module.Round(&in.round, &in.writer)
}

// clearRound empties a round and keeps the capacity of its slices for the next one.
func clearRound(r *gather.Round) {
	*r = gather.Round{
		EndpointLists: r.EndpointLists[:0],
		Queries:       r.Queries[:0],
		Requests:      r.Requests[:0],
		Results:       r.Results[:0],
		HealthChecks:  r.HealthChecks[:0],
		Abandoned:     r.Abandoned[:0],
	}
}

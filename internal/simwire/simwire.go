// Package simwire connects the decision module to the simulator: JSON lines on standard input and output,
// batches of events for many instances that share nothing. It translates messages and keeps the framing; it
// decides nothing.
//
// The wire's names stand in this package only: the fields' names in the struct tags of message, the values'
// names in the tables beside it.
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
	inputBufferBytes  = 1 << 20 // batches run to megabytes
	outputBufferBytes = 1 << 16
)

// instance is one gatherer with the events of the batch.
type instance struct {
	module    gather.Module
	writer    roundWriter
	round     gather.Round
	hasEvents bool
}

// host holds the state of the connection: the instances, the endpoint lists by number, and the open batch.
type host struct {
	out           *bufio.Writer
	instances     map[int64]*instance
	order         []int64 // of instances with events, by their first event in the batch
	endpointLists map[int][]gather.Endpoint

	batchOpen bool
	batch     int64
	now       float64 // of the batch, in milliseconds
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{
		out:           bufio.NewWriterSize(out, outputBufferBytes),
		instances:     map[int64]*instance{},
		endpointLists: map[int][]gather.Endpoint{},
	}
	lines := bufio.NewReaderSize(in, inputBufferBytes)
	for number := 1; ; number++ {
		line, readErr := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			if h.batchOpen {
				return fmt.Errorf("line %d: input ends inside batch %d", number, h.batch)
			}
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
	}
}

func (h *host) handleLine(line []byte) error {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return fmt.Errorf("malformed message: %w", err)
	}
	switch {
	case m.Command == "":
		return errors.New("message without cmd")
	case m.Command == cmdBeginBatch:
		return h.beginBatch(&m)
	case !h.batchOpen:
		return fmt.Errorf("%s outside a batch", m.Command)
	case m.Command == cmdEndBatch:
		return h.reply()
	case m.Command == cmdDefineList:
		return h.defineList(&m)
	}
	if err := h.handleEvent(&m); err != nil {
		return fmt.Errorf("%s: %w", m.Command, err)
	}
	return nil
}

func (h *host) beginBatch(m *message) error {
	if h.batchOpen || m.Now == nil || m.Batch == nil {
		return errors.New("BeginBatch inside a batch, or without now or batch")
	}
	h.batchOpen = true
	h.now = milliseconds(*m.Now)
	h.batch = *m.Batch
	return nil
}

// defineList keeps an endpoint list under its number. Events after it mean the newest list of a number.
func (h *host) defineList(m *message) error {
	if m.ListNumber == nil {
		return errors.New("DefineList: no sheet")
	}
	list, err := endpoints(m.Members)
	if err != nil {
		return fmt.Errorf("DefineList: %w", err)
	}
	h.endpointLists[*m.ListNumber] = list
	return nil
}

// handleEvent adds an event to its instance's round.
func (h *host) handleEvent(m *message) error {
	if m.Instance == nil {
		return errors.New("no gathererId")
	}
	id := *m.Instance
	switch m.Command {
	case cmdHello:
		if err := h.start(id, m); err != nil {
			return err
		}
	case cmdKill:
		delete(h.instances, id)
		return nil
	}
	in := h.instances[id]
	if in == nil {
		return fmt.Errorf("instance %d is not running", id)
	}
	if !in.hasEvents {
		in.hasEvents = true
		h.order = append(h.order, id)
	}
	return h.addToRound(&in.round, m)
}

func (h *host) start(id int64, m *message) error {
	config, err := settings.Read(m.Settings)
	if err != nil {
		return err
	}
	h.instances[id] = &instance{
		module: logic.New(m.Seed, config),
		writer: roundWriter{out: h.out, instance: id},
	}
	return nil
}

// reply runs a round of each instance that has events, and closes the batch.
func (h *host) reply() error {
	for _, id := range h.order {
		in := h.instances[id]
		if in == nil || !in.hasEvents {
			continue // killed after its events, or listed twice since it was started again
		}
		in.hasEvents = false
		in.round.Now = h.now
		runRound(in)
		clearRound(&in.round)
	}
	h.order = h.order[:0]
	h.batchOpen = false
	writeBatchEnd(h.out, h.batch)
	return h.out.Flush()
}

// runRound reports a panic of the module as the wire's own message: a process that has crashed cannot say
// why.
func runRound(in *instance) {
	defer func() {
		if cause := recover(); cause != nil {
			in.writer.panicked(cause)
		}
	}()
	in.module.Round(&in.round, &in.writer)
}

// clearRound empties a round and keeps its slices' memory.
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

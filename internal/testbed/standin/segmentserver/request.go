package segmentserver

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/testbed/standin/shardserver"
	"yokeroute/logic/ownership"
)

// The types of the platform's frames that hosts know.
const (
	frameOwnedCall = 'O'
	frameCancel    = 'X'
	framePing      = 'P'
	frameLoad      = 'L'
	frameAnswer    = 'A'
	frameError     = 'E'
)

// The ends of shard requests on the wire.
const (
	endOK       = "ok"
	endRejected = "busy"
	endFailed   = "err"
	endNotOwner = "moved"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 32 << 10

// shardRequest is one shard request of a call.
type shardRequest struct {
	shardserver.ShardRequest
	ownership.Request
}

// parseShardRequests parses the body of a call whose lines have a segment and keys.
func parseShardRequests(body string) (requests []shardRequest, err error) {
	err = shardserver.VisitShardRequests(body, func(fields [4]string, payload string) error {
		r := shardRequest{ShardRequest: shardserver.ShardRequest{ID: fields[0], Payload: payload}}
		if r.Request, err = parseAttributes(fields[2]); err != nil {
			return err
		}
		requests = append(requests, r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return requests, nil
}

// parseAttributes parses the third field of a shard request's line.
func parseAttributes(text string) (r ownership.Request, err error) {
	for _, attribute := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(attribute, "=")
		switch key {
		case "s":
			r.Segment = value
		case "e":
			r.OwnedSince, err = strconv.ParseUint(value, 10, 64)
		case "k":
			r.Range, err = ownership.ParseRange(value)
		case "once":
			r.NonIdempotent = true
		}
		if err != nil {
			return r, fmt.Errorf("a part's list %.80q: %w", text, err)
		}
	}
	if r.Segment == "" {
		return r, fmt.Errorf("a part's list %.80q names no segment", text)
	}
	return r, nil
}

// serve handles the frames of a connection until it ends.
func (h *Host) serve(c net.Conn) {
	var requests sync.WaitGroup
	defer requests.Wait()
	defer func() {
		h.update(func() { delete(h.conns, c) })
		c.Close()
	}()
	var writeMu sync.Mutex
	send := func(frameType byte, body string) {
		writeMu.Lock()
		defer writeMu.Unlock()
		shardserver.WriteFrame(c, frameType, body)
	}
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		frameType, body, err := shardserver.ReadFrame(r)
		if err != nil {
			return
		}
		switch frameType {
		case frameOwnedCall:
			parsed, err := parseShardRequests(body)
			if err != nil {
				send(frameError, err.Error())
				return
			}
			for _, request := range parsed {
				requests.Go(func() { h.handle(request, send) })
			}
		case frameCancel:
		case framePing:
			send(framePing, "ok")
		case frameLoad:
			send(frameLoad, "-")
		default:
			send(frameError, fmt.Sprintf("a frame with the letter %q", frameType))
			return
		}
	}
}

// handle admits, executes and answers a shard request.
func (h *Host) handle(r shardRequest, send func(frameType byte, body string)) {
	end, value := h.admit(r), ""
	if end == endOK {
		time.Sleep(h.WorkTime) // a handover can come between admission and effect
		end, value = h.execute(r)
	}
	if !h.dropAnswer() {
		send(frameAnswer, r.ID+" "+end+" 1 -\n"+value)
	}
}

// admit returns the end of a shard request that is refused, or ok.
func (h *Host) admit(r shardRequest) (end string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer := h.owned.Admit(r.Request)
	switch {
	case answer == ownership.NotOwner:
		h.notOwnerCount++
		return endNotOwner
	case h.draining:
		return endRejected
	}
	return endOK
}

// dropAnswer reports whether the next answer is to be dropped.
func (h *Host) dropAnswer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answersToDrop <= 0 {
		return false
	}
	h.answersToDrop--
	return true
}

// execute executes a shard request. The payload of a claim is `claim KEY CLAIMANT`, with a key among the request's. Any
// other payload is a read, which says which keys were read where.
func (h *Host) execute(r shardRequest) (end, value string) {
	words := strings.Fields(r.Payload)
	if len(words) != 3 || words[0] != "claim" {
		keys := r.Range
		return endOK, fmt.Sprintf("%s %s@%d on %s", keys.Text(), r.Segment, r.OwnedSince, h.Name)
	}
	key, err := strconv.ParseUint(words[1], 16, 64)
	if err != nil {
		return endFailed, ""
	}
	if key < r.Lo || key > r.Hi {
		return endOK, "not here"
	}
	h.mu.Lock()
	disconnected := h.logsDisconnected
	h.mu.Unlock()
	if disconnected {
		return endRejected, "" // nothing was appended, so nothing has run
	}
	granted, accepted := h.logs.append(claim{
		Execution:  Execution{RequestID: r.ID, Key: key, Claimant: words[2], Host: h.Name},
		segment:    r.Segment,
		ownedSince: r.OwnedSince,
		seen:       h.seenClaims,
	})
	switch {
	case !accepted:
		return endNotOwner, ""
	case granted:
		return endOK, "given"
	}
	return endOK, "held"
}

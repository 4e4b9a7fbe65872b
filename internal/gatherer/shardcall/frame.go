package shardcall

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"unicode"
	"unicode/utf8"
)

// Frame types. A frame consists of its length in four bytes, little-endian, a letter for its type, and a body. The
// length counts the letter and the body.
const (
	frameRequests  = 'Q'
	frameFirstPass = 'S'
	frameOwned     = 'O' // requests with their keys, the segment and its epoch
	frameCancel    = 'X'
	frameHandshake = 'H'
	// frameLoad is a health check, and also the load report that answers it.
	frameLoad   = 'L'
	frameAnswer = 'A'
	frameError  = 'E' // the server rejected a frame
	framePong   = 'P'
)

// Statuses in answer frames.
const (
	statusOK     = "ok"
	statusBusy   = "busy"
	statusFailed = "err"
	statusMoved  = "moved"
)

// noScore stands for a missing score in an answer.
const noScore = "-"

const (
	lengthBytes = 4
	// maxFrameBytes limits the length of a received frame. A value must fit into a response to a client, which holds
	// 64 KiB.
	maxFrameBytes = 64<<10 + 1<<10
	// maxSpareBuffer limits the capacity, in bytes, of the buffers that connections keep for reuse, so that none keeps
	// a buffer of the size of its largest frame.
	maxSpareBuffer = 4 << 10
)

// reusable returns buf if it is small enough to be kept for reuse, otherwise nil.
func reusable(buf []byte) []byte {
	if cap(buf) > maxSpareBuffer {
		return nil
	}
	return buf
}

// errTruncated reports a frame whose body did not arrive completely.
var errTruncated = errors.New("frame truncated")

// answer is the content of an answer frame.
type answer struct {
	id, status string
	value      []byte
}

// beginFrame appends the header of a frame with the length left open. finishFrame sets the length.
func beginFrame(buf []byte, letter byte) []byte { return append(buf, 0, 0, 0, 0, letter) }

func finishFrame(buf []byte, start int) []byte {
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

// requestFrame is a frame with the requests of attempts. Large payloads are written from where they are, since copies of
// them for every shard request would take many times the memory of their query.
type requestFrame struct {
	buf   []byte // the header, the lines of the requests, and small payloads
	cuts  []int  // positions in buf at which a large payload is inserted
	large [][]byte
}

// appendRequestFrame returns one frame with the requests of the attempts, which are either all of a first pass or none.
// It appends to buf. Each request states the time that it has left now, since it may have waited for its connection or
// behind other frames.
func appendRequestFrame(buf []byte, attempts []*attempt) requestFrame {
	start := len(buf)
	letter := byte(frameRequests)
	if attempts[0].decision.FirstPass() {
		letter = frameFirstPass
	}
	_, _, _, owned := attempts[0].decision.Ownership()
	if owned {
		letter = frameOwned
	}
	frame := requestFrame{buf: beginFrame(buf, letter)}
	inserted := 0
	for _, a := range attempts {
		payload := a.decision.Payload()
		frame.buf = appendRequestLine(frame.buf, a, owned, len(payload))
		if len(payload) <= maxSpareBuffer {
			frame.buf = append(frame.buf, payload...)
			continue
		}
		frame.cuts = append(frame.cuts, len(frame.buf))
		frame.large = append(frame.large, payload)
		inserted += len(payload)
	}
	binary.LittleEndian.PutUint32(frame.buf[start:], uint32(len(frame.buf)-start-lengthBytes+inserted))
	return frame
}

func appendRequestLine(buf []byte, a *attempt, owned bool, payloadBytes int) []byte {
	buf = append(buf, a.id...)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(a.decision.Shard()), 10)
	buf = append(buf, " d="...)
	buf = strconv.AppendInt(buf, int64(a.decision.Remaining()), 10)
	if owned {
		buf = appendOwnership(buf, a)
	}
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(payloadBytes), 10)
	return append(buf, '\n')
}

// writeTo writes the frame and returns how many bytes were written, and whether that is all of it.
func (f *requestFrame) writeTo(w io.Writer) (written int64, complete bool, err error) {
	if len(f.large) == 0 {
		n, err := w.Write(f.buf)
		return int64(n), n == len(f.buf), err
	}
	size := int64(len(f.buf))
	pieces := make(net.Buffers, 0, 2*len(f.large)+1)
	from := 0
	for i, cut := range f.cuts {
		pieces = append(pieces, f.buf[from:cut], f.large[i])
		size += int64(len(f.large[i]))
		from = cut
	}
	if from < len(f.buf) {
		pieces = append(pieces, f.buf[from:])
	}
	written, err = pieces.WriteTo(w)
	return written, written == size, err
}

// appendOwnership appends the requested keys, their segment and its epoch in the format of docs/protocol-owners.md.
func appendOwnership(buf []byte, a *attempt) []byte {
	keys, segment, ownedSince, _ := a.decision.Ownership()
	buf = append(buf, ",s="...)
	buf = append(buf, segment...)
	buf = append(buf, ",e="...)
	buf = strconv.AppendUint(buf, ownedSince, 10)
	buf = append(buf, ",k="...)
	buf = append(buf, keys.Text()...)
	if a.decision.NonIdempotent() {
		buf = append(buf, ",once"...)
	}
	return buf
}

// appendCancelFrame appends a frame that cancels an attempt.
func appendCancelFrame(buf []byte, id string) []byte {
	start := len(buf)
	buf = beginFrame(buf, frameCancel)
	buf = append(buf, id...)
	return finishFrame(buf, start)
}

// readFrame reads one frame. The body is a part of the returned buffer, which the next call may reuse.
func readFrame(r *bufio.Reader, buf []byte) (letter byte, body, reused []byte, err error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, buf, err
	}
	length := int(binary.LittleEndian.Uint32(header[:]))
	if length < 1 || length > maxFrameBytes {
		return 0, nil, buf, fmt.Errorf("frame has %d bytes, want 1 to %d", length, maxFrameBytes)
	}
	buf = reusable(buf)
	if cap(buf) < length {
		buf = make([]byte, length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf); err != nil {
		return 0, nil, buf, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return buf[0], buf[1:], buf, nil
}

// parseAnswer parses the body of an answer frame. It validates everything that a decision depends on, and ignores a
// load report that it cannot parse. The value is a copy, since the buffer of the frame is reused. Clients receive the
// value as text, so a value that is not text is rejected. This also catches a wrong length, after which the value would
// contain the start of the next frame.
func parseAnswer(body []byte) (answer, error) {
	line, value, found := bytes.Cut(body, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	if !found || len(fields) < 3 || len(fields[0]) == 0 {
		return answer{}, errors.New("answer frame must begin with a line of ID, status and score")
	}
	ans := answer{id: string(fields[0]), status: string(fields[1])}
	if score := string(fields[2]); score != noScore {
		if _, err := strconv.ParseFloat(score, 64); err != nil {
			return answer{}, fmt.Errorf("answer has the score %.50q, want a number or \"-\"", score)
		}
	}
	switch ans.status {
	case statusOK:
		if !utf8.Valid(value) || bytes.ContainsFunc(value, unicode.IsControl) {
			return answer{}, errors.New("answer value must be UTF-8 text without control characters")
		}
		ans.value = bytes.Clone(value)
	case statusBusy, statusFailed, statusMoved:
	default:
		return answer{}, fmt.Errorf("answer has the unknown status %.50q, want ok, busy, err or moved", ans.status)
	}
	return ans, nil
}

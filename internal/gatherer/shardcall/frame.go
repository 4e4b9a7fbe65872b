package shardcall

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode"
	"unicode/utf8"
)

// A frame is a length of four bytes, least significant first, a letter for its kind and the rest.
const (
	frameRequests  = 'Q'
	frameFirstPass = 'S'
	frameOwned     = 'O' // requests with the owners of their keys
	frameCancel    = 'X'
	frameHandshake = 'H'
	frameLoad      = 'L' // a health check, and the load report that answers it
	frameAnswer    = 'A'
	frameError     = 'E' // the server could not use a frame
	framePong      = 'P'
)

// Statuses of answers.
const (
	statusOK     = "ok"
	statusBusy   = "busy"
	statusFailed = "err"
	statusMoved  = "moved"
)

// noScore stands in place of an answer's score.
const noScore = "-"

const (
	lengthBytes = 4
	// maxFrameBytes bounds what is read: a value has to fit into an answer to a client, which holds 64 KiB.
	maxFrameBytes = 64<<10 + 1<<10
	// maxSpareBuffer bounds the buffers that connections keep, against each keeping its largest frame's.
	maxSpareBuffer = 4 << 10
)

// reusable returns a buffer that may be kept, nil for one that is too large.
func reusable(buf []byte) []byte {
	if cap(buf) > maxSpareBuffer {
		return nil
	}
	return buf
}

// errTruncated is a frame whose rest did not arrive.
var errTruncated = errors.New("frame truncated")

// answer is the content of an answer frame.
type answer struct {
	id, status string
	value      []byte
}

// beginFrame opens a frame. finishFrame fills in its length.
func beginFrame(buf []byte, letter byte) []byte { return append(buf, 0, 0, 0, 0, letter) }

func finishFrame(buf []byte, start int) []byte {
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

// appendRequestFrame appends the requests of one call, which are all of a first pass or none. Each states the time
// that it has left at present: it may have waited for its connection or behind other frames.
func appendRequestFrame(buf []byte, attempts []*attempt) []byte {
	start := len(buf)
	letter := byte(frameRequests)
	if attempts[0].decision.FirstPass() {
		letter = frameFirstPass
	}
	_, _, _, owned := attempts[0].decision.Ownership()
	if owned {
		letter = frameOwned
	}
	buf = beginFrame(buf, letter)
	for _, a := range attempts {
		buf = append(buf, a.id...)
		buf = append(buf, ' ')
		buf = strconv.AppendInt(buf, int64(a.decision.Shard()), 10)
		buf = append(buf, " d="...)
		buf = strconv.AppendInt(buf, int64(a.decision.Remaining()), 10)
		if owned {
			buf = appendOwnership(buf, a)
		}
		buf = append(buf, ' ')
		buf = strconv.AppendInt(buf, int64(len(a.decision.Payload())), 10)
		buf = append(buf, '\n')
		buf = append(buf, a.decision.Payload()...)
	}
	return finishFrame(buf, start)
}

// appendOwnership appends the keys that are requested, their segment and its epoch, as docs/protocol-owners.md has
// it.
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

// appendCancelFrame appends the cancellation of an attempt.
func appendCancelFrame(buf []byte, id string) []byte {
	start := len(buf)
	buf = beginFrame(buf, frameCancel)
	buf = append(buf, id...)
	return finishFrame(buf, start)
}

// readFrame reads one frame. Its body is part of the buffer, which the next call may reuse.
func readFrame(r *bufio.Reader, buf []byte) (letter byte, body, reused []byte, err error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, buf, err
	}
	length := int(binary.LittleEndian.Uint32(header[:]))
	if length < 1 || length > maxFrameBytes {
		return 0, nil, buf, fmt.Errorf("frame of %d bytes, 1 to %d are allowed", length, maxFrameBytes)
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

// parseAnswer reads an answer frame's body. All that a decision depends on is checked; a load report that can't be
// read is ignored. The value is a copy, since the frame's buffer is reused. Clients get it as text, so that one that
// is not, such as the start of the next frame behind a wrong length, is refused.
func parseAnswer(body []byte) (answer, error) {
	line, value, found := bytes.Cut(body, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	if !found || len(words) < 3 || len(words[0]) == 0 {
		return answer{}, errors.New("answer without its line")
	}
	ans := answer{id: string(words[0]), status: string(words[1])}
	if score := string(words[2]); score != noScore {
		if _, err := strconv.ParseFloat(score, 64); err != nil {
			return answer{}, fmt.Errorf("answer with the score %.50q", score)
		}
	}
	switch ans.status {
	case statusOK:
		if !utf8.Valid(value) || bytes.ContainsFunc(value, unicode.IsControl) {
			return answer{}, errors.New("answer whose value is no text")
		}
		ans.value = bytes.Clone(value)
	case statusBusy, statusFailed, statusMoved:
	default:
		return answer{}, fmt.Errorf("answer with the status %.50q", ans.status)
	}
	return ans, nil
}

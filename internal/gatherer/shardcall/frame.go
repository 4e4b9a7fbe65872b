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

// maxSpareBuffer bounds the buffers that a connection keeps, against holding on to its largest frame for good.
const maxSpareBuffer = 4 << 10

func reusable(buf []byte) []byte {
	if cap(buf) > maxSpareBuffer {
		return nil
	}
	return buf
}

// maxFrameBytes bounds what one frame may hold: a value has to fit into an answer to a client, which holds 64 KiB.
const maxFrameBytes = 64<<10 + 1<<10

// answer is what an A frame says of one part.
type answer struct {
	id, status string
	value      []byte
}

// beginFrame opens a frame whose length finish fills in.
func beginFrame(buf []byte, letter byte) []byte { return append(buf, 0, 0, 0, 0, letter) }

func finishFrame(buf []byte, from int) []byte {
	binary.LittleEndian.PutUint32(buf[from:], uint32(len(buf)-from-4))
	return buf
}

// appendRequestFrame writes parts that travel as one call; all are of a first pass or none is. Each tells what is left of its
// time now: a call may have waited for its connection, or behind other frames.
func appendRequestFrame(buf []byte, calls []*attempt) []byte {
	from, letter := len(buf), byte('Q')
	if calls[0].decision.FirstPass() {
		letter = 'S'
	}
	_, _, _, owned := calls[0].decision.Ownership()
	if owned {
		letter = 'O'
	}
	buf = beginFrame(buf, letter)
	for _, a := range calls {
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
	return finishFrame(buf, from)
}

// appendOwnership writes which keys are asked for, of whose segment, under which epoch (docs/protocol-owners.md).
func appendOwnership(buf []byte, a *attempt) []byte {
	keys, segment, since, _ := a.decision.Ownership()
	buf = append(append(buf, ",s="...), segment...)
	buf = strconv.AppendUint(append(buf, ",e="...), since, 10)
	buf = append(append(buf, ",k="...), keys.Text()...)
	if a.decision.NonIdempotent() {
		buf = append(buf, ",once"...)
	}
	return buf
}

// appendCancelFrame writes that a part is given up.
func appendCancelFrame(buf []byte, id string) []byte {
	from := len(buf)
	return finishFrame(append(beginFrame(buf, 'X'), id...), from)
}

// readFrame reads one frame; its body is valid until the next call.
func readFrame(r *bufio.Reader, buf []byte) (letter byte, body, kept []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, buf, err
	}
	length := int(binary.LittleEndian.Uint32(head[:]))
	if length < 1 || length > maxFrameBytes {
		return 0, nil, buf, fmt.Errorf("frame of %d bytes", length)
	}
	if buf = reusable(buf); cap(buf) < length {
		buf = make([]byte, length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf); err != nil {
		return 0, nil, buf, fmt.Errorf("frame cut off: %w", err)
	}
	return buf[0], buf[1:], buf, nil
}

// parseAnswer takes an A frame apart and checks all of it that decides anything; a report that can't be read
// spoils nothing. The value is a copy, against the frame's buffer being used again. It goes to the client as text,
// so that one that is none, such as the beginning of the next frame behind a wrong length, can't be passed on.
func parseAnswer(body []byte) (answer, error) {
	line, value, found := bytes.Cut(body, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	if !found || len(words) < 3 || len(words[0]) == 0 {
		return answer{}, errors.New("answer without its line")
	}
	a := answer{id: string(words[0]), status: string(words[1])}
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil && string(words[2]) != "-" {
		return answer{}, fmt.Errorf("answer with the score %.50q", words[2])
	}
	switch a.status {
	case "ok":
		if !utf8.Valid(value) || bytes.ContainsFunc(value, unicode.IsControl) {
			return answer{}, errors.New("answer whose value is no text")
		}
		a.value = bytes.Clone(value)
	case "busy", "err", "moved":
	default:
		return answer{}, fmt.Errorf("answer that ends in %.50q", a.status)
	}
	return a, nil
}

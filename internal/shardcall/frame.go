package shardcall

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// longest bounds what one frame may hold: a value has to fit into an answer to a client, which holds 64 KiB.
const longest = 64<<10 + 1<<10

// answer is what an A frame says of one part.
type answer struct {
	id, end string
	value   []byte
}

// begin opens a frame whose length finish fills in.
func begin(buf []byte, letter byte) []byte { return append(buf, 0, 0, 0, 0, letter) }

func finish(buf []byte, from int) []byte {
	binary.LittleEndian.PutUint32(buf[from:], uint32(len(buf)-from-4))
	return buf
}

// appendCall writes parts that travel as one call.
func appendCall(buf []byte, calls []*attempt) []byte {
	from := len(buf)
	buf = begin(buf, 'Q')
	for _, a := range calls {
		buf = append(buf, a.id...)
		buf = append(buf, ' ')
		buf = strconv.AppendInt(buf, int64(a.call.Shard()), 10)
		buf = append(buf, " d="...)
		buf = strconv.AppendInt(buf, max(int64(a.call.Timeout), 1), 10)
		buf = append(buf, ' ')
		buf = strconv.AppendInt(buf, int64(len(a.call.Text())), 10)
		buf = append(buf, '\n')
		buf = append(buf, a.call.Text()...)
	}
	return finish(buf, from)
}

// appendGiveUp writes that a part is given up.
func appendGiveUp(buf []byte, id string) []byte {
	from := len(buf)
	return finish(append(begin(buf, 'X'), id...), from)
}

// readFrame reads one frame; its body is valid until the next call.
func readFrame(r *bufio.Reader, buf []byte) (letter byte, body, kept []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, buf, err
	}
	length := int(binary.LittleEndian.Uint32(head[:]))
	if length < 1 || length > longest {
		return 0, nil, buf, fmt.Errorf("frame of %d bytes", length)
	}
	if cap(buf) < length {
		buf = make([]byte, length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf); err != nil {
		return 0, nil, buf, fmt.Errorf("frame cut off: %w", err)
	}
	return buf[0], buf[1:], buf, nil
}

// parseAnswer takes an A frame apart. The value is a copy, against the frame's buffer being used again.
func parseAnswer(body []byte) (answer, error) {
	line, value, found := bytes.Cut(body, []byte{'\n'})
	id, rest, spaced := bytes.Cut(line, []byte{' '})
	if !found || !spaced || len(id) == 0 {
		return answer{}, errors.New("answer without its line")
	}
	end, _, _ := bytes.Cut(rest, []byte{' '})
	return answer{id: string(id), end: string(end), value: bytes.Clone(value)}, nil
}

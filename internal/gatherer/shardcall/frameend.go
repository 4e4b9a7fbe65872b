package shardcall

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"time"
	"unicode"
	"unicode/utf8"

	"yokeroute/internal/socket"
)

const (
	// defaultFollowingWait is how long an answer waits for the bytes behind it while other responses are expected on the
	// connection. A server that writes more than the length of a frame states may do so in two writes.
	defaultFollowingWait = time.Millisecond

	frameStartBytes = lengthBytes + 1 // the length and the letter
)

var errFrameEnd = errors.New("frame does not end where its length says")

// frameReader reads the frames of a connection and the bytes behind them.
type frameReader struct {
	*bufio.Reader
	nc   net.Conn
	buf  []byte        // reused for the bodies
	wait time.Duration // for the bytes behind a frame
}

func newFrameReader(nc net.Conn, followingWait time.Duration) *frameReader {
	return &frameReader{Reader: bufio.NewReader(nc), nc: nc, wait: followingWait}
}

// next reads one frame. The body is valid until the next call.
func (r *frameReader) next() (letter byte, body []byte, err error) {
	letter, body, r.buf, err = readFrame(r.Reader, r.buf)
	return letter, body, err
}

// following returns the bytes that have arrived behind the last frame, without consuming them. If another frame is
// expected, it waits for a while for the first byte, and after that until the bytes show whether they start a
// frame. It returns nothing if the connection ends behind the frame.
func (r *frameReader) following(frameExpected bool) ([]byte, error) {
	switch {
	case r.Buffered() > 0:
	case frameExpected:
		if err := r.awaitByte(); err != nil {
			return nil, err
		}
	case socket.HasUnreadBytes(r.nc):
		_, _ = r.Peek(1) // reads all that fits; an error occurs again at the next read
	}
	if frameExpected && r.Buffered() > 0 {
		if err := r.awaitFrameStart(); err != nil {
			return nil, errors.Join(errFrameEnd, err)
		}
	}
	return r.Peek(r.Buffered())
}

// awaitFrameStart waits until the next bytes are the start of a frame or cannot become one.
func (r *frameReader) awaitFrameStart() error {
	for n := 1; n <= frameStartBytes; n++ {
		b, err := r.Peek(n)
		if err != nil {
			return err
		}
		if !mayStartFrame(b) {
			return nil
		}
	}
	return nil
}

// awaitByte waits for a while until something has arrived. The end of the connection is not an error here.
func (r *frameReader) awaitByte() error {
	if err := r.nc.SetReadDeadline(time.Now().Add(r.wait)); err != nil {
		return err
	}
	_, err := r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) || err == nil {
		return r.nc.SetReadDeadline(time.Time{})
	}
	return nil
}

// frameEndFits reports whether a frame with the given body ends where its length says, judged by the bytes that follow
// it. If another frame is expected, only a frame may follow. Otherwise other bytes may follow a valid frame, except for
// those that suggest another length: text, which may be the rest of the value, or the rest of a frame whose first bytes
// were read as a part of this one.
func frameEndFits(body, following []byte, frameExpected bool) bool {
	switch {
	case len(following) == 0, startsFrame(following):
		return true
	case frameExpected:
		return false
	}
	return !mayBeRestOfValue(following) && !includesFrameStart(body, following)
}

// startsFrame reports whether bytes begin with the length and the letter of a frame that a server may send.
func startsFrame(b []byte) bool { return len(b) >= frameStartBytes && mayStartFrame(b) }

// mayStartFrame reports whether bytes that may be incomplete begin like a frame that a server may send.
func mayStartFrame(b []byte) bool {
	var header [lengthBytes]byte
	n := copy(header[:], b)
	length := binary.LittleEndian.Uint32(header[:]) // of the known bytes, so at most that of the frame
	if length > maxFrameBytes || n == lengthBytes && length < 1 {
		return false
	}
	if len(b) < frameStartBytes {
		return true
	}
	switch b[lengthBytes] {
	case frameAnswer, frameError, frameLoad, framePong:
		return true
	}
	return false
}

// mayBeRestOfValue reports whether bytes begin with text that ends where nothing or another frame follows.
func mayBeRestOfValue(b []byte) bool {
	for end := 0; end < len(b); {
		r, size := utf8.DecodeRune(b[end:])
		if r == utf8.RuneError && size == 1 || unicode.IsControl(r) {
			return false
		}
		end += size
		if end == len(b) || startsFrame(b[end:]) {
			return true
		}
	}
	return false
}

// includesFrameStart reports whether a frame would begin within the last bytes of a body.
func includesFrameStart(body, following []byte) bool {
	for n := 1; n <= min(frameStartBytes, len(body)); n++ {
		start := make([]byte, 0, 2*frameStartBytes)
		start = append(start, body[len(body)-n:]...)
		if startsFrame(append(start, following[:min(frameStartBytes, len(following))]...)) {
			return true
		}
	}
	return false
}

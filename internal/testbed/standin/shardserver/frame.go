package shardserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// The types of the platform's frames.
const (
	frameCall      = 'Q'
	frameFirstPass = 'S'
	frameCancel    = 'X'
	frameHandshake = 'H'
	framePing      = 'P'
	frameLoad      = 'L'
	frameAnswer    = 'A'
	frameError     = 'E'
)

// FirstPassExtension is the body of the handshake that agrees on first passes.
const FirstPassExtension = "two-phase 1"

// maxFrameBytes bounds a frame.
const maxFrameBytes = 1 << 20

// writeTimeout bounds how long a write may wait for a peer that does not read.
const writeTimeout = 5 * time.Second

// ReadFrame reads one frame of the platform's protocol.
func ReadFrame(r io.Reader) (frameType byte, body string, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, "", err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > maxFrameBytes {
		return 0, "", fmt.Errorf("a frame of %d bytes", n)
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(r, frame); err != nil {
		return 0, "", err
	}
	return frame[0], string(frame[1:]), nil
}

// EncodeFrame returns one frame of the platform's protocol.
func EncodeFrame(frameType byte, body string) []byte {
	frame := binary.LittleEndian.AppendUint32(make([]byte, 0, 5+len(body)), uint32(1+len(body)))
	frame = append(frame, frameType)
	return append(frame, body...)
}

// WriteFrame writes one frame of the platform's protocol. The frame is lost if the peer has gone, or does not read
// within a few seconds.
func WriteFrame(c net.Conn, frameType byte, body string) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as does the write
	_, _ = c.Write(EncodeFrame(frameType, body))         // whoever reads the connection notices its end
}

// ParseShardRequests parses the body of a call.
func ParseShardRequests(body string) (requests []ShardRequest, err error) {
	err = VisitShardRequests(body, func(fields [4]string, payload string) error {
		shard, err := strconv.Atoi(fields[1])
		if err != nil {
			return fmt.Errorf("a part's line %.80q", strings.Join(fields[:], " "))
		}
		requests = append(requests, ShardRequest{ID: fields[0], Shard: shard, Payload: payload})
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(requests) == 0 {
		return nil, errors.New("a call without parts")
	}
	return requests, nil
}

// VisitShardRequests calls a function with the four fields of each shard request's line, and with its payload, whose
// length is the last field.
func VisitShardRequests(body string, visit func(fields [4]string, payload string) error) error {
	for body != "" {
		line, rest, found := strings.Cut(body, "\n")
		fields := strings.Fields(line)
		if !found || len(fields) != 4 {
			return fmt.Errorf("a part's line %.80q", line)
		}
		length, err := strconv.Atoi(fields[3])
		if err != nil || length < 0 || length > len(rest) {
			return fmt.Errorf("a part's line %.80q", line)
		}
		if err := visit([4]string(fields), rest[:length]); err != nil {
			return err
		}
		body = rest[length:]
	}
	return nil
}

// ResetOnClose has a TCP connection reset by its close, as by the end of a killed process.
func ResetOnClose(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
}

package frontend

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// errNoMemory is the error for a request that is not served because too much memory is in use.
var errNoMemory = errors.New("no memory for the request")

// readBody reads a request's body. The read ends at the query's deadline at the latest, so that a slow client does not
// occupy its connection for longer. Memory for the body is reserved as it arrives.
func readBody(
	w http.ResponseWriter, r *http.Request, rc *http.ResponseController, deadline time.Time, reserved *reservation,
) ([]byte, error) {
	if time.Until(deadline) < readBodyTimeout {
		_ = rc.SetReadDeadline(deadline)
	}
	if r.ContentLength > maxBodyBytes { // rejected before any of it is read
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: maxBodyBytes}
	}
	body, err := readReserved(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, reserved)
	if err != nil {
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// readReserved reads a body of the given length, or of unknown length if that is negative. Its buffer begins small and
// grows once it is full, so that a client holds no more memory than it has sent bytes for.
func readReserved(body io.Reader, length int64, reserved *reservation) ([]byte, error) {
	size := int64(includedBytes)
	if length >= 0 {
		size = min(size, length)
	}
	buf := make([]byte, 0, size+1) // a byte of room, so that the last read finds the end
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		size = min(2*size, maxBodyBytes)
		if length >= 0 {
			size = length
		}
		if !reserved.grow(bodyCopies * size) {
			return nil, errNoMemory
		}
		buf = append(make([]byte, 0, size+1), buf...)
	}
}

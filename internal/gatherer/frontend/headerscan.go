package frontend

import (
	"bytes"
)

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

// maxHeaderName is the length of the line prefix that identifies one of the two headers, including the colon.
var maxHeaderName = len(transferEncodingName) + 1

// headerScanner scans the bytes of a connection line by line for request heads that contain both Content-Length and
// Transfer-Encoding. It does not need to know where a body ends: header lines are at the beginning of a line in any
// head, and the body of a query does not contain such lines.
type headerScanner struct {
	line                []byte // the first bytes of the current line, up to maxHeaderName
	sawContentLength    bool   // since the last empty line
	sawTransferEncoding bool

	// headBytes and headLines count what has arrived of the current head.
	headBytes, headLines int // the empty line at its end included
	headEnded            bool
}

// startHead starts the count of the next head.
func (s *headerScanner) startHead() { s.headBytes, s.headLines, s.headEnded = 0, 0, false }

// scan scans the next bytes. It reports whether a request head in them contains both headers.
func (s *headerScanner) scan(p []byte) (conflict bool) {
	for len(p) > 0 {
		newline := bytes.IndexByte(p, '\n')
		end := newline
		if newline < 0 {
			end = len(p)
		}
		if !s.headEnded {
			s.headBytes += end
		}
		if room := maxHeaderName - len(s.line); room > 0 {
			s.line = append(s.line, p[:min(end, room)]...)
		}
		if newline < 0 {
			return conflict
		}
		s.endLine()
		conflict = conflict || s.sawContentLength && s.sawTransferEncoding
		p = p[newline+1:]
	}
	return conflict
}

func (s *headerScanner) endLine() {
	name, _, isHeader := bytes.Cut(s.line, []byte{':'})
	empty := len(bytes.TrimRight(s.line, "\r")) == 0
	switch {
	case empty:
		s.sawContentLength = false
		s.sawTransferEncoding = false
	case isHeader && bytes.EqualFold(name, contentLengthName):
		s.sawContentLength = true
	case isHeader && bytes.EqualFold(name, transferEncodingName):
		s.sawTransferEncoding = true
	}
	if !s.headEnded {
		s.headEnded = empty
		s.headLines++
	}
	s.line = s.line[:0]
}

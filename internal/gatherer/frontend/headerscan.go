package frontend

import (
	"bytes"
)

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

// maxHeaderName is as much of a line as decides whether it is one of the two headers, the colon included.
var maxHeaderName = len(transferEncodingName) + 1

// headerScanner looks for heads that hold both Content-Length and Transfer-Encoding, line by line. It need not know
// where a body ends: header lines begin lines in any head, and a body that holds such lines is none of a query.
type headerScanner struct {
	line                []byte // the beginning of the current line
	sawContentLength    bool   // since the last empty line
	sawTransferEncoding bool
}

// scan goes on with the next bytes. It reports whether a head in them held both headers.
func (s *headerScanner) scan(p []byte) (conflict bool) {
	for len(p) > 0 {
		newline := bytes.IndexByte(p, '\n')
		end := newline
		if newline < 0 {
			end = len(p)
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
	switch {
	case len(bytes.TrimRight(s.line, "\r")) == 0:
		s.sawContentLength = false
		s.sawTransferEncoding = false
	case isHeader && bytes.EqualFold(name, contentLengthName):
		s.sawContentLength = true
	case isHeader && bytes.EqualFold(name, transferEncodingName):
		s.sawTransferEncoding = true
	}
	s.line = s.line[:0]
}

package logic

import "fmt"

// attemptKey identifies an attempt by its request and its number.
type attemptKey struct {
	request uint64
	attempt int
}

// recorder is a gather.Writer that records the decisions as lines of text.
type recorder struct {
	formats  messageFormats
	lines    []string
	servers  map[attemptKey]uint32 // server of each attempt sent
	attempts map[uint64]int        // number of attempts sent, by request
}

// messageFormats holds the formats of the messages whose names differ between scenarios and recorded hashes.
type messageFormats struct{ cancel, reject, fail, checkHealth string }

var (
	scenarioFormats = messageFormats{"cancel %d %d", "reject %d %g", "fail %d", "check %d"}

	// hashedFormats are the formats that the recorded hashes were computed with.
	hashedFormats = messageFormats{"calloff %d %d", "nack %d %g", "abort %d", "probe %d"}
)

func newRecorder(formats messageFormats) *recorder {
	return &recorder{formats: formats, servers: map[attemptKey]uint32{}, attempts: map[uint64]int{}}
}

func (r *recorder) clear() { r.lines = r.lines[:0] }

func (r *recorder) write(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Send(request uint64, server uint32, timeout float64) {
	r.servers[attemptKey{request, r.attempts[request]}] = server
	r.attempts[request]++
	r.write("send %d %d %g", request, server, timeout)
}

func (r *recorder) Cancel(request uint64, attempt int) { r.write(r.formats.cancel, request, attempt) }

func (r *recorder) Answer(query uint64, complete bool) { r.write("answer %d %t", query, complete) }

func (r *recorder) Reject(query uint64, retryAfter float64) {
	r.write(r.formats.reject, query, retryAfter)
}

func (r *recorder) Fail(query uint64) { r.write(r.formats.fail, query) }

func (r *recorder) Wake(after float64) { r.write("wake %g", after) }

func (r *recorder) Subscribe() { r.write("subscribe") }

func (r *recorder) CheckHealth(server uint32) { r.write(r.formats.checkHealth, server) }

package experiment

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are kept in microseconds up to a minute.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3 // significant
)

// Times of the experiments' queries, as in their settings.
const (
	latencyObjective = 400 * time.Millisecond
	queryDeadline    = 2 * time.Second
)

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// Outcome counts how the queries of a load ended.
type Outcome struct {
	Sent            int                     `json:"Sent"`
	Served          int                     `json:"Satisfied"`
	Complete        int                     `json:"Whole"`
	Rejected        int                     `json:"Nacked"`
	Failed          int                     `json:"Aborted"`
	Errors          int                     `json:"Failed"` // no answer, or none that the protocol knows
	WithinObjective int                     `json:"InAim"`  // served within the latency objective
	Latency         *hdrhistogram.Histogram `json:"-"`      // of served queries, microseconds
	Unserved        []UnservedQuery         `json:"-"`      // the first of those that were not served
}

// maxUnserved bounds the unserved queries that an outcome describes.
const maxUnserved = 100

// UnservedQuery describes a query that was not served, for the message of a test that fails by it.
type UnservedQuery struct {
	Number    int
	SentAt    time.Duration // since the load began
	SendDelay time.Duration // by which it was sent late: the load itself was held up
	Status    int           // of HTTP, 0 without an answer
	Latency   time.Duration
}

// NewOutcome returns the outcome of no queries.
func NewOutcome() *Outcome { return &Outcome{Latency: newLatencies()} }

// Add adds another load's outcome.
func (o *Outcome) Add(other *Outcome) {
	o.Sent += other.Sent
	o.Served += other.Served
	o.Complete += other.Complete
	o.Rejected += other.Rejected
	o.Failed += other.Failed
	o.Errors += other.Errors
	o.WithinObjective += other.WithinObjective
	o.Latency.Merge(other.Latency)
	o.Unserved = append(o.Unserved, other.Unserved...)
}

// addUnserved describes a query that was not served.
func (o *Outcome) addUnserved(query UnservedQuery) {
	if len(o.Unserved) < maxUnserved {
		o.Unserved = append(o.Unserved, query)
	}
}

// addAnswer counts an answer by its HTTP status, 0 for none.
func (o *Outcome) addAnswer(status int, complete bool, latency, objective time.Duration) {
	switch status {
	case http.StatusOK:
		o.Served++
		_ = o.Latency.RecordValue(latency.Microseconds()) // one beyond the histogram's range is left out
		if complete {
			o.Complete++
		}
		if latency <= objective {
			o.WithinObjective++
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		o.Rejected++
	case http.StatusGatewayTimeout:
		o.Failed++
	default:
		o.Errors++
	}
}

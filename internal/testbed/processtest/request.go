package processtest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"yokeroute/internal/testbed/experiment"
)

const (
	// lateAnswerTime is how long behind its time an answer only earns nothing; a try without one by then is lost.
	lateAnswerTime = 500 * time.Millisecond

	// resendSuffix is what the name of a request that is sent once more ends in, so that traces tell which was read.
	resendSuffix = "r"
)

// request is a request to be sent.
type request struct {
	operation *operation
	try       *Try
	repeated  bool // after an earlier try
	deadline  time.Time
}

// reply is what came of a request.
type reply struct {
	status int
	header http.Header
	body   []byte
	hits   float64 // of the parts
	err    error   // nil where the whole answer came

	reused   bool        // the request went on a kept connection
	answered atomic.Bool // a byte of the answer came
}

// unreached reports whether nothing was sent. A reset may have come after the request was read.
func (r *reply) unreached() bool {
	var op *net.OpError
	return errors.As(r.err, &op) && op.Op == "dial" || errors.Is(r.err, syscall.ECONNREFUSED)
}

// timedOut reports whether the client has given up.
func (r *reply) timedOut() bool { return errors.Is(r.err, context.DeadlineExceeded) }

// abandoned reports whether the client has gone.
func (r *reply) abandoned() bool { return errors.Is(r.err, context.Canceled) }

// crossed reports whether a kept connection ended before a byte of the answer, as where its gatherer has closed it
// between requests.
func (r *reply) crossed() bool {
	return r.err != nil && r.reused && !r.answered.Load() && !r.timedOut() && !r.abandoned()
}

// loss is the kind of loss where the request is lost.
func (r *reply) loss() LossKind {
	switch {
	case r.timedOut():
		return Unanswered
	case r.answered.Load():
		return AnswerBroke
	case r.reused:
		return ReusedConnectionBroke
	}
	return NewConnectionBroke
}

// sendOrResend sends a request, and as the platform's clients do once more on a new connection where it has crossed the
// close of a kept one. That is left out behind a relay, whose resets say nothing of what the gatherer has read.
func (f *Front) sendOrResend(target *frontTarget, q *request) *reply {
	r := f.send(target.client, target, q)
	if !r.crossed() || !f.fleet.terms.DirectFront {
		return r
	}
	f.noteCrossed(q.try, target, r)
	q.try.Name += resendSuffix
	return f.send(target.newConnClient, target, q)
}

// send sends a request and reads the answer, until lateAnswerTime behind the request's time.
func (f *Front) send(client *http.Client, target *frontTarget, q *request) *reply {
	r := &reply{}
	ctx, cancel := context.WithDeadline(f.ctx, q.deadline.Add(lateAnswerTime))
	defer cancel()
	if q.operation.leaving > 0 {
		defer time.AfterFunc(q.operation.leaving, cancel).Stop()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { r.reused = info.Reused },
		GotFirstResponseByte: func() { r.answered.Store(true) },
	})
	o := q.operation
	body := experiment.Body(o.first, o.parts, f.fleet.Scenario.Layout.Shards, o.name)
	url := target.base + "/" + o.index.Name
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	httpRequest.GetBody = nil // the transport must not send it again by itself: tries are told apart by name
	httpRequest.Header.Set("X-Request-ID", q.try.Name)
	httpRequest.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10))
	if q.repeated {
		httpRequest.Header.Set("X-Retried", "1")
	}
	resp, err := client.Do(httpRequest)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

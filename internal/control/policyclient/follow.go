package policyclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/logic/policy"
)

const (
	// A question that brings no news is answered after this time: well within a lease, so that some may be lost.
	askWait = 2 * time.Second
	// A steward that has not answered by then is silent.
	patience = time.Second
	// The first pause after a question that failed, and the longest.
	pauseFirst, pauseMost = 50 * time.Millisecond, time.Second
)

// Follower asks the stewards, one question after the other, and has the governor hear what they say.
type Follower struct {
	g        *Governor
	stewards []operator.PolicyServer
	me       policy.Heartbeat
	folder   string // where the fence is kept, empty for nowhere
	http     *http.Client
	log      *logrus.Logger
}

// NewFollower makes one. Me are the gatherer's name, zone, floor and version and what names its process.
func NewFollower(g *Governor, stewards []operator.PolicyServer, me policy.Heartbeat, folder string, log *logrus.Logger) *Follower {
	me.KnownKinds = policy.Kinds()
	return &Follower{g: g, stewards: stewards, me: me, folder: folder, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: askWait + patience, DisableCompression: true}}}
}

// errElsewhere is an answer of a steward that does not lead.
type errElsewhere struct{ leader string }

func (e errElsewhere) Error() string {
	if e.leader == "" {
		return "no steward leads"
	}
	return e.leader + " leads"
}

// Run follows until ctx ends. A lookup never waits for it.
func (f *Follower) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	at, pause, down := 0, pauseFirst, false
	for ctx.Err() == nil {
		asked, word, err := f.ask(ctx, f.stewards[at])
		var elsewhere errElsewhere
		switch {
		case errors.Is(err, errSettled):
			continue
		case ctx.Err() != nil:
			return
		case errors.As(err, &elsewhere) && elsewhere.leader != "":
			if i := slices.IndexFunc(f.stewards, func(s operator.PolicyServer) bool { return s.Name == elsewhere.leader }); i >= 0 && i != at {
				at = i
				f.rest(ctx, pauseFirst)
				continue
			}
		}
		if err != nil {
			if !down {
				f.log.WithError(err).WithField("steward", f.stewards[at].Name).Warn("policy: the steward does not answer; the next one is asked")
			}
			down = true
			at = (at + 1) % len(f.stewards)
			f.rest(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		if down {
			f.log.WithField("steward", f.stewards[at].Name).Info("policy: a steward answers again")
		}
		down, pause = false, pauseFirst
		if !f.hear(asked, word) || word.Lease == 0 { // it stands within its floor, and is told the same again
			f.rest(ctx, pauseMost)
		}
	}
}

// hear has the governor take a word in, and keeps the fence. It reports whether the word was taken.
func (f *Follower) hear(asked float64, w policy.Update) bool {
	fence, moved, taken := f.g.hear(asked, w)
	fields := logrus.Fields{"epoch": w.Epoch, "last": w.LastEnded}
	if w.Pending != nil {
		fields["change"] = w.Pending.Number
	}
	switch {
	case !taken:
		f.log.WithFields(fields).Error("policy: a word that can't be gone by: it would go back, or contradicts the platform's settings")
	case w.Lease == 0:
		f.log.WithFields(fields).WithField("why", w.RefusalReason).Error("policy: the stewards do not take this gatherer in; it acts within its floor")
	case moved:
		f.log.WithFields(fields).Info("policy: heard")
		if err := keepFence(f.folder, fence); err != nil {
			f.log.WithError(err).Error("policy: how far this gatherer has come could not be written down; after a start it trusts the stewards")
		}
	}
	return taken
}

func (f *Follower) rest(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.g.settled:
	case <-time.After(pause):
	}
}

var errSettled = errors.New("there is news to tell")

// ask puts one question. It is broken off where the gatherer has news for the steward, that all in hand is settled.
func (f *Follower) ask(ctx context.Context, s operator.PolicyServer) (asked float64, w policy.Update, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, askWait+patience, fmt.Errorf("no answer within %s", askWait+patience))
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	select {
	case <-f.g.settled: // this question tells it
	default:
	}
	hello := f.g.hello()
	hello.Member, hello.Incarnation, hello.Version = f.me.Member, f.me.Incarnation, f.me.Version
	answered := make(chan struct{})
	defer close(answered)
	go func() {
		select {
		case <-f.g.settled:
			stop(errSettled)
		case <-answered:
		}
	}()
	asked = f.g.clock()
	a, status, err := Exchange(ctx, f.http, http.MethodPost, "http://"+s.Address+AskPath, Ask{Form, hello, float64(askWait.Milliseconds())})
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errSettled):
		return 0, w, errSettled
	case err != nil:
		return 0, w, err
	case status == http.StatusMisdirectedRequest:
		return 0, w, errElsewhere{a.Leader}
	case status != http.StatusOK:
		return 0, w, errors.New(a.Error)
	case a.Word == nil:
		return 0, w, errors.New("the answer holds no word")
	}
	return asked, *a.Word, nil
}

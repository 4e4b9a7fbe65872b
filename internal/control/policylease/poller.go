package policylease

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/millis"
	"yokeroute/logic/policy"
	"yokeroute/logic/responsetimeout"
)

const (
	// pollWait is the time after which a server answers a poll even without an update. It is well within a lease, so
	// that the lease is renewed although some polls are lost.
	pollWait = 2 * time.Second
	// minResponseGrace and maxResponseGrace bound how long after pollWait the poller waits for the response before it
	// tries another server. Polls are made one at a time, since leases rely on that. An update that takes longer than
	// a lease, 10 s by default, has no effect.
	minResponseGrace = time.Second
	maxResponseGrace = 32 * time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// PollerConfig configures a Poller.
type PollerConfig struct {
	Servers []operator.PolicyServer
	Member  policy.Member // this gatherer; NewPoller sets its KnownKinds
	// Incarnation is different for each start of the process.
	Incarnation string
	Version     string
	StateFolder string // folder in which the revision is stored; if empty, it is not stored
	Log         *logrus.Logger
}

// Poller polls one policy server at a time and passes the updates to a lease.
type Poller struct {
	config PollerConfig
	lease  *Lease
	http   *http.Client
	graces []responsetimeout.Timeout // by server, beyond pollWait
}

// NewPoller returns a poller for a lease. It does not poll before Run is called.
func NewPoller(lease *Lease, c PollerConfig) *Poller {
	c.Member.KnownKinds = policy.Kinds()
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	p := &Poller{config: c, lease: lease, http: &http.Client{Transport: transport}}
	for range c.Servers {
		p.graces = append(p.graces, responsetimeout.Timeout{
			Min: millis.Of(minResponseGrace),
			Max: millis.Of(maxResponseGrace),
		})
	}
	return p
}

var (
	// errDrained cancels a poll because the gatherer has drained: the next poll reports that to the leader at once.
	errDrained = errors.New("the gatherer has drained")
	// errNoResponse cancels a poll without a response in time.
	errNoResponse = errors.New("no complete response in time")
)

// Run polls until ctx is done. No query waits for it.
func (p *Poller) Run(ctx context.Context) {
	defer p.http.CloseIdleConnections()
	current := 0 // index of the polled server
	backoff := minBackoff
	failing := false
	for ctx.Err() == nil {
		sentAt, update, err := p.poll(ctx, current)
		switch {
		case errors.Is(err, errDrained):
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			if leader := p.leaderIndex(err); leader >= 0 && leader != current {
				current = leader
				p.pause(ctx, minBackoff)
				continue
			}
			if !failing {
				p.serverLog(current).WithError(err).Warn("policy client: poll failed")
			}
			failing = true
			current = (current + 1) % len(p.config.Servers)
			p.pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if failing {
			p.serverLog(current).Info("policy client: poll succeeded again")
		}
		failing = false
		backoff = minBackoff
		if !p.handle(sentAt, update) || update.Lease == 0 { // an immediate poll would return the same update
			p.pause(ctx, maxBackoff)
		}
	}
}

func (p *Poller) serverLog(server int) *logrus.Entry {
	return p.config.Log.WithField("server", p.config.Servers[server].Name)
}

// leaderIndex returns the index of the server that an error names as the leader, or -1 if it names none.
func (p *Poller) leaderIndex(err error) int {
	var status *policyapi.StatusError
	if !errors.As(err, &status) || !status.NotLeader() || status.Leader == "" {
		return -1
	}
	return slices.IndexFunc(p.config.Servers, func(s operator.PolicyServer) bool { return s.Name == status.Leader })
}

// handle passes an update to the lease and stores the revision if it has advanced. It reports whether the update was
// accepted.
func (p *Poller) handle(sentAt float64, u policy.Update) bool {
	revision, advanced, accepted := p.lease.handle(sentAt, u)
	log := p.config.Log.WithFields(logrus.Fields{"epoch": u.Epoch, "last": u.LastEnded})
	if u.Pending != nil {
		log = log.WithField("change", u.Pending.Number)
	}
	switch {
	case !accepted:
		log.Error("policy client: update rejected: it is older than the revision or conflicts with the platform's settings")
	case u.Lease == 0:
		log.WithField("reason", u.RefusalReason).Error("policy client: no lease granted, fallback policy in effect")
	case advanced:
		log.Info("policy client: update applied")
		if err := saveRevision(p.config.StateFolder, revision); err != nil {
			log.WithError(err).Error("policy client: revision not stored")
		}
	}
	return accepted
}

// pause waits for d, until the gatherer has drained, or until ctx is done.
func (p *Poller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.lease.drained:
	case <-time.After(d):
	}
}

// poll sends one poll to a server and adapts the wait for the next one. It fails with errDrained if the gatherer drains
// meanwhile, so that the next poll can report it to the leader.
func (p *Poller) poll(ctx context.Context, server int) (sentAt float64, u policy.Update, err error) {
	grace := &p.graces[server]
	limit := pollWait + millis.Duration(grace.Current())
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, limit, fmt.Errorf("%w, %s", errNoResponse, limit))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	select {
	case <-p.lease.drained: // this poll reports that the gatherer has drained
	default:
	}
	request := policyapi.PollRequest{
		Format:     policyapi.Format,
		Heartbeat:  p.heartbeat(),
		WaitMillis: float64(pollWait.Milliseconds()),
	}
	stopWatching := p.cancelOnceDrained(cancel)
	defer stopWatching()
	sentAt = p.lease.clock()
	startedAt := time.Now()
	e := policyapi.Endpoint{Method: http.MethodPost, Address: p.config.Servers[server].Address, Path: policyapi.PollPath}
	response, err := policyapi.Call(ctx, p.http, e, request, policyapi.ReadPollResponse)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errDrained):
		return 0, u, errDrained
	case err != nil && errors.Is(context.Cause(ctx), errNoResponse):
		grace.TimedOut()
		return 0, u, context.Cause(ctx)
	case err != nil:
		return 0, u, err
	}
	grace.Responded(millis.Of(time.Since(startedAt) - pollWait))
	if response.Update == nil {
		return 0, u, errors.New("the response has no update")
	}
	return sentAt, *response.Update, nil
}

// cancelOnceDrained starts a goroutine that cancels a poll once the gatherer has drained. The returned function stops
// the goroutine and waits until it has ended.
func (p *Poller) cancelOnceDrained(cancel context.CancelCauseFunc) (stop func()) {
	pollEnded := make(chan struct{})
	goroutineEnded := make(chan struct{})
	go func() {
		defer close(goroutineEnded)
		select {
		case <-p.lease.drained:
			cancel(errDrained)
		case <-pollEnded:
		}
	}()
	return func() {
		close(pollEnded)
		<-goroutineEnded
	}
}

// heartbeat returns the next heartbeat.
func (p *Poller) heartbeat() policy.Heartbeat {
	heartbeat := p.lease.heartbeat()
	heartbeat.Member = p.config.Member
	heartbeat.Incarnation = p.config.Incarnation
	heartbeat.Version = p.config.Version
	return heartbeat
}

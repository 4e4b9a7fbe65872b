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
	"yokeroute/logic/policy"
)

const (
	// A poll without news is answered after pollWait: well within a lease, so that some polls may be lost.
	pollWait = 2 * time.Second
	// A server that has not answered after responseGrace more is given up.
	responseGrace = time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// PollerConfig configures a Poller.
type PollerConfig struct {
	Servers []operator.PolicyServer
	Member  policy.Member // its KnownKinds are set by the poller
	// Incarnation differs after each start of the process.
	Incarnation string
	Version     string
	StateFolder string // where the revision is stored, empty for nowhere
	Log         *logrus.Logger
}

// Poller polls the policy servers, one poll after the other, and hands their updates to a lease.
type Poller struct {
	config PollerConfig
	lease  *Lease
	http   *http.Client
}

// NewPoller returns a poller. Run makes it poll.
func NewPoller(lease *Lease, c PollerConfig) *Poller {
	c.Member.KnownKinds = policy.Kinds()
	transport := &http.Transport{
		MaxIdleConnsPerHost:   1,
		ResponseHeaderTimeout: pollWait + responseGrace,
		DisableCompression:    true,
	}
	return &Poller{config: c, lease: lease, http: &http.Client{Transport: transport}}
}

// errDrained ends a poll that has to be sent again, as there is news for the leader.
var errDrained = errors.New("the gatherer has drained")

// Run polls until ctx ends. No query waits for it.
func (p *Poller) Run(ctx context.Context) {
	defer p.http.CloseIdleConnections()
	current := 0 // index of the server that is polled
	backoff := minBackoff
	failing := false
	for ctx.Err() == nil {
		sentAt, update, err := p.poll(ctx, p.config.Servers[current])
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
				p.serverLog(current).WithError(err).Warn("policy client: server does not answer")
			}
			failing = true
			current = (current + 1) % len(p.config.Servers)
			p.pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if failing {
			p.serverLog(current).Info("policy client: server answers again")
		}
		failing = false
		backoff = minBackoff
		if !p.handle(sentAt, update) || update.Lease == 0 { // the next update would be the same
			p.pause(ctx, maxBackoff)
		}
	}
}

func (p *Poller) serverLog(server int) *logrus.Entry {
	return p.config.Log.WithField("server", p.config.Servers[server].Name)
}

// leaderIndex returns the index of the server that an error names as the leader, -1 where it names none.
func (p *Poller) leaderIndex(err error) int {
	var status *policyapi.StatusError
	if !errors.As(err, &status) || !status.NotLeader() || status.Leader == "" {
		return -1
	}
	return slices.IndexFunc(p.config.Servers, func(s operator.PolicyServer) bool { return s.Name == status.Leader })
}

// handle hands an update to the lease, and stores the revision where it has advanced. It reports whether the update
// was accepted.
func (p *Poller) handle(sentAt float64, u policy.Update) bool {
	revision, advanced, accepted := p.lease.handle(sentAt, u)
	log := p.config.Log.WithFields(logrus.Fields{"epoch": u.Epoch, "last": u.LastEnded})
	if u.Pending != nil {
		log = log.WithField("change", u.Pending.Number)
	}
	switch {
	case !accepted:
		log.Error("policy client: update rejected: older than the revision or against the platform's settings")
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

// pause waits for some time, or until there is news for the leader.
func (p *Poller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.lease.drained:
	case <-time.After(d):
	}
}

// poll sends one poll. It ends with errDrained once the gatherer has drained, which the leader has to learn.
func (p *Poller) poll(ctx context.Context, s operator.PolicyServer) (sentAt float64, u policy.Update, err error) {
	limit := pollWait + responseGrace
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, limit, fmt.Errorf("no answer within %s", limit))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	select {
	case <-p.lease.drained: // this poll reports it
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
	e := policyapi.Endpoint{Method: http.MethodPost, Address: s.Address, Path: policyapi.PollPath}
	response, err := policyapi.Call(ctx, p.http, e, request, policyapi.ReadPollResponse)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errDrained):
		return 0, u, errDrained
	case err != nil:
		return 0, u, err
	case response.Update == nil:
		return 0, u, errors.New("the answer holds no update")
	}
	return sentAt, *response.Update, nil
}

// cancelOnceDrained cancels a poll once the gatherer has drained. The function that it returns ends the watch and
// waits for its end.
func (p *Poller) cancelOnceDrained(cancel context.CancelCauseFunc) (stop func()) {
	answered := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-p.lease.drained:
			cancel(errDrained)
		case <-answered:
		}
	}()
	return func() {
		close(answered)
		<-ended
	}
}

func (p *Poller) heartbeat() policy.Heartbeat {
	heartbeat := p.lease.heartbeat()
	heartbeat.Member = p.config.Member
	heartbeat.Incarnation = p.config.Incarnation
	heartbeat.Version = p.config.Version
	return heartbeat
}

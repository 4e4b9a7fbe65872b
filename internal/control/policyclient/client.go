// Package policyclient implements the operators' client of the policy servers. It proposes and abandons changes, reads
// the status, removes gatherers, and changes the membership of the quorum.
package policyclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/millis"
	"yokeroute/logic/policy"
	"yokeroute/logic/responsetimeout"
)

const (
	// minAttemptTimeout and maxAttemptTimeout bound the timeout of one request, so that a server that hangs does not keep
	// the client from trying the others, and one that is slow is heard in a later round. The request may still be
	// executed after the timeout, so a retry has the same idempotency key.
	minAttemptTimeout = 1500 * time.Millisecond
	maxAttemptTimeout = 12 * time.Second
	// The client retries for some seconds, which is longer than a leader election takes.
	maxRounds  = 20
	roundPause = 200 * time.Millisecond

	awaitInterval = 100 * time.Millisecond
	idBytes       = 12
)

// Client sends requests to the policy server that is the leader.
type Client struct {
	Servers []string // addresses of policy servers, preferably of all
}

// call sends a request to each server in turn, for several rounds, until the leader responds.
func call[T any](ctx context.Context, c *Client, method, path string, request any) (*T, error) {
	timeout := responsetimeout.Timeout{
		Min: millis.Of(minAttemptTimeout),
		Max: millis.Of(maxAttemptTimeout),
	}
	for round := 0; ; round++ {
		attemptTimeout := millis.Duration(timeout.Current())
		response, failures, err := callEach[T](ctx, c.Servers, attemptTimeout, method, path, request)
		if response != nil || err != nil {
			return response, err
		}
		timeout.TimedOut() // at least one server may be slow
		if round >= maxRounds {
			return nil, fmt.Errorf("no policy server responded as the leader: %s", strings.Join(failures, "; "))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(roundPause):
		}
	}
}

// callEach sends a request to each server in turn, until one responds or rejects the request. It returns the response
// or the error of the rejection, and otherwise a list of the servers' failures.
func callEach[T any](
	ctx context.Context, servers []string, timeout time.Duration, method, path string, request any,
) (*T, []string, error) {
	var failures []string
	for _, address := range servers {
		e := policyapi.Endpoint{Method: method, Address: address, Path: path}
		response, err := callOne[T](ctx, timeout, e, request)
		if err == nil {
			return response, nil, nil
		}
		var status *policyapi.StatusError
		if errors.As(err, &status) {
			switch status.Code {
			case http.StatusConflict:
				return nil, nil, policy.RejectedError{Reason: status.Message}
			case http.StatusBadRequest:
				return nil, nil, errors.New(status.Message)
			}
		}
		failures = append(failures, fmt.Sprintf("%s: %v", address, err))
	}
	return nil, failures, nil
}

// callOne sends a request to one server.
func callOne[T any](
	ctx context.Context, timeout time.Duration, e policyapi.Endpoint, request any,
) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return policyapi.Call(ctx, http.DefaultClient, e, request, policyapi.Read[T])
}

// Status returns the record and the status of each gatherer.
func (c *Client) Status(ctx context.Context) (*policyapi.Status, error) {
	r, err := call[policyapi.StatusResponse](ctx, c, http.MethodGet, policyapi.StatusPath, nil)
	if err != nil {
		return nil, err
	}
	if r.Status == nil {
		return nil, errors.New("the response has no status")
	}
	return r.Status, nil
}

// Proposal is a policy to be proposed.
type Proposal struct {
	ID     string // idempotency key; a random one is used where it is empty
	Base   uint64 // epoch of the record on which the policy is based
	Policy policy.Policy
	Reason string
}

// Propose proposes a policy and returns the change. If the record rejects it, the error is a policy.RejectedError.
func (c *Client) Propose(ctx context.Context, p Proposal) (*policy.Change, error) {
	if p.ID == "" {
		p.ID = randomID()
	}
	request := policyapi.ProposeRequest{
		Format: policyapi.Format,
		Change: policy.Change{ID: p.ID, Base: p.Base, Policy: p.Policy, Reason: p.Reason},
	}
	r, err := call[policyapi.ChangeResponse](ctx, c, http.MethodPost, policyapi.ProposePath, request)
	if err != nil {
		return nil, err
	}
	return r.Change, nil
}

// randomID returns a random idempotency key.
func randomID() string {
	var id [idBytes]byte
	rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Abandon abandons the pending change.
func (c *Client) Abandon(ctx context.Context, number uint64, reason string) error {
	request := policyapi.AbandonRequest{Format: policyapi.Format, Number: number, Reason: reason}
	_, err := call[policyapi.ChangeResponse](ctx, c, http.MethodPost, policyapi.AbandonPath, request)
	return err
}

// Forget removes a gatherer that will not return from the members. Its fallback policy then no longer restricts which
// policies can be proposed.
func (c *Client) Forget(ctx context.Context, name string) error {
	request := policyapi.ForgetRequest{Format: policyapi.Format, Name: name}
	_, err := call[policyapi.ChangeResponse](ctx, c, http.MethodPost, policyapi.ForgetPath, request)
	return err
}

// AddServer adds a policy server to the quorum.
func (c *Client) AddServer(ctx context.Context, name string) error {
	return c.changeMembership(ctx, policyapi.MembershipRequest{Format: policyapi.Format, Name: name})
}

// RemoveServer removes a policy server from the quorum.
func (c *Client) RemoveServer(ctx context.Context, name string) error {
	return c.changeMembership(ctx, policyapi.MembershipRequest{Format: policyapi.Format, Name: name, Remove: true})
}

func (c *Client) changeMembership(ctx context.Context, request policyapi.MembershipRequest) error {
	_, err := call[policyapi.MembershipResponse](ctx, c, http.MethodPost, policyapi.MembershipPath, request)
	return err
}

package policyclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"yokeroute/logic/policy"
)

// Client asks stewards for operators: whichever of them leads.
type Client struct{ Stewards []string } // addresses, any of them

// do sends to one after the other until one that leads answers.
func (c *Client) do(ctx context.Context, method, path string, doc any) (*Answer, error) {
	var why []string
	for try := 0; ; try++ {
		why = why[:0]
		for _, address := range c.Stewards {
			a, status, err := one(ctx, method, "http://"+address+path, doc)
			switch {
			case err != nil:
				why = append(why, fmt.Sprintf("%s: %v", address, err))
			case status == http.StatusOK:
				return a, nil
			case status == http.StatusConflict:
				return nil, policy.RejectedError{Reason: a.Error}
			case status == http.StatusBadRequest:
				return nil, errors.New(a.Error)
			default:
				why = append(why, fmt.Sprintf("%s: %s", address, a.Error))
			}
		}
		if try >= 20 { // some seconds: a lead that moves is back by then
			return nil, fmt.Errorf("no steward that leads answers: %s", strings.Join(why, "; "))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// oneTry is for how long one steward is waited for, against one that stands still in front of those that serve. What it
// was asked to do may come to be all the same: who asks again does so under the same ID.
const oneTry = 1500 * time.Millisecond

// one asks one steward.
func one(ctx context.Context, method, url string, doc any) (*Answer, int, error) {
	ctx, cancel := context.WithTimeout(ctx, oneTry)
	defer cancel()
	return Exchange(ctx, http.DefaultClient, method, url, doc)
}

// Exchange sends a steward a document and reads its answer, of whatever status.
func Exchange(ctx context.Context, client *http.Client, method, url string, doc any) (*Answer, int, error) {
	body, err := json.Marshal(doc)
	if err != nil {
		return nil, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	a, err := ReadAnswer(resp.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("answer %s: %w", resp.Status, err)
	}
	return a, resp.StatusCode, nil
}

// Status is how far everybody is.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	a, err := c.do(ctx, http.MethodGet, StatusPath, nil)
	if err != nil {
		return nil, err
	}
	if a.Status == nil {
		return nil, errors.New("the answer holds no status")
	}
	return a.Status, nil
}

// Propose puts a policy forward that was written for an epoch. Asked again under the same ID it does nothing twice; an
// empty ID takes one that nobody else has.
func (c *Client) Propose(ctx context.Context, id string, base uint64, p policy.Policy, why string) (*policy.Change, error) {
	if id == "" {
		var b [12]byte
		rand.Read(b[:])
		id = hex.EncodeToString(b[:])
	}
	a, err := c.do(ctx, http.MethodPost, ProposePath, Proposal{Form, policy.Change{ID: id, Base: base, Policy: p, Reason: why}})
	if err != nil {
		return nil, err
	}
	return a.Change, nil
}

// GiveUp ends a change that is being prepared.
func (c *Client) GiveUp(ctx context.Context, number uint64, why string) error {
	_, err := c.do(ctx, http.MethodPost, EndPath, Name{Form: Form, Number: number, Why: why})
	return err
}

// Forget strikes a gatherer that will never come back from those whose floors bound what can be proposed.
func (c *Client) Forget(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodPost, ForgetPath, Name{Form: Form, Name: name})
	return err
}

// Steward takes a steward in or out of those that agree.
func (c *Client) Steward(ctx context.Context, name string, out bool) error {
	_, err := c.do(ctx, http.MethodPost, StewardPath, Name{Form: Form, Name: name, Out: out})
	return err
}

// Await waits until a change has ended and what it decided holds everywhere; seen is told what lacks, when that changes.
func (c *Client) Await(ctx context.Context, number uint64, seen func(string)) (*policy.Change, error) {
	told := ""
	for {
		s, err := c.Status(ctx)
		if err != nil && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		line := ""
		switch {
		case err != nil:
			line = err.Error()
		case s.Record.Pending != nil && s.Record.Pending.Number == number:
			line = s.Waits
		case s.Record.LastEnded >= number:
			var end *policy.Change
			for i := range s.Record.History {
				if s.Record.History[i].Number == number {
					end = &s.Record.History[i]
				}
			}
			if end == nil {
				return nil, fmt.Errorf("change %d ended long ago", number)
			}
			if end.Outcome != policy.Committed || s.Everywhere {
				return end, nil
			}
			line = "decided; not yet heard by " + strings.Join(s.Missing, ", ")
		}
		if line != told && line != "" {
			told = line
			seen(line)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

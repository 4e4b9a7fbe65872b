package policyapi

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"yokeroute/logic/policy"
)

// Limits of a document. A reader rejects a document that exceeds them, so that no peer can exhaust its memory.
const (
	MaxBytes       = 4 << 20
	maxEntries     = 10_000
	maxNameBytes   = 200
	maxReasonBytes = 2000
	maxKnownKinds  = 100
	maxWaitMillis  = 60_000
	maxLeaseMillis = 3_600_000
)

// Read reads a document and checks its size and its format number, but not its fields.
func Read[T any](from io.Reader) (*T, error) {
	text, err := io.ReadAll(io.LimitReader(from, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("is over %d bytes long", MaxBytes)
	}
	var header struct {
		Format int `json:"policy"`
	}
	if err := unmarshal(text, &header); err != nil {
		return nil, err
	}
	if header.Format != Format {
		return nil, fmt.Errorf("is of the form %d, this version takes %d", header.Format, Format)
	}
	doc := new(T)
	if err := unmarshal(text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// ReadPollRequest reads a PollRequest and checks its fields.
func ReadPollRequest(from io.Reader) (*PollRequest, error) {
	r, err := Read[PollRequest](from)
	if err != nil {
		return nil, err
	}
	h := &r.Heartbeat
	switch {
	case h.Name == "" || len(h.Name) > maxNameBytes:
		return nil, fmt.Errorf("hello.name: wants 1 to %d bytes", maxNameBytes)
	case h.Incarnation == "" || len(h.Incarnation) > maxNameBytes:
		return nil, fmt.Errorf("hello.process: wants 1 to %d bytes", maxNameBytes)
	case len(h.KnownKinds) > maxKnownKinds || len(h.RefusalReason) > maxReasonBytes:
		return nil, errors.New("hello: a text or list is too long")
	case len(h.Version) > maxNameBytes || len(h.Zone) > maxNameBytes:
		return nil, errors.New("hello: a text or list is too long")
	case !(r.WaitMillis >= 0 && r.WaitMillis <= maxWaitMillis): // rejects NaN as well
		return nil, fmt.Errorf("wait: %g ms, 0 to %d can be", r.WaitMillis, maxWaitMillis)
	}
	if err := checkPolicy("hello.floor", h.Fallback); err != nil {
		return nil, err
	}
	return r, nil
}

// ReadPollResponse reads a PollResponse and checks its fields.
func ReadPollResponse(from io.Reader) (*PollResponse, error) {
	r, err := Read[PollResponse](from)
	if err != nil {
		return nil, err
	}
	if r.Update == nil {
		return r, nil
	}
	if err := checkUpdate(r.Update); err != nil {
		return nil, err
	}
	return r, nil
}

// checkUpdate checks the fields of an update.
func checkUpdate(u *policy.Update) error {
	if err := checkPolicy("word.policy", u.Policy); err != nil {
		return err
	}
	switch {
	case !(u.Lease >= 0 && u.Lease <= maxLeaseMillis): // rejects NaN as well
		return fmt.Errorf("word.lease: is %g ms, must be between 0 and an hour", u.Lease)
	case u.LastEnded < u.Epoch:
		return fmt.Errorf("word.last: %d is less than epoch %d", u.LastEnded, u.Epoch)
	case u.Pending == nil:
		return nil
	case u.Pending.Number != u.LastEnded+1:
		return fmt.Errorf("word.change: %d does not follow %d", u.Pending.Number, u.LastEnded)
	}
	return checkPolicy("word.change", u.Pending.Policy)
}

// ReadProposeRequest reads a ProposeRequest and checks its fields.
func ReadProposeRequest(from io.Reader) (*ProposeRequest, error) {
	r, err := Read[ProposeRequest](from)
	if err != nil {
		return nil, err
	}
	c := &r.Change
	if c.ID == "" || len(c.ID) > maxNameBytes || len(c.Reason) > maxReasonBytes {
		return nil, fmt.Errorf("change: wants an id, and no text over %d bytes", maxReasonBytes)
	}
	if err := checkPolicy("change.policy", c.Policy); err != nil {
		return nil, err
	}
	return r, nil
}

// checkPolicy checks that the entries of a policy are valid and in order. Errors start with field, the name of the
// document's field.
func checkPolicy(field string, p policy.Policy) error {
	if len(p) > maxEntries {
		return fmt.Errorf("%s: %d entries, at most %d can be", field, len(p), maxEntries)
	}
	ordered, err := policy.New(p)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	if !slices.Equal(ordered, p) {
		return fmt.Errorf("%s: its entries are out of order", field)
	}
	return nil
}

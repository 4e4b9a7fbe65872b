// Package policyapi defines the protocol between gatherers, operators and policy servers: HTTP requests with JSON
// documents, their paths, their readers, and the call that a client makes. docs/protocol-policy.md describes it.
//
// Names of fields differ from those on the wire, which struct tags hold.
package policyapi

import "yokeroute/logic/policy"

// Format is the format number of all documents. A reader refuses another number and skips fields that it does not
// know, so that a later version may add fields under the same number. A kind of policy entry that it does not know
// must not be skipped: it is refused by name.
const Format = 1

// Paths at a policy server.
const (
	PollPath        = "/policy/ask"     // from gatherers
	StatusPath      = "/policy/status"  // from operators, as are the next four
	ProposePath     = "/policy/propose" //
	AbandonPath     = "/policy/give-up"
	ForgetPath      = "/policy/forget"
	MembershipPath  = "/policy/steward"
	IncarnationPath = "/policy/boot" // from other policy servers
)

// PollRequest is a gatherer's long poll. The response is delayed while there is no news for the gatherer.
type PollRequest struct {
	Format     int              `json:"policy"`
	Heartbeat  policy.Heartbeat `json:"hello"`
	WaitMillis float64          `json:"wait"` // the longest delay of the response
}

// PollResponse answers a PollRequest.
type PollResponse struct {
	Format int            `json:"policy"`
	Update *policy.Update `json:"word,omitempty"`
}

// ProposeRequest proposes a policy. The change's ID is an idempotency key.
type ProposeRequest struct {
	Format int           `json:"policy"`
	Change policy.Change `json:"change"`
}

// AbandonRequest abandons the pending change.
type AbandonRequest struct {
	Format int    `json:"policy"`
	Number uint64 `json:"number,omitempty"`
	Reason string `json:"why,omitempty"`
}

// ChangeResponse answers a ProposeRequest or an AbandonRequest, and ForgetRequest without a change.
type ChangeResponse struct {
	Format int            `json:"policy"`
	Change *policy.Change `json:"change,omitempty"`
}

// ForgetRequest removes a gatherer from the members.
type ForgetRequest struct {
	Format int    `json:"policy"`
	Name   string `json:"name,omitempty"`
}

// MembershipRequest adds a policy server to the quorum, or removes it.
type MembershipRequest struct {
	Format int    `json:"policy"`
	Name   string `json:"name,omitempty"`
	Remove bool   `json:"out,omitempty"`
}

// MembershipResponse answers a MembershipRequest.
type MembershipResponse struct {
	Format int `json:"policy"`
}

// IncarnationRequest tells a policy server the number of another one's incarnation.
type IncarnationRequest struct {
	Format      int    `json:"policy"`
	Incarnation uint64 `json:"number,omitempty"`
	Name        string `json:"name,omitempty"`
}

// IncarnationResponse returns the highest incarnation that was known before, 0 for none.
type IncarnationResponse struct {
	Format      int    `json:"policy"`
	Incarnation uint64 `json:"boot,omitempty"`
}

// StatusResponse answers a GET of the status.
type StatusResponse struct {
	Format int     `json:"policy"`
	Status *Status `json:"status,omitempty"`
}

// Status is what the leader knows of the record and of the gatherers.
type Status struct {
	Server            string                `json:"steward"` // the leader's name
	Record            policy.Record         `json:"record"`
	Members           []policy.MemberStatus `json:"standings"`
	AppliedEverywhere bool                  `json:"everywhere"`
	Missing           []string              `json:"missing,omitempty"` // gatherers that have not applied the record
	WaitingFor        string                `json:"waits,omitempty"`   // what the pending change waits for
}

// ErrorResponse answers each request that failed.
type ErrorResponse struct {
	Format  int    `json:"policy"`
	Leader  string `json:"leader,omitempty"` // the leader's name, where the server is not the leader and knows it
	Message string `json:"error,omitempty"`
}

// Package policyapi defines the protocol between gatherers, operators and policy servers: HTTP requests with JSON
// documents. It has the paths, the documents and their readers, and the function by which clients send requests.
// docs/protocol-policy.md describes the protocol.
//
// Go field names differ from the names on the wire, which are in the struct tags.
package policyapi

import "yokeroute/logic/policy"

// Format is the format number of all documents. A reader rejects any other number and ignores unknown fields, so that
// a later version may add fields under the same number. An unknown kind of policy entry must not be ignored: the
// policy is rejected with an error that names the kind.
const Format = 1

// Paths at a policy server.
const (
	PollPath        = "/policy/ask"     // requested by gatherers
	StatusPath      = "/policy/status"  // requested by operators
	ProposePath     = "/policy/propose" // requested by operators
	AbandonPath     = "/policy/give-up" // requested by operators
	ForgetPath      = "/policy/forget"  // requested by operators
	MembershipPath  = "/policy/steward" // requested by operators
	IncarnationPath = "/policy/boot"    // requested by other policy servers
)

// PollRequest is a gatherer's long poll. The response is delayed until there is an update that the gatherer does not
// have, for WaitMillis at most.
type PollRequest struct {
	Format     int              `json:"policy"`
	Heartbeat  policy.Heartbeat `json:"hello"`
	WaitMillis float64          `json:"wait"` // maximum delay of the response, in milliseconds
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

// ChangeResponse answers a ProposeRequest or an AbandonRequest with the change. It also answers a ForgetRequest,
// without a change.
type ChangeResponse struct {
	Format int            `json:"policy"`
	Change *policy.Change `json:"change,omitempty"`
}

// ForgetRequest removes a gatherer from the members.
type ForgetRequest struct {
	Format int    `json:"policy"`
	Name   string `json:"name,omitempty"`
}

// MembershipRequest adds a policy server to the quorum, or removes one.
type MembershipRequest struct {
	Format int    `json:"policy"`
	Name   string `json:"name,omitempty"`
	Remove bool   `json:"out,omitempty"`
}

// MembershipResponse answers a MembershipRequest.
type MembershipResponse struct {
	Format int `json:"policy"`
}

// IncarnationRequest announces to a policy server the incarnation number of another policy server.
type IncarnationRequest struct {
	Format      int    `json:"policy"`
	Incarnation uint64 `json:"number,omitempty"`
	Name        string `json:"name,omitempty"`
}

// IncarnationResponse returns the highest incarnation that was known before the request, 0 for none.
type IncarnationResponse struct {
	Format      int    `json:"policy"`
	Incarnation uint64 `json:"boot,omitempty"`
}

// StatusResponse answers a GET request for StatusPath.
type StatusResponse struct {
	Format int     `json:"policy"`
	Status *Status `json:"status,omitempty"`
}

// Status holds what the leader knows about the record and the gatherers.
type Status struct {
	Server            string                `json:"steward"` // the leader's name
	Record            policy.Record         `json:"record"`
	Members           []policy.MemberStatus `json:"standings"`
	AppliedEverywhere bool                  `json:"everywhere"`
	Missing           []string              `json:"missing,omitempty"` // gatherers that have not applied the record
	WaitingFor        string                `json:"waits,omitempty"`   // why the pending change is not decided yet
}

// ErrorResponse answers a request that failed.
type ErrorResponse struct {
	Format  int    `json:"policy"`
	Leader  string `json:"leader,omitempty"` // name of the leader, if the server is not the leader and knows which one is
	Message string `json:"error,omitempty"`
}

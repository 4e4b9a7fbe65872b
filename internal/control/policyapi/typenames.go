package policyapi

import (
	"encoding/json"
	"errors"
	"strings"
)

// wireTypeNames replaces names of Go types and fields in errors of package encoding/json. Policy servers send these
// errors to clients, so their texts are part of the protocol and keep the names that the types had at first.
var wireTypeNames = strings.NewReplacer(
	"type struct { Format int ", "type struct { Form int ",
	"field PollRequest.", "field Ask.",
	"field Heartbeat.", "field Hello.",
	"field Revision.", "field Fence.",
	"field ProposeRequest.", "field Proposal.",
	"field AbandonRequest.", "field Name.",
	"field ForgetRequest.", "field Name.",
	"field MembershipRequest.", "field Name.",
	"field IncarnationRequest.", "field Name.",
	"type policy.Heartbeat", "type policy.Hello",
	"type policy.Revision", "type policy.Fence",
	"type policy.Outcome", "type policy.End",
)

// typeError reports a field of the wrong type. Its text has the type names of the protocol instead of the Go names.
type typeError struct{ err *json.UnmarshalTypeError }

// Error returns the text that is sent to clients.
func (e typeError) Error() string { return wireTypeNames.Replace(e.err.Error()) }

// Unwrap returns the error of package encoding/json.
func (e typeError) Unwrap() error { return e.err }

// unmarshal parses JSON like json.Unmarshal, with errors that have the type names of the protocol.
func unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return typeError{mismatch}
	}
	return err
}

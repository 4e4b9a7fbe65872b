package policyapi

import (
	"encoding/json"
	"errors"
	"strings"
)

// wireTypeNames replaces names of Go types in errors of package json. Policy servers send these errors to clients, so
// their texts are part of the protocol and keep the names that the types first had.
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

// typeError is an error about the type of a field, with the type names of the protocol.
type typeError struct{ err *json.UnmarshalTypeError }

// Error returns the text of the protocol.
func (e typeError) Error() string { return wireTypeNames.Replace(e.err.Error()) }

// Unwrap returns the error of package json.
func (e typeError) Unwrap() error { return e.err }

// unmarshal reads a JSON text.
func unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return typeError{mismatch}
	}
	return err
}

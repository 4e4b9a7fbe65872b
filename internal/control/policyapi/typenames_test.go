package policyapi

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestKeptTypeErrors checks that a field of the wrong type is reported with the same text as by a released version,
// since clients receive it.
func TestKeptTypeErrors(t *testing.T) {
	type reader func(io.Reader) error
	poll := func(r io.Reader) error { _, err := ReadPollRequest(r); return err }
	propose := func(r io.Reader) error { _, err := ReadProposeRequest(r); return err }
	abandon := func(r io.Reader) error { _, err := Read[AbandonRequest](r); return err }
	forget := func(r io.Reader) error { _, err := Read[ForgetRequest](r); return err }
	member := func(r io.Reader) error { _, err := Read[MembershipRequest](r); return err }
	incarnation := func(r io.Reader) error { _, err := Read[IncarnationRequest](r); return err }
	for _, c := range []struct {
		read       reader
		text, want string
	}{
		{poll, `[]`, `array into Go value of type struct { Form int "json:\"policy\"" }`},
		{poll, `5`, `number into Go value of type struct { Form int "json:\"policy\"" }`},
		{poll, `{"policy":"x"}`, `string into Go struct field .policy of type int`},
		{poll, `{"policy":1,"hello":5}`, `number into Go struct field Ask.hello of type policy.Hello`},
		{poll, `{"policy":1,"hello":{"name":5}}`, `number into Go struct field Hello.hello.Member.name of type string`},
		{poll, `{"policy":1,"hello":{"holds":5}}`, `number into Go struct field Hello.hello.holds of type policy.Fence`},
		{poll, `{"policy":1,"hello":{"holds":{"epoch":-1}}}`,
			`number -1 into Go struct field Fence.hello.holds.epoch of type uint64`},
		{poll, `{"policy":1,"hello":{"floor":{}}}`,
			`object into Go struct field Hello.hello.Member.floor of type policy.Policy`},
		{poll, `{"policy":1,"hello":{"floor":[{"kind":5}]}}`,
			`number into Go struct field Entry.hello.Member.floor.kind of type policy.Kind`},
		{poll, `{"policy":1,"hello":{"knows":[5]}}`,
			`number into Go struct field Hello.hello.Member.knows of type policy.Kind`},
		{poll, `{"policy":1,"wait":"x"}`, `string into Go struct field Ask.wait of type float64`},
		{propose, `{"policy":1,"change":5}`, `number into Go struct field Proposal.change of type policy.Change`},
		{propose, `{"policy":1,"change":{"policy":5}}`,
			`number into Go struct field Change.change.policy of type policy.Policy`},
		{propose, `{"policy":1,"change":{"end":5}}`, `number into Go struct field Change.change.end of type policy.End`},
		{abandon, `{"policy":1,"number":"x"}`, `string into Go struct field Name.number of type uint64`},
		{abandon, `{"policy":1,"why":5}`, `number into Go struct field Name.why of type string`},
		{forget, `{"policy":1,"name":5}`, `number into Go struct field Name.name of type string`},
		{member, `{"policy":1,"out":5}`, `number into Go struct field Name.out of type bool`},
		{incarnation, `{"policy":1,"name":5}`, `number into Go struct field Name.name of type string`},
	} {
		err := c.read(strings.NewReader(c.text))
		if err == nil || err.Error() != "json: cannot unmarshal "+c.want {
			t.Errorf("%s: error %v, want %q", c.text, err, c.want)
		}
		var mismatch *json.UnmarshalTypeError
		if !errors.As(err, &mismatch) {
			t.Errorf("%s: error of type %T wraps no *json.UnmarshalTypeError", c.text, err)
		}
	}
}

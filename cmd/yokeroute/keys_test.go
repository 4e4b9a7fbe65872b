package main

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
)

// TestKeysCommandsMakeAndCheck makes keys, finds them valid, and finds what is wrong with others.
func TestKeysCommandsMakeAndCheck(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	in := func(text string) string { return strings.ReplaceAll(text, "K/", dir+"/") }
	for _, c := range []struct {
		args, want string
		err        string // no, or words of the error
	}{
		{"keys make K/ --server control=127.0.0.1,localhost --client p1", "p1.pem: for a client, p1, until", ""},
		{"keys make K/ --client p2=spiffe://yard/p2", "for a client, spiffe://yard/p2", ""},
		{"keys check --cert K/control.pem --key K/control.key --trust K/ca.pem", "fit for use\n  names        localhost, 127.0.0.1", ""},
		{"keys check --for client --cert K/p2.pem --key K/p2.key --trust K/ca.pem -o json", `"names":["spiffe://yard/p2"]`, ""},
		{"keys check --cert K/p1.pem --key K/p1.key --trust K/ca.pem", "may not be used for a server", "no"},
		{"keys check --cert K/p1.pem --key K/p2.key --trust K/p1.pem --for client", "is not the key of the certificate", "no"},
		{"keys check --at 2099-01-01 --cert K/control.pem --key K/control.key --trust K/ca.pem", "has expired at", "no"},
		{"keys check --at tomorrow --cert a --key b --trust c", "", `"tomorrow" is no date`},
		{"keys check --for both --cert a --key b --trust c", "", `"both" is neither`},
		{"keys check --cert a --key b", "", "--trust names no file"},
		{"keys make K/ --client ca", "", `"ca" is no name`},
		{"keys make K/ --client ../p", "", `"../p" is no name`},
		{"keys make K/ --days 0", "", "--days: 0"},
	} {
		out, err := execute(t, strings.Fields(in(c.args))...)
		switch {
		case c.err == "" && err != nil, c.err == "no" && !errors.Is(err, errNegative),
			c.err != "" && c.err != "no" && (err == nil || !strings.Contains(err.Error(), c.err)):
			t.Errorf("%s: %v\n%s", c.args, err, out)
		case !strings.Contains(out, c.want):
			t.Errorf("%s: lacks %q:\n%s", c.args, c.want, out)
		}
	}
}

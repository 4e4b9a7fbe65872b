// Package admission decides which connections a TLS listener accepts, which roles they have, how many may be
// open, and when a connection has to end.
//
// Rules admit peers by the names in their certificates and by their addresses. A peer that matches no rule is
// never admitted. Connections that are not authenticated yet have a separate limit and a timeout, so that a
// flood of them does not keep known peers out. When keys are rotated, connections of peers that are no longer
// trusted end at once, and the others within the rotation period. The package does no I/O.
package admission

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"
)

// Role is a bit set of the permissions of a peer. Roles are combined with a bitwise or.
type Role int

// The roles of a peer.
const (
	Subscriber    Role = 1 << iota // receives configuration
	Administrator                  // reads the state of the service
)

var roleNames = []string{"subscriber", "administrator"}

// RoleNames returns the names that ParseRole accepts.
func RoleNames() []string { return slices.Clone(roleNames) }

// ParseRole returns the role with a name, and whether there is one.
func ParseRole(name string) (Role, bool) {
	i := slices.Index(roleNames, name)
	return 1 << max(i, 0), i >= 0
}

// Text returns the names of the roles, separated by commas, or "nothing".
func (r Role) Text() string {
	var all []string
	for i, name := range roleNames {
		if r&(1<<i) != 0 {
			all = append(all, name)
		}
	}
	if len(all) == 0 {
		return "nothing"
	}
	return strings.Join(all, ", ")
}

// Rule admits the peers with a name.
type Rule struct {
	Name     string         // name in the certificate; a * at its beginning or end matches any non-empty text
	Roles    Role           // roles that the peers get
	From     []netip.Prefix // addresses of the peers, none for any address
	MaxConns int            // limit of open connections of one name, 0 for no limit
}

// matches reports whether the rule's name matches a name. A * matches at least one character, and a dot or
// slash next to it has to match as well: *.example does not match example.
func (r *Rule) matches(name string) bool {
	if prefix, isWildcard := strings.CutSuffix(r.Name, "*"); isWildcard {
		return len(name) > len(prefix) && strings.HasPrefix(name, prefix) || r.Name == "*" && name != ""
	}
	if suffix, isWildcard := strings.CutPrefix(r.Name, "*"); isWildcard {
		return len(name) > len(suffix) && strings.HasSuffix(name, suffix)
	}
	return r.Name == name
}

// CheckName validates a rule's name.
func CheckName(name string) error {
	switch inner := strings.TrimSuffix(strings.TrimPrefix(name, "*"), "*"); {
	case name == "":
		return fmt.Errorf("is empty")
	case strings.Contains(inner, "*"), len(name) > 1 && len(inner) < len(name)-1:
		return fmt.Errorf("may have one * at its beginning or at its end")
	}
	return nil
}

// Rules holds the rules of a listener. It is immutable and safe for concurrent use.
type Rules struct {
	rules             []Rule
	addressesByRule   []*bart.Lite // addresses that each rule admits, nil for any address
	admittedAddresses *bart.Lite   // addresses that at least one rule admits, nil for any address
}

// NewRules returns the rules of a listener.
func NewRules(rules []Rule) *Rules {
	r := &Rules{rules: slices.Clone(rules), admittedAddresses: &bart.Lite{}}
	anyUnrestricted := false
	for _, rule := range r.rules {
		var set *bart.Lite
		for _, p := range rule.From {
			if set == nil {
				set = &bart.Lite{}
			}
			set.Insert(p)
			r.admittedAddresses.Insert(p)
		}
		anyUnrestricted = anyUnrestricted || set == nil
		r.addressesByRule = append(r.addressesByRule, set)
	}
	if anyUnrestricted {
		r.admittedAddresses = nil
	}
	return r
}

// AdmitsAddress reports whether any rule admits peers from an address. It is checked before the handshake.
func (r *Rules) AdmitsAddress(from netip.Addr) bool {
	return len(r.rules) > 0 && (r.admittedAddresses == nil || r.admittedAddresses.Contains(from.Unmap()))
}

// Rejection is the error returned for a peer that is not admitted and whose connection has to end.
type Rejection string

func (r Rejection) Error() string { return string(r) }

// Admit returns the name under which a peer is admitted, its roles, and how many connections the name may
// have open, 0 for no limit. The argument names holds the names in the peer's certificate.
func (r *Rules) Admit(names []string, from netip.Addr) (name string, roles Role, maxConns int, err error) {
	if len(names) == 0 {
		return "", 0, 0, Rejection("the certificate contains no name")
	}
	wrongAddressName := ""
	for _, certName := range names {
		for i := range r.rules {
			if !r.rules[i].matches(certName) {
				continue
			}
			if r.addressesByRule[i] != nil && !r.addressesByRule[i].Contains(from.Unmap()) {
				wrongAddressName = certName
				continue
			}
			if name == "" {
				name = certName
			}
			if certName == name {
				roles |= r.rules[i].Roles
				if m := r.rules[i].MaxConns; m > 0 && (maxConns == 0 || m > maxConns) {
					maxConns = m
				}
			}
		}
		if name != "" {
			return name, roles, maxConns, nil
		}
	}
	if wrongAddressName != "" {
		return "", 0, 0, Rejection(fmt.Sprintf("%q is not admitted from %s", wrongAddressName, from.Unmap()))
	}
	return "", 0, 0, Rejection(fmt.Sprintf("no rule admits %q", names[0]))
}

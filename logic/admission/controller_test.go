package admission

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") }

var (
	internalAddr = netip.MustParseAddr("10.1.2.3")
	externalAddr = netip.MustParseAddr("192.0.2.7")
)

func TestRulesAdmitByNameAndAddress(t *testing.T) {
	prefixes := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("2001:db8::/32")}
	rules := NewRules([]Rule{
		{Name: "proxy-*", Roles: Subscriber, From: prefixes, MaxConns: 2},
		{Name: "proxy-7", Roles: Administrator, From: prefixes, MaxConns: 5},
		{Name: "*.ops.example", Roles: Administrator},
		{Name: "spiffe://yard/*", Roles: Subscriber, From: prefixes},
	})
	for _, c := range []struct {
		names string
		from  netip.Addr
		want  string
	}{
		{"proxy-1", internalAddr, "proxy-1 subscriber 2"},
		{"proxy-7", internalAddr, "proxy-7 subscriber, administrator 5"},
		{"proxy-1", netip.MustParseAddr("::ffff:10.9.9.9"), "proxy-1 subscriber 2"},
		{"proxy-1", netip.MustParseAddr("2001:db8::1"), "proxy-1 subscriber 2"},
		{"proxy-1", externalAddr, `"proxy-1" is not admitted from 192.0.2.7`},
		{"proxy-", internalAddr, `no rule admits "proxy-"`},
		{"ann.ops.example", externalAddr, "ann.ops.example administrator 0"},
		{".ops.example", externalAddr, `no rule admits ".ops.example"`},
		{"ops.example", externalAddr, `no rule admits "ops.example"`},
		{"nobody spiffe://yard/x", internalAddr, "spiffe://yard/x subscriber 0"},
		{"nobody", internalAddr, `no rule admits "nobody"`},
		{"", internalAddr, "the certificate contains no name"},
	} {
		name, roles, maxConns, err := rules.Admit(strings.Fields(c.names), c.from)
		got := fmt.Sprintf("%s %s %d", name, roles.Text(), maxConns)
		if err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("Admit of %q from %s: %s, want %s", c.names, c.from, got, c.want)
		}
	}
	if NewRules(nil).AdmitsAddress(internalAddr) || !rules.AdmitsAddress(externalAddr) || NewRules([]Rule{{Name: "*", From: prefixes}}).AdmitsAddress(externalAddr) {
		t.Error("AdmitsAddress: want true if a rule has no addresses, false for an address outside all rules")
	}
	for name, valid := range map[string]bool{"*": true, "a*": true, "*a": true, "a*b": false, "*a*": false, "": false, "**": false} {
		if (CheckName(name) == nil) != valid {
			t.Errorf("CheckName(%q) = %v; want no error: %v", name, CheckName(name), valid)
		}
	}
}

// TestConnectionsEndAfterKeyRotationExpiryAndNewRules checks that connections of an authority that is no
// longer trusted end at once and the others evenly spread over the rotation period, that a connection ends
// when its certificate expires, and that new rules end the connections that they no longer admit.
func TestConnectionsEndAfterKeyRotationExpiryAndNewRules(t *testing.T) {
	controller := NewController(Limits{MaxConns: 100, MaxUnauthenticated: 100, HandshakeTimeout: 1000, RotationPeriod: 10_000}, NewRules([]Rule{{Name: "*", Roles: Subscriber}}))
	var ids []uint64
	for i := range 10 {
		id, err := controller.Accept(internalAddr, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := controller.Authenticate(id, Peer{Names: []string{fmt.Sprint("p", i)}, Expires: 1e6}, 0, 0); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	pending, _ := controller.Accept(internalAddr, 0)
	terminations := controller.RotateKeys(func(id uint64) bool { return id != ids[3] }, 100)
	if len(terminations) != 1 || terminations[0].Conn != ids[3] {
		t.Fatalf("RotateKeys returns %v, want only the connection that is no longer trusted", terminations)
	}
	controller.Remove(ids[3])
	if _, _, err := controller.Authenticate(pending, Peer{Names: []string{"late"}, Expires: 1e6}, 0, 200); err == nil {
		t.Error("a connection verified with rotated keys was admitted")
	}
	controller.Remove(pending)
	ended := 0
	for now := 100.0; now <= 10_200; now += 100 {
		expired := controller.Expire(now)
		if len(expired) > 1 {
			t.Errorf("%d connections end at once, want at most 1", len(expired))
		}
		for _, e := range expired {
			controller.Remove(e.Conn)
			ended++
		}
	}
	if ended != 9 || controller.Counts().Open != 0 {
		t.Errorf("%d connections ended in the rotation period, want 9; counts %+v, want none open", ended,
			controller.Counts())
	}
	id, _ := controller.Accept(internalAddr, 20_000)
	if _, _, err := controller.Authenticate(id, Peer{Names: []string{"p"}, Expires: 30_000}, controller.KeyGeneration(), 20_000); err != nil {
		t.Fatal(err)
	}
	if len(controller.Expire(29_999)) != 0 || len(controller.Expire(30_000)) != 1 {
		t.Error("a connection whose certificate expires at 30000 does not end exactly then")
	}
	if terminations := controller.Reconfigure(controller.limits, NewRules([]Rule{{Name: "p", Roles: Administrator}})); len(terminations) != 1 {
		t.Errorf("after its role was taken away, the connections to end are %v, want one", terminations)
	}
	if terminations := controller.Reconfigure(controller.limits, NewRules([]Rule{{Name: "p", Roles: Administrator | Subscriber}})); len(terminations) != 0 {
		t.Errorf("after a role was added, the connections to end are %v, want none", terminations)
	}
	if terminations := controller.Reconfigure(controller.limits, NewRules([]Rule{{Name: "q", Roles: Subscriber}})); len(terminations) != 1 {
		t.Errorf("after no rule admits its name, the connections to end are %v, want one", terminations)
	}
}

// TestLimitsAndCountsMatchModel compares the controller with a simple model through random operations: it
// accepts and authenticates connections exactly up to its limits, and its counts are right.
func TestLimitsAndCountsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController(Limits{MaxConns: 6, MaxUnauthenticated: 3, HandshakeTimeout: 50, RotationPeriod: -1}, NewRules([]Rule{{Name: "a*", Roles: Subscriber, MaxConns: 2}, {Name: "b*", Roles: Subscriber}}))
		now := 0.0
		var open []uint64
		names := map[uint64]string{}
		for range 60 {
			now += 10
			drawConn := func() uint64 {
				if len(open) == 0 {
					return 999
				}
				return open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
			}
			remove := func(id uint64) {
				controller.Remove(id)
				open = slices.DeleteFunc(open, func(o uint64) bool { return o == id })
				delete(names, id)
			}
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				unauthenticated := len(open) - len(names)
				id, err := controller.Accept(internalAddr, now)
				if withinLimits := len(open) < 6 && unauthenticated < 3; (err == nil) != withinLimits {
					t.Fatalf("Accept with %d open and %d unauthenticated connections: %v; want no error: %v", len(open),
						unauthenticated, err, withinLimits)
				}
				if err == nil {
					open = append(open, id)
				}
			case 1:
				id, name := drawConn(), rapid.SampledFrom([]string{"a1", "a2", "b1", "c1"}).Draw(t, "name")
				if _, authenticated := names[id]; id == 999 || authenticated {
					continue
				}
				sameName := 0
				for _, n := range names {
					if n == name {
						sameName++
					}
				}
				_, _, err := controller.Authenticate(id, Peer{Names: []string{name}, Expires: 1e9}, 0, now)
				if admissible := name[0] == 'b' || name[0] == 'a' && sameName < 2; (err == nil) != admissible {
					t.Fatalf("Authenticate of %s with %d connections of the name: %v; want no error: %v", name,
						sameName, err, admissible)
				}
				if err == nil {
					names[id] = name
				}
			case 2:
				remove(drawConn())
			case 3:
				for _, e := range controller.Expire(now) {
					if _, authenticated := names[e.Conn]; authenticated {
						t.Fatalf("Expire ends the authenticated connection %v, want only unauthenticated ones", e)
					}
					remove(e.Conn)
				}
			}
			if c := controller.Counts(); c.Open != len(open) || c.Unauthenticated != len(open)-len(names) {
				t.Fatalf("counts %+v, want %d open and %d of them unauthenticated", c, len(open), len(open)-len(names))
			}
		}
	})
}

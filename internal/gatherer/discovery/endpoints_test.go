package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// TestOlderListDoesNotRevertDrainOrRemoval applies sequences of responses about one server and checks its state after
// each.
func TestOlderListDoesNotRevertDrainOrRemoval(t *testing.T) {
	doc := func(revision int, full bool, phase string, upSince int) string {
		member := ""
		if phase != "" {
			member = fmt.Sprintf(`{"id":"s-00000001","host_port":"h:1","cell":0,"phase":%q,"up_since_ms":%d}`,
				phase, upSince)
		}
		return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, full, member)
	}
	const run, drain, removed = "in_service", "terminating", "terminated"
	for _, c := range []struct {
		name      string
		responses []string
		want      []gather.State // after each response; Removed if the server is not listed
	}{
		{"drain, then an older full list",
			[]string{doc(5, true, run, 9), doc(6, false, drain, 9), doc(5, true, run, 9)}, []gather.State{0, 1, 1}},
		{"removal, then an older full list", []string{doc(5, true, run, 9), doc(6, false, removed, 9),
			doc(5, true, run, 9)}, []gather.State{0, 2, 2}},
		{"removal without a start time, then an older full list",
			[]string{doc(5, true, run, 9), doc(6, false, removed, 0),
				doc(5, true, run, 9)},
			[]gather.State{0, 2, 2}},
		{"removal by name of a server started long ago, then an older full list",
			[]string{doc(5, true, run, 0), doc(6, false, removed, 0), doc(5, true, run, 9)}, []gather.State{0, 2, 2}},
		{"removal, then a later process",
			[]string{doc(5, true, run, 9), doc(6, false, removed, 9), doc(5, true, run, 10)},
			[]gather.State{0, 2, 0}},
		{"later process, then an older list with the previous one",
			[]string{doc(5, true, drain, 9), doc(6, false, run, 10), doc(5, true, drain, 9)}, []gather.State{1, 0, 0}},
		{"drain reverted by a change", []string{doc(5, true, run, 9), doc(6, false, drain, 9),
			doc(7, false, run, 9)}, []gather.State{0, 1, 0}},
		{"drain reverted by a newer full list", []string{doc(5, true, drain, 9), doc(7, true, run, 9)},
			[]gather.State{1, 0}},
		{"full list without the server, then an older one with it",
			[]string{doc(5, true, run, 9), doc(6, true, "", 0), doc(5, true, run, 9)}, []gather.State{0, 2, 0}},
		{"drain, full list without the server, then an older one with it",
			[]string{doc(5, true, run, 9), doc(6, false, drain, 9), doc(7, true, "", 0),
				doc(5, true, run, 9)}, []gather.State{0, 1, 2, 2}},
		{"agent that restarts its revisions",
			[]string{doc(50, true, run, 9), doc(1, true, run, 9), doc(2, false, drain, 9),
				doc(3, true, drain, 9)}, []gather.State{0, 0, 1, 1}},
	} {
		var all []shardcall.Address
		var list gather.EndpointList
		watcher := New(Config{
			Address:  "127.0.0.1:1",
			OnChange: func(l gather.EndpointList, a []shardcall.Address) { list, all = l, a },
		})
		for i, text := range c.responses {
			r, err := ParseResponse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			watcher.Apply(r)
			state, listed := gather.Removed, gather.Removed
			for _, a := range all {
				state = a.State
			}
			for _, s := range list.Endpoints {
				listed = s.State
			}
			if state != c.want[i] || listed != c.want[i] {
				t.Errorf("%s: after response %d the state is %v, the endpoint list says %v, want %v",
					c.name, i, state, listed, c.want[i])
			}
		}
	}
}

// TestRemovedNamesAreBounded removes more servers than maxRemovedNames and checks that only the newest are remembered.
func TestRemovedNamesAreBounded(t *testing.T) {
	watcher := New(Config{
		Address:  "127.0.0.1:1",
		OnChange: func(gather.EndpointList, []shardcall.Address) {},
	})
	for i := range 3 * maxRemovedNames {
		r, err := ParseResponse(fmt.Appendf(nil, `{"revision":%d,"members":[{"id":"s-%d","phase":"terminated"}]}`,
			i, i))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(r)
	}
	if len(watcher.endpoints.observations) > maxRemovedNames ||
		len(watcher.endpoints.removedNames) > maxRemovedNames ||
		!slices.Contains(watcher.endpoints.removedNames, fmt.Sprint("s-", 3*maxRemovedNames-1)) {
		t.Errorf("%d observations, %d removed names, want at most maxRemovedNames and the newest name among them",
			len(watcher.endpoints.observations), len(watcher.endpoints.removedNames))
	}
}

// TestNamesWithSameIDDigitsGetDistinctIDs lists two names that end in the same hex digits and a third whose own ID is
// then taken. The first name is removed and listed again; the ID of the second must not change.
func TestNamesWithSameIDDigitsGetDistinctIDs(t *testing.T) {
	const first, second, third = "s-0000002a", "t-0000002a", "s-0000002b"
	if ServerID(first) != ServerID(second) || ServerID(third) != ServerID(first)+1 {
		t.Fatal("the first two names must have the same ID and the third the next one")
	}
	idByName := map[string]uint32{}
	watcher := New(Config{Address: "127.0.0.1:1", OnChange: func(_ gather.EndpointList, all []shardcall.Address) {
		clear(idByName)
		for _, a := range all {
			if a.HostPort != a.Name+":1" {
				t.Errorf("%s has the address %s, want its name with port 1", a.Name, a.HostPort)
			}
			idByName[a.Name] = a.ID
		}
	}, Log: logrus.New()})
	revision := 0
	apply := func(complete bool, phase string, names ...string) {
		revision++
		var entries []string
		for _, name := range names {
			entries = append(entries, fmt.Sprintf(`{"id":"%s","host_port":"%s:1","cell":0,"phase":"%s"}`, name,
				name, phase))
		}
		r, err := ParseResponse(fmt.Appendf(nil, `{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete,
			strings.Join(entries, ",")))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(r)
		ids := map[uint32]bool{}
		for _, id := range idByName {
			ids[id] = true
		}
		if len(ids) != len(idByName) {
			t.Errorf("after %v: IDs %v are not distinct", names, idByName)
		}
	}
	apply(true, "in_service", first, second, third)
	if len(idByName) != 3 {
		t.Errorf("IDs by name: %v, want three", idByName)
	}
	secondID := idByName[second]
	apply(false, "terminated", first)
	if _, listed := idByName[first]; listed || idByName[second] != secondID {
		t.Errorf("IDs by name: %v, want none of the first name and the same of the second", idByName)
	}
	apply(false, "in_service", first)
	if len(idByName) != 3 || idByName[second] != secondID {
		t.Errorf("IDs by name: %v, want three, and the same of the second", idByName)
	}
}

// TestRemovedEndpointsAreDeleted replaces each server by one with a new name, through a change or a full list without
// it. The table must keep nothing of the removed ones.
func TestRemovedEndpointsAreDeleted(t *testing.T) {
	listed := 0
	watcher := New(Config{
		Address:  "127.0.0.1:1",
		OnChange: func(_ gather.EndpointList, a []shardcall.Address) { listed = len(a) },
	})
	for i := range 1000 {
		text := `{"revision":%d,"complete":%t,"members":[{"id":"s-%d","phase":"terminated"},{"id":"s-%d","host_port":"h:1","cell":0,"phase":"in_service"}]}`
		r, err := ParseResponse(fmt.Appendf(nil, text, i, i%10 == 0, i, i+1))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(r)
		if listed != 1 || len(watcher.endpoints.idByName) != 1 || len(watcher.endpoints.nameByID) != 1 ||
			len(watcher.endpoints.addresses) != 1 || len(watcher.endpoints.order) != 1 {
			t.Fatalf("after response %d: %d listed, %d names, %d IDs, %d addresses, %d in order; want 1 of each", i,
				listed, len(watcher.endpoints.idByName), len(watcher.endpoints.nameByID),
				len(watcher.endpoints.addresses), len(watcher.endpoints.order))
		}
	}
}

// TestServerIDsAreStableAndDistinct checks that IDs follow from the name, as each gatherer and each start must compute
// the same ones, and that two servers get distinct IDs.
func TestServerIDsAreStableAndDistinct(t *testing.T) {
	for name, want := range map[string]uint32{
		"s-5be2a07c": 0x5be2a07c, // the digits of the name
		"s-7":        0x169baa7e, // FNV-1a hashes of the names
		"s-zzzzzzzz": 0x31698c3d,
	} {
		if got := ServerID(name); got != want {
			t.Errorf("the ID of %s is %#x, want %#x", name, got, want)
		}
	}
	watcher := New(Config{Address: "127.0.0.1:1"})
	var ids []uint32
	for _, name := range []string{"s-00000005", "t-00000005", "s-00000005"} {
		ids = append(ids, watcher.endpoints.assignID(name))
	}
	if want := []uint32{5, 6, 5}; !slices.Equal(ids, want) {
		t.Errorf("IDs %v, want %v", ids, want)
	}
}

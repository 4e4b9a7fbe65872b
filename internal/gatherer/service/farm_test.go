package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/testbed/standin/discoveryserver"
	standin "yokeroute/internal/testbed/standin/segmentserver"
	"yokeroute/logic/ownership"
)

const ownedSettings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"a","discovery":"pushed",
 "classes":[{"name":"find","effect":"pure","goalTime":400000,"hardLimit":1500000,"lateValue":0.1},
  {"name":"claim","effect":"side_effect","goalTime":400000,"hardLimit":1500000}],
 "domain":{"cells":1,"inARow":1,"shards":4,"partsACall":16,"completeFrom":[1,1],"classFloor":[1,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1000,"attemptsCap":4,
  "secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.1,"extraFloor":20,"resendSpan":1000000,"drainGrace":250000,"answerSlack":20000}}`

// segmentFleet is a set of segment hosts with their segment authority and discovery server, and the gatherers that
// query them.
type segmentFleet struct {
	t         *testing.T
	hosts     []*standin.Host
	authority *standin.Authority
	discovery *discoveryserver.Server
	addresses []string
	stops     []func()
}

// startSegmentFleet starts the given number of hosts and gatherers. There are four segments at first, each owned by two
// hosts.
func startSegmentFleet(t *testing.T, hosts, gatherers int, logs *standin.SegmentLogs, state string) *segmentFleet {
	t.Helper()
	f := &segmentFleet{t: t}
	var members []discoveryserver.Member
	for i := range hosts {
		h, err := standin.NewHost(fmt.Sprint("h", i), logs, 3*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		f.hosts = append(f.hosts, h)
		members = append(members, discoveryserver.Member{
			ID: h.Name, HostPort: h.Address(), Zone: "a", Phase: "in_service", Size: 1,
		})
	}
	var list []ownership.Segment
	for i := range 4 {
		list = append(list, ownership.Segment{
			Name: fmt.Sprint("s", i), Range: ownership.ShardRange(i, 4),
			Owners: []string{f.hosts[i%hosts].Name, f.hosts[(i+1)%hosts].Name},
		})
	}
	first, err := ownership.NewMap(1, list)
	if err != nil {
		t.Fatal(err)
	}
	if f.authority, err = standin.StartAuthority(first, f.hosts, logs); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.authority.Close)
	if f.discovery, err = discoveryserver.Start(members); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.discovery.Close)
	for i := range gatherers {
		f.addGatherer(uint64(i+1), state)
	}
	return f
}

// addGatherer starts another gatherer. It does not wait until the gatherer is ready; stop ends it.
func (f *segmentFleet) addGatherer(seed uint64, state string) (stop func()) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"%x","settings":%s}`,
		l.Addr(), f.discovery.Address(), seed, ownedSettings)
	c, err := platform.Parse([]byte(config), func(string) string { return "" })
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	operatorFile := &operator.File{BackgroundShare: 0.05, MaxSegments: 256, SegmentAuthority: f.authority.Address()}
	if state != "" {
		operatorFile.State = state
		operatorFile.NameRetention = 60_000
		operatorFile.JournalMaxBytes = 1 << 20
	}
	s, err := New(c, operatorFile, log)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	stopOnce := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
	f.t.Cleanup(stopOnce)
	f.addresses = append(f.addresses, l.Addr().String())
	f.stops = append(f.stops, stopOnce)
	return stopOnce
}

// awaitReady waits until a gatherer answers a query on all shards with 200.
func (f *segmentFleet) awaitReady(address string) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		id := fmt.Sprint("ready-", time.Now().UnixNano())
		if a := sendOwned(address, "find", id, []int{0, 1, 2, 3}, "read"); a.status == http.StatusOK {
			return
		}
	}
	f.t.Fatal("the gatherer did not become ready within 10 s")
}

// answer is the response to a query. The exported fields are those of its JSON body.
type answer struct {
	status   int
	Complete bool
	Hits     []struct {
		Shard int
		Keys  string
		Doc   string
	}
}

// sendOwned sends a query and returns its answer, with status 0 if there is none or it cannot be parsed.
func sendOwned(address, index, id string, shards []int, text string) (a answer) {
	var body strings.Builder
	for i, s := range shards {
		fmt.Fprintf(&body, `%.*s{"shard":%d,"weight":%.6f}`, min(i, 1), ",", s, 1/float64(len(shards)))
	}
	query := strings.NewReader(fmt.Sprintf(`{"shards":[%s],"q":%q}`, body.String(), text))
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+index, query)
	if err != nil {
		return a
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", "1500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.status = resp.StatusCode
	if a.status == http.StatusOK && json.Unmarshal(all, &a) != nil {
		a.status = 0
	}
	return a
}

// checkCoverage checks that the documents of a complete answer cover each key of the shards exactly once.
func (a *answer) checkCoverage(shards []int) error {
	var got []ownership.Range
	for _, h := range a.Hits {
		r, err := ownership.ParseRange(strings.Fields(h.Doc)[0])
		if err != nil {
			return err
		}
		got = append(got, r)
	}
	slices.SortFunc(got, func(x, y ownership.Range) int {
		if x.Lo < y.Lo {
			return -1
		}
		return 1
	})
	for i, s := range shards {
		want := ownership.ShardRange(s, 4)
		for from := want.Lo; ; {
			if len(got) == 0 || got[0].Lo != from || got[0].Hi > want.Hi {
				return fmt.Errorf("shard %d, at index %d of the query: the documents do not cover %s exactly once", s, i, want.Text())
			}
			hi := got[0].Hi
			if got = got[1:]; hi == want.Hi {
				break
			}
			from = hi + 1
		}
	}
	if len(got) > 0 {
		return fmt.Errorf("%d unexpected documents", len(got))
	}
	return nil
}

// errRevert stands for a failed handover step, so that the handover is reverted.
var errRevert = fmt.Errorf("reverted")

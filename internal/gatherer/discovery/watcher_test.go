package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

const (
	fullDocument = `{"revision":41,"complete":true,"members":[` +
		`{"id":"s-5be2a07c","host_port":"127.0.0.1:1","locality":"a","flavor":"m","cell":3,"phase":"in_service","size":1.5,"up_since_ms":7},` +
		`{"id":"s-00000002","host_port":"127.0.0.1:2","cell":0,"phase":"terminating"}]}`
	changeDocument = `{"revision":43,"complete":false,"members":[{"id":"s-5be2a07c","phase":"terminated"}]}`
)

// address returns the host:port of a test agent.
func address(agent *httptest.Server) string { return strings.TrimPrefix(agent.URL, "http://") }

func TestParseResponseRejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"full list", fullDocument, ""},
		{"change", changeDocument, ""},
		{"no changes", `{"revision":41,"complete":false}`, ""},
		{"not JSON", `<html>`, "invalid"},
		{"no revision", `{"complete":true}`, "no revision"},
		{"no id", `{"revision":1,"members":[{"phase":"in_service"}]}`, "members[0]: no id"},
		{"unknown phase", `{"revision":1,"members":[{"id":"s","phase":"odd"}]}`, `members[0]: phase "odd"`},
		{"no cell", `{"revision":1,"members":[{"id":"s","phase":"in_service","host_port":"h:1"}]}`,
			"members[0]: no cell"},
		{"no address", `{"revision":1,"members":[{"id":"s","phase":"in_service","cell":0}]}`,
			"members[0]: host_port"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseResponse([]byte(c.text))
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// TestWatcherReportsListsChangesAndFailures runs a watcher against an agent that sends the full list, a change,
// several kinds of invalid responses, and the full list again.
func TestWatcherReportsListsChangesAndFailures(t *testing.T) {
	replies := []struct {
		query, body string
		status      int
	}{
		{"", fullDocument, 200},
		{"index=41&wait=2000", changeDocument, 200},
		{"index=43&wait=2000", `{"revision":44,`, 200},
		{"", "", 500},
		{"", strings.Replace(fullDocument, "41", "45", 1), 200}, // an older list would not revert the removal
		{"index=45&wait=2000", "", 0},
	}
	ctx, stop := context.WithCancel(t.Context())
	step := 0
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := replies[step]
		if r.URL.Path != "/api/targets" || r.URL.RawQuery != want.query {
			t.Errorf("request %d is for %v, want %q", step, r.URL, want.query)
		}
		if want.status == 0 {
			stop()
			return
		}
		step++
		w.WriteHeader(want.status)
		io.WriteString(w, want.body)
	}))
	defer agent.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	type notification struct {
		list gather.EndpointList
		all  []shardcall.Address
	}
	var got []notification
	watcher := New(Config{Address: address(agent), OnChange: func(l gather.EndpointList, all []shardcall.Address) {
		got = append(got, notification{l, all})
	}, Log: log})
	watcher.Run(ctx)
	first := gather.Endpoint{ID: 0x5be2a07c, ReplicaSet: 3, Zone: "a", Kind: "m", Size: 1.5, StartedAt: 7}
	second := gather.Endpoint{ID: 2, State: gather.Draining}
	both := []shardcall.Address{{ID: first.ID, Name: "s-5be2a07c", HostPort: "127.0.0.1:1", StartedAt: 7},
		{ID: 2, Name: "s-00000002", HostPort: "127.0.0.1:2", State: gather.Draining}}
	remaining := both[1:]
	want := []notification{
		{gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{first, second}}, both},
		{gather.EndpointList{Endpoints: []gather.Endpoint{{ID: first.ID, State: gather.Removed}}}, remaining},
		{gather.EndpointList{Failed: true}, remaining},
		{gather.EndpointList{Failed: true}, remaining},
		{gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{first, second}}, both},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("notified of %+v\nwant %+v", got, want)
	}
}

// TestAgentWithoutLongPollIsPolledWithPauses polls an agent that answers immediately instead of holding a long poll.
func TestAgentWithoutLongPollIsPolledWithPauses(t *testing.T) {
	for _, body := range []string{`{"revision":1,"complete":true}`, `{"revision":1,"complete":false}`} {
		ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
		calls := 0
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			io.WriteString(w, body)
		}))
		log := logrus.New()
		log.SetOutput(io.Discard)
		New(Config{
			Address:  address(agent),
			OnChange: func(gather.EndpointList, []shardcall.Address) {},
			Log:      log,
		}).Run(ctx)
		agent.Close()
		stop()
		if calls < 2 || calls > 15 {
			t.Errorf("%d requests in half a second, want 2 to 15", calls)
		}
	}
}

// TestUnresponsiveAgentIsReportedFailedAndPolledAgain polls an agent that accepts requests and does not answer them.
func TestUnresponsiveAgentIsReportedFailedAndPolledAgain(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	calls := make(chan struct{}, 10)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	defer agent.Close()
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	failed := make(chan bool, 10)
	watcher := New(Config{
		Address:  address(agent),
		OnChange: func(l gather.EndpointList, _ []shardcall.Address) { failed <- l.Failed },
		Log:      log,
	})
	go watcher.Run(ctx)
	<-calls
	if !<-failed {
		t.Error("notified of a list, want a failure")
	}
	<-calls
}

// TestFullListIsTakenFromFirstAnsweredRequest polls an agent that never answers the requests from its outage, and one
// that is slow. Further requests must be made while the first is in flight, and the first response must be used, even
// if it belongs to the oldest request.
func TestFullListIsTakenFromFirstAnsweredRequest(t *testing.T) {
	for _, answered := range []int{3, 1} {
		ctx, stop := context.WithCancel(t.Context())
		var calls atomic.Int32
		thirdReceived := make(chan struct{})
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n := int(calls.Add(1))
			if n == 3 {
				close(thirdReceived)
			}
			if n <= 3 && n == answered {
				select {
				case <-thirdReceived:
					io.WriteString(w, fullDocument)
				case <-r.Context().Done():
				}
				return
			}
			<-r.Context().Done()
		}))
		log := logrus.New()
		log.SetOutput(io.Discard)
		got := make(chan gather.EndpointList, 100)
		watcher := New(Config{
			Address:  address(agent),
			OnChange: func(l gather.EndpointList, _ []shardcall.Address) { got <- l },
			Log:      log,
		})
		go watcher.Run(ctx)
		if l := <-got; l.Failed || !l.Full || len(l.Endpoints) != 2 {
			t.Errorf("call %d answered: notified of %+v first, want a full list with 2 endpoints", answered, l)
		}
		stop()
		agent.Close()
	}
}

// TestSetAddressCancelsWatchAndRequestsFullList switches a watch to another agent. Revisions of two agents cannot be
// compared, so that the new one must be asked for its full list first.
func TestSetAddressCancelsWatchAndRequestsFullList(t *testing.T) {
	requests := make(chan string, 10)
	agent := func(name string) *httptest.Server {
		a := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- name + r.URL.RawQuery
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				return
			}
			io.WriteString(w, fullDocument)
		}))
		t.Cleanup(a.Close)
		return a
	}
	old, next := agent("old?"), agent("new?")
	log := logrus.New()
	log.SetOutput(io.Discard)
	failed := false
	watcher := New(Config{
		Address:  address(old),
		OnChange: func(l gather.EndpointList, _ []shardcall.Address) { failed = failed || l.Failed },
		Log:      log,
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { watcher.Run(ctx); close(ended) }()
	for i, want := range []string{"old?", "old?index=41&wait=2000", "new?", "new?index=41&wait=2000"} {
		if i == 2 {
			watcher.SetAddress(address(next))
		}
		if got := <-requests; got != want {
			t.Errorf("request %d is %s, want %s", i, got, want)
		}
	}
	watcher.SetAddress(address(next)) // an unchanged address must not interrupt the watch
	stop()
	<-ended
	if failed || len(requests) > 0 {
		t.Errorf("reported a failure: %v, %d more requests; want false, 0", failed, len(requests))
	}
}

package service

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

// abandonedWork is the work of each shard request, which its server executes even if it is cancelled. It is shorter than
// the latency objective, so that nothing is retried meanwhile.
const abandonedWork = 200 * time.Millisecond

// TestIDOfAbandonedQueryIsNotServedAgain guards against a shard request that runs twice because another client sends a
// request with the ID of a query whose client disconnects. Such requests get 409, whether they arrive while the first
// query is in flight or after its end, and no further shard request reaches a server: in queries of every effect kind,
// with and without a store of non-idempotent queries, and in first passes.
func TestIDOfAbandonedQueryIsNotServedAgain(t *testing.T) {
	twoPhase := []operator.TwoPhaseClass{{Class: "any", FirstPassShare: 1, TrialShare: 1}}
	for _, c := range []struct {
		name  string
		class string
		file  operator.File
	}{
		{"idempotent", "any", operator.File{}},
		{"two passes", "any", operator.File{TwoPhase: twoPhase}},
		{"non-idempotent", "once", operator.File{}},
		{"non-idempotent, recorded", "once", operator.File{State: "state", NameRetention: 60_000, JournalMaxBytes: 1 << 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.file.BackgroundShare = 0.05
			if c.file.State != "" {
				c.file.State = t.TempDir()
			}
			fleet, address, end := startGatherer(t, &c.file, slowMachine, withLongDeadlines)
			defer end()
			awaitServed(t, address)
			firstDone, disconnect := startQuery(t, fleet, address, c.class)
			during := make(chan error, 1)
			go func() { during <- expectConflict(t.Context(), address, c.class) }()
			time.Sleep(abandonedWork / 4) // the second request is in the gatherer when the first query ends
			disconnect()
			<-firstDone
			sent := requestsReceived(fleet)
			if err := <-during; err != nil {
				t.Error("request during the first query:", err)
			}
			if err := expectConflict(t.Context(), address, c.class); err != nil {
				t.Error("request after the first query:", err)
			}
			time.Sleep(2 * abandonedWork)
			if got := requestsReceived(fleet); got != sent {
				t.Errorf("after the end of the first query the servers received %d more shard requests", got-sent)
			}
		})
	}
}

// withLongDeadlines raises the objective and the deadline of all classes, so that a gatherer does not take the fleet for
// overloaded.
func withLongDeadlines(config string) string {
	return strings.NewReplacer(`"goalTime":300000`, `"goalTime":1000000`, `"hardLimit":1000000`, `"hardLimit":3000000`).Replace(config)
}

// slowMachine returns a machine that executes cancelled shard requests all the same.
func slowMachine(i int) experiment.Machine {
	work := float64(abandonedWork / time.Millisecond)
	return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{
		Cores: 2, MeanWork: work, FirstPassWork: work, KeepsCancelledWork: true, Seed: uint64(i),
	}}
}

// startQuery sends a query and waits until a server has received its shard request. Disconnect closes the client's
// connection.
func startQuery(
	t *testing.T, fleet *experiment.Fleet, address, class string,
) (done <-chan struct{}, disconnect context.CancelFunc) {
	t.Helper()
	before := requestsReceived(fleet)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = sendWithID(ctx, address, class, "a") // its client disconnects before the response
	}()
	for stop := time.Now().Add(10 * time.Second); requestsReceived(fleet) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal("no server received the shard request within 10 s")
		}
	}
	return ended, disconnect
}

// requestsReceived returns the number of shard requests that the servers have received.
func requestsReceived(fleet *experiment.Fleet) (received int) {
	for _, s := range fleet.Servers {
		received += s.Counts().Requests
	}
	return received
}

// sendWithID sends a query for one shard and returns the status of the response.
func sendWithID(ctx context.Context, address, class, id string) (status int, err error) {
	body := bytes.NewReader([]byte(`{"shards":[{"shard":3,"weight":1}],"q":"c41e"}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+class, body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// expectConflict sends a query with the ID of the first one and returns an error unless the response is 409.
func expectConflict(ctx context.Context, address, class string) error {
	status, err := sendWithID(ctx, address, class, "a")
	if err == nil && status != http.StatusConflict {
		err = fmt.Errorf("status %d, want 409", status)
	}
	return err
}

// awaitServed waits until the gatherer serves queries.
func awaitServed(t *testing.T, address string) {
	t.Helper()
	for i, stop := 0, time.Now().Add(10*time.Second); ; i++ {
		status, err := sendWithID(t.Context(), address, "any", fmt.Sprint("ready-", i))
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(stop) {
			t.Fatalf("the gatherer does not serve within 10 s: status %d, %v", status, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

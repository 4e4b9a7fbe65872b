package plans

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/gatherer/background"
	"yokeroute/internal/gatherer/shardcall"
)

// recordingPicker is a picker that records the weights that are set.
type recordingPicker struct {
	mu      sync.Mutex
	now     float64
	updates chan [][]gather.Weight
}

func (p *recordingPicker) SetWeights(w [][]gather.Weight) { p.updates <- w }

func (p *recordingPicker) Now() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *recordingPicker) advance(ms float64) {
	p.mu.Lock()
	p.now += ms
	p.mu.Unlock()
}

const planText = `at 2026-12-01T10:00:00Z
hall north
hall south
host n-1 hall north capacity 30/s
host s-1 hall south capacity 10/s
host s-2 hall south capacity 10/s
segment a group 0 on n-1 s-1
segment b group 1 on n-1 s-1 s-2
demand a north 8/s
demand b south 6/s
step
weights a north n-1=6/s s-1=2/s
weights b south n-1=0/s s-1=2/s s-2=4/s
step 2026-12-01T10:00:00.1Z
weights a north n-1=8/s s-1=0/s
weights b south n-1=0/s s-1=2/s s-2=4/s
case "host s-2" lost s-2
step
weights b south n-1=4/s s-1=2/s s-2=0/s
`

const (
	planStart = 1796119200000.0 // start of the plan, 2026-12-01T10:00:00Z
)

func newKeeper(zone string) (*Keeper, *recordingPicker, *test.Hook) {
	log, hook := test.NewNullLogger()
	log.SetOutput(io.Discard)
	picker := &recordingPicker{now: planStart + 1, updates: make(chan [][]gather.Weight, 100)}
	settings := &gather.Settings{Zone: zone, ReplicaSets: 2, ReplicaSetsPerShard: 1}
	return New(picker, settings, background.New(1, log), log), picker, hook
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// updateEndpoints updates the endpoints. The names get the server IDs 1, 2 and so on, and the replica sets 0 and 1 in
// turn. A name that ends in ! is draining.
func updateEndpoints(k *Keeper, full bool, hostNames ...string) {
	list := gather.EndpointList{Full: full}
	var addresses []shardcall.Address
	for i, name := range hostNames {
		name, draining := strings.CutSuffix(name, "!")
		s := gather.Endpoint{ID: uint32(i + 1), ReplicaSet: i % 2, Zone: map[byte]string{'n': "north", 's': "south"}[name[0]], Kind: "m"}
		if draining {
			s.State = gather.Draining
		}
		list.Endpoints = append(list.Endpoints, s)
		addresses = append(addresses, shardcall.Address{ID: s.ID, Name: name, State: s.State})
	}
	k.UpdateEndpoints(list, addresses)
}

// shareOf returns the share of a server in the weights of a replica set, or -1 if it has none.
func shareOf(w [][]gather.Weight, replicaSet int, server uint32) float64 {
	for _, weight := range w[replicaSet] {
		if weight.Server == server {
			return weight.Share
		}
	}
	return -1
}

// TestWeightsFollowPlanThroughStepsLossAndMaxAge checks the weights of a plan file for the gatherers of one zone:
// through its steps, the loss of a host and its maximum age, and after an invalid file, which changes nothing.
func TestWeightsFollowPlanThroughStepsLossAndMaxAge(t *testing.T) {
	k, picker, hook := newKeeper("north")
	path := writeFile(t, "plan.conf", planText)
	if err := k.Configure(&operator.File{Plan: path, PlanMaxAge: 300}); err != nil {
		t.Fatal(err)
	}
	<-picker.updates // without shares, since no host is listed yet
	updateEndpoints(k, true, "n-1", "s-1", "s-2")
	if w := <-picker.updates; shareOf(w, 0, 1) != 6 || shareOf(w, 0, 2) != 2 || len(w) != 1 {
		t.Errorf("weights %v, want those of the rows for zone north only", w)
	}
	picker.advance(100)
	if w := <-picker.updates; shareOf(w, 0, 1) != 8 || shareOf(w, 0, 2) != 0 {
		t.Errorf("weights %v after the second step began, want 8 and 0", w)
	}
	updateEndpoints(k, true, "n-1", "s-1", "s-2!")
	if w := <-picker.updates; shareOf(w, 0, 1) != 6 || hook.LastEntry().Data["case"] != "host s-2" {
		t.Errorf("last log line %v, want the case host s-2 and its weights", hook.LastEntry().Message)
	}
	picker.advance(300)
	if w := <-picker.updates; len(w) != 0 {
		t.Errorf("weights %v of a stale plan, want none", w)
	}
	if !strings.Contains(hook.LastEntry().Message, "too old") {
		t.Errorf("last log line %v, want that the plan is too old", hook.LastEntry().Message)
	}
	// An invalid file, or a file without weights, is an error and changes nothing.
	for _, text := range []string{strings.Replace(planText, "n-1=6/s", "n-1=7/s", 1), strings.Replace(planText, "n-1=6", "n-9=6", 1), "hall north\n"} {
		if err := k.Configure(&operator.File{Plan: writeFile(t, "bad.conf", text)}); err == nil || !strings.Contains(err.Error(), "bad.conf") {
			t.Errorf("error %v, want one that names bad.conf", err)
		}
	}
	if len(picker.updates) != 0 {
		t.Error("the weights of an invalid plan were set")
	}
	if err := k.Configure(&operator.File{Plan: path}); err != nil {
		t.Fatal(err)
	}
	if w := <-picker.updates; shareOf(w, 0, 1) != 6 {
		t.Errorf("weights %v of a plan without a maximum age, want 6 for n-1", w)
	}
	if err := k.Configure(&operator.File{}); err != nil || len(<-picker.updates) != 0 {
		t.Errorf("after the plan was removed: error %v, or weights are left; want neither", err)
	}
}

// TestZoneWithoutRowsUsesSumOfAllZones checks that gatherers of a zone without rows in the plan use the sum of the
// weights of all zones.
func TestZoneWithoutRowsUsesSumOfAllZones(t *testing.T) {
	k, picker, _ := newKeeper("east")
	updateEndpoints(k, true, "n-1", "s-1", "s-2")
	if err := k.Configure(&operator.File{Plan: writeFile(t, "plan.conf", planText)}); err != nil {
		t.Fatal(err)
	}
	if w := <-picker.updates; len(w) != 2 || shareOf(w, 0, 1) != 6 || shareOf(w, 1, 3) != 4 {
		t.Errorf("weights %v, want the sums over all zones: 6 for n-1 and 4 for s-2", w)
	}
}

// TestWeightsAreSolvedAgainWhenEndpointsChange checks that weights are solved again when the endpoint list changes,
// also if a host starts to drain before a waiting solve runs, and that the plan in force stays if demand does not fit
// or a server is of an unknown kind.
func TestWeightsAreSolvedAgainWhenEndpointsChange(t *testing.T) {
	k, picker, hook := newKeeper("north")
	path := writeFile(t, "halls.conf", "from-list\nkind m capacity 30/s\nhall north\nhall south\ndemand * north 10/s\n")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	defer func() { stop(); <-done }()
	blocked, release := make(chan bool), make(chan bool)
	k.jobs.Submit("first", 0, func(func() error) error { // delays the solve until the list has changed again
		close(blocked)
		<-release
		return nil
	})
	go func() { k.Run(ctx); close(done) }()
	<-blocked
	if err := k.Configure(&operator.File{Placement: path}); err != nil {
		t.Fatal(err)
	}
	updateEndpoints(k, true, "n-1", "n-2", "s-1", "s-2", "s-3", "s-4")
	updateEndpoints(k, true, "n-1", "n-2", "s-1!", "s-2", "s-3", "s-4")
	close(release)
	w := <-picker.updates
	if shareOf(w, 0, 1)+shareOf(w, 0, 5) != 10 || shareOf(w, 0, 3) > 0 || shareOf(w, 1, 2) <= 0 {
		t.Errorf("weights %v, want none for the draining host and 10 in all for replica set 0", w)
	}
	// A host starts to drain after a solve. The weights of the plan in force leave it out at once, and the next plan
	// gives it no weight.
	updateEndpoints(k, true, "n-1", "n-2", "s-1", "s-2", "s-3!", "s-4")
	for shareOf(w, 0, 5) > 0 || shareOf(w, 0, 3) <= 0 {
		w = <-picker.updates
	}
	// Demand that does not fit, and then a kind that the file does not describe: the plan in force stays.
	k.Configure(&operator.File{Placement: writeFile(t, "halls.conf", "from-list\nkind m capacity 3/s\nhall north\nhall south\ndemand * north 10/s\n")})
	waitForLog(t, hook, "plan: demand does not fit; keeping the plan in force")
	k.Configure(&operator.File{Placement: writeFile(t, "halls.conf", "from-list\nkind x capacity 3/s\nhall north\nhall south\ndemand * north 10/s\n")})
	waitForLog(t, hook, "background: job failed")
	if len(picker.updates) != 0 {
		t.Error("weights were set although no solve succeeded")
	}
	if err := k.Configure(&operator.File{Placement: writeFile(t, "halls.conf", "hall north\n")}); err == nil || !strings.Contains(err.Error(), "lacks from-list") {
		t.Errorf("error %v, want that from-list is missing", err)
	}
}

// waitForLog waits until a warning or error that contains text is logged.
func waitForLog(t *testing.T, hook *test.Hook, text string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Level <= logrus.WarnLevel && strings.Contains(e.Message, text) {
				return
			}
		}
	}
	t.Fatalf("no warning or error with %q was logged within 10 seconds", text)
}

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

// hand is a picker that keeps what it is handed.
type hand struct {
	mu     sync.Mutex
	now    float64
	handed chan [][]gather.Weight
}

func (h *hand) SetWeights(w [][]gather.Weight) { h.handed <- w }

func (h *hand) Now() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hand) pass(ms float64) {
	h.mu.Lock()
	h.now += ms
	h.mu.Unlock()
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
	at = 1796119200000.0 // the plan's beginning
)

func newKeeper(zone string) (*Keeper, *hand, *test.Hook) {
	log, hook := test.NewNullLogger()
	log.SetOutput(io.Discard)
	h := &hand{now: at + 1, handed: make(chan [][]gather.Weight, 100)}
	settings := &gather.Settings{Zone: zone, ReplicaSets: 2, ReplicaSetsPerShard: 1}
	return New(h, settings, background.New(1, log), log), h, hook
}

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// list tells of servers by name, in the order of their numbers from 1 on; groups go by turns.
func list(k *Keeper, full bool, names ...string) {
	l := gather.EndpointList{Full: full}
	var all []shardcall.Address
	for i, name := range names {
		name, draining := strings.CutSuffix(name, "!")
		s := gather.Endpoint{ID: uint32(i + 1), ReplicaSet: i % 2, Zone: map[byte]string{'n': "north", 's': "south"}[name[0]], Kind: "m"}
		if draining {
			s.State = gather.Draining
		}
		l.Endpoints = append(l.Endpoints, s)
		all = append(all, shardcall.Address{ID: s.ID, Name: name, State: s.State})
	}
	k.UpdateEndpoints(l, all)
}

func share(w [][]gather.Weight, group int, server uint32) float64 {
	for _, one := range w[group] {
		if one.Server == server {
			return one.Share
		}
	}
	return -1
}

// TestFile follows a plan that was read through its steps, a loss and old age, for gatherers of one hall.
func TestFile(t *testing.T) {
	k, h, hook := newKeeper("north")
	path := write(t, "plan.conf", planText)
	if err := k.Configure(&operator.File{Plan: path, PlanMaxAge: 300}); err != nil {
		t.Fatal(err)
	}
	<-h.handed // nobody is listed yet
	list(k, true, "n-1", "s-1", "s-2")
	if w := <-h.handed; share(w, 0, 1) != 6 || share(w, 0, 2) != 2 || len(w) != 1 {
		t.Errorf("weights %v: rows of the own hall alone", w)
	}
	h.pass(100)
	if w := <-h.handed; share(w, 0, 1) != 8 || share(w, 0, 2) != 0 {
		t.Errorf("weights %v after the second step", w)
	}
	list(k, true, "n-1", "s-1", "s-2!")
	if w := <-h.handed; share(w, 0, 1) != 6 || hook.LastEntry().Data["case"] != "host s-2" {
		t.Errorf("log %v", hook.LastEntry().Message)
	}
	h.pass(300)
	if w := <-h.handed; len(w) != 0 {
		t.Errorf("weights %v of a plan too old", w)
	}
	if !strings.Contains(hook.LastEntry().Message, "too old") {
		t.Errorf("log %v", hook.LastEntry().Message)
	}
	// A faulty file changes nothing; one without weights is none.
	for _, text := range []string{strings.Replace(planText, "n-1=6/s", "n-1=7/s", 1), strings.Replace(planText, "n-1=6", "n-9=6", 1), "hall north\n"} {
		if err := k.Configure(&operator.File{Plan: write(t, "bad.conf", text)}); err == nil || !strings.Contains(err.Error(), "bad.conf") {
			t.Errorf("error %v", err)
		}
	}
	if len(h.handed) != 0 {
		t.Error("a faulty plan was handed down")
	}
	if err := k.Configure(&operator.File{Plan: path}); err != nil {
		t.Fatal(err)
	}
	if w := <-h.handed; share(w, 0, 1) != 6 {
		t.Errorf("weights %v", w)
	}
	if err := k.Configure(&operator.File{}); err != nil || len(<-h.handed) != 0 {
		t.Errorf("without a plan: %v", err)
	}
}

// TestZone: a gatherer of a hall that the plan does not know goes by all halls together.
func TestZone(t *testing.T) {
	k, h, _ := newKeeper("east")
	list(k, true, "n-1", "s-1", "s-2")
	if err := k.Configure(&operator.File{Plan: write(t, "plan.conf", planText)}); err != nil {
		t.Fatal(err)
	}
	if w := <-h.handed; len(w) != 2 || share(w, 0, 1) != 6 || share(w, 1, 3) != 4 {
		t.Errorf("weights %v", w)
	}
}

// TestSolves has weights worked out anew as the list changes, a host that drains while a solve runs among them, and
// keeps what is in force where nothing fits.
func TestSolves(t *testing.T) {
	k, h, hook := newKeeper("north")
	path := write(t, "halls.conf", "from-list\nkind m capacity 30/s\nhall north\nhall south\ndemand * north 10/s\n")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	defer func() { stop(); <-done }()
	blocked, free := make(chan bool), make(chan bool)
	k.jobs.Submit("first", 0, func(func() error) error { // keeps the solve waiting until the list has changed again
		close(blocked)
		<-free
		return nil
	})
	go func() { k.Run(ctx); close(done) }()
	<-blocked
	if err := k.Configure(&operator.File{Placement: path}); err != nil {
		t.Fatal(err)
	}
	list(k, true, "n-1", "n-2", "s-1", "s-2", "s-3", "s-4")
	list(k, true, "n-1", "n-2", "s-1!", "s-2", "s-3", "s-4")
	close(free)
	w := <-h.handed
	if share(w, 0, 1)+share(w, 0, 5) != 10 || share(w, 0, 3) > 0 || share(w, 1, 2) <= 0 {
		t.Errorf("weights %v", w)
	}
	// Now one that drains between a solve and the next: the module leaves it out by itself, the next plan gives
	// it nothing.
	list(k, true, "n-1", "n-2", "s-1", "s-2", "s-3!", "s-4")
	for share(w, 0, 5) > 0 || share(w, 0, 3) <= 0 {
		w = <-h.handed
	}
	// A kind that the file does not tell, and demand that does not fit: the plan in force stays.
	k.Configure(&operator.File{Placement: write(t, "halls.conf", "from-list\nkind m capacity 3/s\nhall north\nhall south\ndemand * north 10/s\n")})
	wait(t, hook, "no weights fit")
	k.Configure(&operator.File{Placement: write(t, "halls.conf", "from-list\nkind x capacity 3/s\nhall north\nhall south\ndemand * north 10/s\n")})
	wait(t, hook, "background: job failed")
	if len(h.handed) != 0 {
		t.Error("weights handed down though none were worked out")
	}
	if err := k.Configure(&operator.File{Placement: write(t, "halls.conf", "hall north\n")}); err == nil || !strings.Contains(err.Error(), "lacks from-list") {
		t.Errorf("error %v", err)
	}
}

func wait(t *testing.T, hook *test.Hook, words string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, e := range hook.AllEntries() {
			if e.Level <= logrus.WarnLevel && strings.Contains(e.Message, words) {
				return
			}
		}
	}
	t.Fatalf("the log never says %q", words)
}

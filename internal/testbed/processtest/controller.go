package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"
)

// ReportLink is the way from a controller to where a gatherer tells of itself.
func (f *Fleet) ReportLink(g *Gatherer) (*Link, error) {
	return f.link("controller", g.Name, g.Reports)
}

// Step is a change of a gatherer that a controller has ordered by a command.
type Step struct {
	Gatherer, To, Fence string
	Began               time.Time
}

// Steps takes orders from controllers' commands: each is a request from a process that a controller has started, and
// is answered once the gatherer has been changed.
type Steps struct {
	l    net.Listener
	http *http.Server
	do   func(ctx context.Context, s Step) error

	mu   sync.Mutex
	all  []Step
	now  int
	most int
}

// TakeSteps begins to take orders; do makes one.
func (f *Fleet) TakeSteps(do func(ctx context.Context, s Step) error) (*Steps, error) {
	l, err := net.Listen("tcp", f.base+".3:0")
	if err != nil {
		return nil, err
	}
	s := &Steps{l: l, do: do}
	s.http = &http.Server{Handler: http.HandlerFunc(s.take)}
	go s.http.Serve(l)
	return s, nil
}

// Close ends it.
func (s *Steps) Close() { s.http.Close() }

// URL is where orders go: URL/NAME/TO/FENCE.
func (s *Steps) URL() string { return "http://" + s.l.Addr().String() }

func (s *Steps) take(w http.ResponseWriter, r *http.Request) {
	var step Step
	if n, _ := fmt.Sscanf(r.URL.Path, "/%s", &step.Gatherer); n != 1 {
		http.Error(w, "no step", http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	step.To, step.Fence, step.Began = q.Get("to"), q.Get("fence"), time.Now()
	s.mu.Lock()
	s.all = append(s.all, step)
	s.now++
	s.most = max(s.most, s.now)
	s.mu.Unlock()
	err := s.do(r.Context(), step)
	s.mu.Lock()
	s.now--
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// All are the orders so far, and how many were under way at once at the most.
func (s *Steps) All() ([]Step, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Step(nil), s.all...), s.most
}

// Order is what a command that stands in a plan does: it asks a Steps for one change. A test binary does it in place
// of its tests where it is started so; it gives the exit status.
func Order(url, gatherer, to, fence string) int {
	resp, err := http.Get(url + "/" + gatherer + "?to=" + to + "&fence=" + fence)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(os.Stdout, resp.Body)
		return 1
	}
	return 0
}

// Sweep sees to it that nothing outlives this process whose command line holds a folder's name: processes that others
// were made to start apart from it. It does so when this process ends, however, or when stop is called.
func Sweep(folder string) (stop func(), err error) {
	cmd := exec.Command("sh", "-c", `cat > /dev/null; for p in /proc/[0-9]*; do if tr '\0' ' ' < "$p/cmdline" 2> /dev/null | grep -qF -- "$SWEPT"; then kill -9 "${p#/proc/}"; fi; done`)
	cmd.Env = append(os.Environ(), "SWEPT="+folder)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	var once sync.Once
	return func() { once.Do(func() { in.Close(); cmd.Wait() }) }, nil
}

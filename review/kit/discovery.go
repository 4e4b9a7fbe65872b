package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the list of shard servers.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Discovery is the agent of one gatherer's machine. It keeps the list with the revision of each entry's last change.
type Discovery struct {
	rec      *Record
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	members  map[string]Member
	changed  map[string]int64
	wake     chan struct{}
	down     bool // silent: answers nothing
	delay    time.Duration
}

// StartDiscovery starts an agent with a list.
func StartDiscovery(rec *Record, members []Member) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{rec: rec, listener: l, revision: 41, members: map[string]Member{}, changed: map[string]int64{},
		wake: make(chan struct{})}
	for _, m := range members {
		d.members[m.ID] = m
		d.changed[m.ID] = d.revision
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(l)
	return d, nil
}

// Address returns where it listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// Set changes an entry.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[m.ID] = m
	d.changed[m.ID] = d.revision
	d.rec.Add("list      %s is %s up_since %d, revision %d", m.ID, m.Phase, m.UpSince, d.revision)
	close(d.wake)
	d.wake = make(chan struct{})
}

// SetDown makes the agent silent, or ends that.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.rec.Add("list      agent silent: %v", down)
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	down, delay := d.down, d.delay
	d.mu.Unlock()
	if down { // a request that it takes while it is silent is never answered
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	index := int64(-1)
	if text := r.URL.Query().Get("index"); text != "" {
		index, _ = strconv.ParseInt(text, 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	wait = min(wait, 60000)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		if !d.down && (index < 0 || d.revision > index) {
			break
		}
		wake := d.wake
		d.mu.Unlock()
		select {
		case <-wake:
			continue
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-deadline:
		}
		d.mu.Lock()
		if d.down {
			d.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		break
	}
	doc := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{d.revision, index < 0, []Member{}}
	for id, m := range d.members {
		if index < 0 && m.Phase == "terminated" || d.changed[id] <= index {
			continue
		}
		doc.Members = append(doc.Members, m)
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc)
}

package kit2

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is one entry of the list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Zone     string  `json:"locality"`
	Kind     string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// List is a document of discovery.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

type change struct {
	revision int64
	whole    bool // told as the whole list
	members  []Member
}

// Agent is a stand-in for discovery's agent on a gatherer's machine.
type Agent struct {
	Name   string
	Record *Record
	// Write writes an answer; nil: at once and in one piece.
	Write func(w http.ResponseWriter, r *http.Request, text []byte)

	listener *CutOffListener
	server   *http.Server

	mu       sync.Mutex
	asked    chan struct{} // closed at the next watch
	revision int64
	members  []Member
	changes  []change
	changed  chan struct{}
	silent   bool
}

// Start listens on a free port with a list.
func (a *Agent) Start(revision int64, members []Member) error {
	l, err := ListenCutOff()
	if err != nil {
		return err
	}
	a.listener = l
	a.asked = make(chan struct{})
	a.revision = revision
	a.members = append([]Member(nil), members...)
	a.changed = make(chan struct{})
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go a.server.Serve(l)
	return nil
}

// Address is where it listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Retire takes no new connection, and ends the open ones after a while, as an address that was given up.
func (a *Agent) Retire(after time.Duration) {
	a.listener.Close()
	time.AfterFunc(after, func() { a.server.Close() })
}

// Close ends it.
func (a *Agent) Close() { a.server.Close() }

// SetSilent makes it answer nothing, as while discovery is down.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	a.silent = silent
	a.mu.Unlock()
	a.Record.Printf("discovery %s silent: %v", a.Name, silent)
}

// AwaitWatch waits until a watch has come.
func (a *Agent) AwaitWatch() {
	a.mu.Lock()
	asked := a.asked
	a.mu.Unlock()
	<-asked
}

// CutOff cuts it off: open connections are silent, new ones never come up.
func (a *Agent) CutOff() error {
	a.SetSilent(true)
	return a.listener.CutOff()
}

// Restore ends that; connections from before are reset.
func (a *Agent) Restore() error {
	a.SetSilent(false)
	return a.listener.Restore()
}

// Change tells changed entries to its watches. If whole, watches are told the whole list instead, without the entries
// that drain.
func (a *Agent) Change(whole bool, changed ...Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, m := range changed {
		found := false
		for i := range a.members {
			if a.members[i].ID == m.ID {
				a.members[i] = m
				found = true
			}
		}
		if !found {
			a.members = append(a.members, m)
		}
	}
	if whole {
		var in []Member
		for _, m := range a.members {
			if m.Phase == "in_service" {
				in = append(in, m)
			}
		}
		a.members = in
	}
	a.changes = append(a.changes, change{a.revision, whole, changed})
	text, _ := json.Marshal(changed)
	a.Record.Printf("discovery %s has revision %d (whole list: %v): %s", a.Name, a.revision, whole, text)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) document(after int64, watch bool) (List, bool, chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !watch || after > a.revision {
		return List{a.revision, true, append([]Member{}, a.members...)}, true, a.changed, a.silent
	}
	l := List{a.revision, false, []Member{}}
	for _, c := range a.changes {
		if c.revision <= after {
			continue
		}
		if c.whole {
			return List{a.revision, true, append([]Member{}, a.members...)}, true, a.changed, a.silent
		}
		l.Members = append(l.Members, c.members...)
	}
	return l, len(l.Members) > 0, a.changed, a.silent
}

func (a *Agent) handle(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	silent := a.silent
	a.mu.Unlock()
	a.Record.Printf("discovery %s asked %s", a.Name, r.URL.RequestURI())
	if silent {
		<-r.Context().Done() // what it takes while it is down it never answers
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("index"), 10, 64)
	watch := err == nil
	if watch {
		a.mu.Lock()
		close(a.asked)
		a.asked = make(chan struct{})
		a.mu.Unlock()
	}
	wait, _ := strconv.Atoi(q.Get("wait"))
	timer := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer timer.Stop()
	for {
		l, news, changed, silent := a.document(after, watch)
		if !silent && (news || !watch) {
			a.answer(w, r, l)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if _, _, _, silent := a.document(after, watch); silent {
				<-r.Context().Done()
				return
			}
			a.answer(w, r, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (a *Agent) answer(w http.ResponseWriter, r *http.Request, l List) {
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	a.Record.Printf("discovery %s answers %s: %s", a.Name, r.URL.RequestURI(), text)
	if a.Write != nil {
		a.Write(w, r, text)
		return
	}
	w.Write(text)
}

// Package trace keeps what became of the newest lookups, call by call, so that one of them can be explained. It
// holds a bounded number of them and of their calls, and can be asked over HTTP.
package trace

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"strings"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/phases"
)

// Call is one part call.
type Call struct {
	Pass    string  `json:"pass"` // only, first or second
	Shard   int     `json:"shard"`
	Server  string  `json:"server"`
	At      float64 `json:"at"`             // milliseconds after the lookup landed
	Took    float64 `json:"took,omitempty"` // milliseconds, of one that has ended
	End     string  `json:"end,omitempty"`
	Summary string  `json:"summary,omitempty"`
}

// Choice is why a lookup went the way it went; times are milliseconds.
type Choice struct {
	Two   bool    `json:"two"`
	Why   string  `json:"why"`
	Prune float64 `json:"prune"`
	Own   float64 `json:"own"`
	Saved float64 `json:"saved"`
	Spent float64 `json:"spent"`
	Time  float64 `json:"time"` // that the first pass might take
}

// Closed is what came after a first pass.
type Closed struct {
	At     float64 `json:"at"`
	Proved float64 `json:"proved"` // weight that is in since it proved to hold nothing
	Asked  []int   `json:"asked"`  // shards of the second pass
	Left   []int   `json:"left"`   // shards left out as unlikely
	Again  []int   `json:"again"`  // of those asked, whose first call was lost
	Whole  bool    `json:"whole"`
}

// Lookup is what became of a lookup.
type Lookup struct {
	ID      string  `json:"id"`
	Index   string  `json:"index"`
	At      float64 `json:"at"` // Unix milliseconds
	Time    float64 `json:"time"`
	Shards  []int   `json:"shards"`
	Choice  *Choice `json:"choice,omitempty"`
	Calls   []Call  `json:"calls"`
	More    int     `json:"more,omitempty"` // calls beyond those kept
	First   *Closed `json:"first,omitempty"`
	Verdict string  `json:"verdict,omitempty"`
	Took    float64 `json:"took,omitempty"`
	Hits    int     `json:"hits"`
	Empty   []int   `json:"empty,omitempty"`

	at map[*dispatch.Call]int
}

// mostCalls bounds the calls kept of one lookup.
const mostCalls = 256

// Recorder keeps lookups; it is a pick.Tracer.
type Recorder struct {
	keep  int
	share float64

	mu    sync.Mutex
	ring  []*Lookup
	next  int
	open  map[*dispatch.Lookup]*Lookup
	byID  map[string]*Lookup
	names map[uint32]string
}

// New makes a recorder that keeps so many lookups, and of all that come a share, drawn by their names.
func New(keep int, share float64) *Recorder {
	return &Recorder{keep: keep, share: share, open: map[*dispatch.Lookup]*Lookup{}, byID: map[string]*Lookup{}, names: map[uint32]string{}}
}

// Names takes over the names of the servers that are listed.
func (r *Recorder) Names(all []shardcall.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.names)
	for _, a := range all {
		r.names[a.ID] = a.Name
	}
}

func (r *Recorder) name(server uint32) string {
	if name := r.names[server]; name != "" {
		return name
	}
	return fmt.Sprint(server)
}

// drawn decides by a lookup's name alone, so that all gatherers that see it keep it or none does.
func (r *Recorder) drawn(id string) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) < r.share*(1<<32)
}

// Opened begins a lookup.
func (r *Recorder) Opened(lk *dispatch.Lookup, c *phases.Choice, at float64) {
	if !r.drawn(lk.ID) {
		return
	}
	t := &Lookup{ID: lk.ID, Index: lk.Index, At: at, Time: lk.GiveUpAt - at, at: map[*dispatch.Call]int{}}
	for _, pt := range lk.Parts {
		t.Shards = append(t.Shards, pt.Shard)
	}
	if c != nil {
		t.Choice = &Choice{c.Two, string(c.Why), c.Prune, c.Own, c.Saved, c.Spent, c.Until - at}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[lk] = t
	if len(r.ring) < r.keep {
		r.ring = append(r.ring, t)
	} else {
		if old := r.ring[r.next]; r.byID[old.ID] == old {
			delete(r.byID, old.ID)
		}
		r.ring[r.next] = t
		r.next = (r.next + 1) % r.keep
	}
	r.byID[t.ID] = t
}

var passes = map[gather.Pass]string{gather.SinglePass: "only", gather.FirstPass: "first", gather.SecondPass: "second"}

// Sent adds a call.
func (r *Recorder) Sent(c *dispatch.Call, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[c.Lookup()]
	switch {
	case t == nil:
	case len(t.Calls) >= mostCalls:
		t.More++
	default:
		t.at[c] = len(t.Calls)
		t.Calls = append(t.Calls, Call{Pass: passes[c.Pass()], Shard: c.Shard(), Server: r.name(c.Server), At: round(at - t.At)})
	}
}

var ends = map[gather.Outcome]string{gather.Succeeded: "answered", gather.Failed: "failed", gather.Rejected: "turned away", gather.TimedOut: "out of time",
	gather.ConnectFailed: "not reached", gather.ConnectionReset: "cut off", gather.Cancelled: "given up", gather.NotSent: "never sent", gather.NotOwner: "not owned there"}

// Heard ends a call.
func (r *Recorder) Heard(c *dispatch.Call, outcome gather.Outcome, waited float64, s *phases.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[c.Lookup()]
	if t == nil {
		return
	}
	i, kept := t.at[c]
	if !kept {
		return
	}
	call := &t.Calls[i]
	call.End, call.Took = ends[outcome], round(waited)
	switch {
	case !c.First() || outcome != gather.Succeeded:
	case s.Empty:
		call.Summary = "nothing, at version " + s.Version
	default:
		call.Summary = fmt.Sprintf("up to %d hits, likely %g, at version %s", s.Count, s.Likely, s.Version)
	}
}

// Closed ends a first pass.
func (r *Recorder) Closed(lk *dispatch.Lookup, n *phases.Next, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[lk]
	if t == nil {
		return
	}
	t.First = &Closed{At: round(at - t.At), Proved: n.In, Whole: n.Whole}
	for _, a := range n.Ask {
		t.First.Asked = append(t.First.Asked, lk.Parts[a.Part].Shard)
		if a.Again {
			t.First.Again = append(t.First.Again, lk.Parts[a.Part].Shard)
		}
	}
	for _, i := range n.Left {
		t.First.Left = append(t.First.Left, lk.Parts[i].Shard)
	}
}

var verdicts = map[dispatch.Kind]string{dispatch.Satisfied: "satisfied", dispatch.Nacked: "nacked", dispatch.Aborted: "aborted", dispatch.Broken: "failed", dispatch.Left: "its client left"}

// Ended ends a lookup.
func (r *Recorder) Ended(lk *dispatch.Lookup, v dispatch.Verdict, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[lk]
	if t == nil {
		return
	}
	delete(r.open, lk) // calls that are still out end unseen, which bounds what is open
	t.Verdict, t.Took, t.Hits, t.Empty = verdicts[v.Kind], round(at-t.At), len(v.Hits), v.Empty
	if v.Kind == dispatch.Satisfied && !v.Whole {
		t.Verdict = "satisfied in part"
	}
	for i := range t.Calls {
		if t.Calls[i].End == "" {
			t.Calls[i].End = "out when the lookup ended"
		}
	}
	t.at = nil
}

func round(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// ServeHTTP gives the lookup that the last part of the path names, or else the names of all that are kept, the
// newest last.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := strings.TrimPrefix(strings.TrimPrefix(req.URL.Path, Path), "/")
	r.mu.Lock()
	var answer any
	if id == "" {
		type line struct {
			ID      string  `json:"id"`
			Index   string  `json:"index"`
			Verdict string  `json:"verdict"`
			Took    float64 `json:"took"`
			Two     bool    `json:"two"`
		}
		list := []line{}
		for i := range r.ring {
			t := r.ring[(r.next+i)%len(r.ring)]
			list = append(list, line{t.ID, t.Index, t.Verdict, t.Took, t.Choice != nil && t.Choice.Two})
		}
		answer = list
	} else if t := r.byID[id]; t != nil {
		answer = *t
	}
	text, err := json.Marshal(answer) // under the lock: calls may be added meanwhile
	r.mu.Unlock()
	if answer == nil || err != nil {
		http.Error(w, "no such lookup is kept", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// Path is where a gatherer that keeps traces can be asked for them.
const Path = "/-/trace"

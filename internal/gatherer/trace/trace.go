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
	"yokeroute/logic/twopass"
)

// Attempt is one part call.
type Attempt struct {
	Pass      string  `json:"pass"` // only, first or second
	Shard     int     `json:"shard"`
	Server    string  `json:"server"`
	DecidedAt float64 `json:"at"`             // milliseconds after the lookup landed
	Duration  float64 `json:"took,omitempty"` // milliseconds, of one that has ended
	Outcome   string  `json:"end,omitempty"`
	Summary   string  `json:"summary,omitempty"`
}

// Decision is why a lookup went the way it went; times are milliseconds.
type Decision struct {
	TwoPass        bool    `json:"two"`
	Reason         string  `json:"why"`
	EmptyShare     float64 `json:"prune"`
	OwnGain        float64 `json:"own"`
	SavedElsewhere float64 `json:"saved"`
	FirstPassCost  float64 `json:"spent"`
	FirstPassTime  float64 `json:"time"` // that the first pass might take
}

// FirstPassResult is what came after a first pass.
type FirstPassResult struct {
	EndedAt      float64 `json:"at"`
	ProvedWeight float64 `json:"proved"` // weight that is in since it proved to hold nothing
	SecondPass   []int   `json:"asked"`  // shards of the second pass
	LeftOut      []int   `json:"left"`   // shards left out as unlikely
	Retried      []int   `json:"again"`  // of those asked, whose first call was lost
	Complete     bool    `json:"whole"`
}

// Query is what became of a lookup.
type Query struct {
	ID              string           `json:"id"`
	Class           string           `json:"index"`
	AdmittedAt      float64          `json:"at"` // Unix milliseconds
	Timeout         float64          `json:"time"`
	Shards          []int            `json:"shards"`
	Decision        *Decision        `json:"choice,omitempty"`
	Attempts        []Attempt        `json:"calls"`
	OmittedAttempts int              `json:"more,omitempty"` // calls beyond those kept
	FirstPass       *FirstPassResult `json:"first,omitempty"`
	Result          string           `json:"verdict,omitempty"`
	Duration        float64          `json:"took,omitempty"`
	Hits            int              `json:"hits"`
	EmptyShards     []int            `json:"empty,omitempty"`

	attemptIndex map[*dispatch.Attempt]int
}

// maxAttempts bounds the calls kept of one lookup.
const maxAttempts = 256

// Recorder keeps lookups; it is a pick.Tracer.
type Recorder struct {
	capacity    int
	sampleShare float64

	mu          sync.Mutex
	ring        []*Query
	next        int
	open        map[*dispatch.Query]*Query
	byID        map[string]*Query
	serverNames map[uint32]string
}

// New makes a recorder that keeps so many lookups, and of all that come a share, drawn by their names.
func New(keep int, share float64) *Recorder {
	return &Recorder{capacity: keep, sampleShare: share, open: map[*dispatch.Query]*Query{}, byID: map[string]*Query{}, serverNames: map[uint32]string{}}
}

// SetServerNames takes over the names of the servers that are listed.
func (r *Recorder) SetServerNames(all []shardcall.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.serverNames)
	for _, a := range all {
		r.serverNames[a.ID] = a.Name
	}
}

func (r *Recorder) serverName(server uint32) string {
	if name := r.serverNames[server]; name != "" {
		return name
	}
	return fmt.Sprint(server)
}

// sampled decides by a lookup's name alone, so that all gatherers that see it keep it or none does.
func (r *Recorder) sampled(id string) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) < r.sampleShare*(1<<32)
}

// QueryAdmitted begins a lookup.
func (r *Recorder) QueryAdmitted(lk *dispatch.Query, c *twopass.Decision, at float64) {
	if !r.sampled(lk.ID) {
		return
	}
	t := &Query{ID: lk.ID, Class: lk.Class, AdmittedAt: at, Timeout: lk.Deadline - at, attemptIndex: map[*dispatch.Attempt]int{}}
	for _, pt := range lk.ShardRequests {
		t.Shards = append(t.Shards, pt.Shard)
	}
	if c != nil {
		t.Decision = &Decision{c.TwoPass, string(c.Reason), c.EmptyShare, c.OwnGain, c.SavedElsewhere, c.FirstPassCost, c.FirstPassDeadline - at}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[lk] = t
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, t)
	} else {
		if old := r.ring[r.next]; r.byID[old.ID] == old {
			delete(r.byID, old.ID)
		}
		r.ring[r.next] = t
		r.next = (r.next + 1) % r.capacity
	}
	r.byID[t.ID] = t
}

var passTexts = map[gather.Pass]string{gather.SinglePass: "only", gather.FirstPass: "first", gather.SecondPass: "second"}

// AttemptDecided adds a call.
func (r *Recorder) AttemptDecided(c *dispatch.Attempt, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[c.Query()]
	switch {
	case t == nil:
	case len(t.Attempts) >= maxAttempts:
		t.OmittedAttempts++
	default:
		t.attemptIndex[c] = len(t.Attempts)
		t.Attempts = append(t.Attempts, Attempt{Pass: passTexts[c.Pass()], Shard: c.Shard(), Server: r.serverName(c.Server), DecidedAt: round(at - t.AdmittedAt)})
	}
}

var outcomeTexts = map[gather.Outcome]string{gather.Succeeded: "answered", gather.Failed: "failed", gather.Rejected: "turned away", gather.TimedOut: "out of time",
	gather.ConnectFailed: "not reached", gather.ConnectionReset: "cut off", gather.Cancelled: "given up", gather.NotSent: "never sent", gather.NotOwner: "not owned there"}

// AttemptEnded ends a call.
func (r *Recorder) AttemptEnded(c *dispatch.Attempt, outcome gather.Outcome, waited float64, s *twopass.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[c.Query()]
	if t == nil {
		return
	}
	i, kept := t.attemptIndex[c]
	if !kept {
		return
	}
	call := &t.Attempts[i]
	call.Outcome, call.Duration = outcomeTexts[outcome], round(waited)
	switch {
	case !c.FirstPass() || outcome != gather.Succeeded:
	case s.Empty:
		call.Summary = "nothing, at version " + s.Version
	default:
		call.Summary = fmt.Sprintf("up to %d hits, likely %g, at version %s", s.MaxHits, s.Likelihood, s.Version)
	}
}

// FirstPassEnded ends a first pass.
func (r *Recorder) FirstPassEnded(lk *dispatch.Query, n *twopass.Plan, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[lk]
	if t == nil {
		return
	}
	t.FirstPass = &FirstPassResult{EndedAt: round(at - t.AdmittedAt), ProvedWeight: n.ProvedWeight, Complete: n.Complete}
	for _, a := range n.Requests {
		t.FirstPass.SecondPass = append(t.FirstPass.SecondPass, lk.ShardRequests[a.Index].Shard)
		if a.Retry {
			t.FirstPass.Retried = append(t.FirstPass.Retried, lk.ShardRequests[a.Index].Shard)
		}
	}
	for _, i := range n.LeftOut {
		t.FirstPass.LeftOut = append(t.FirstPass.LeftOut, lk.ShardRequests[i].Shard)
	}
}

var resultTexts = map[dispatch.ResultKind]string{dispatch.Served: "satisfied", dispatch.Rejected: "nacked", dispatch.Failed: "aborted", dispatch.InternalError: "failed", dispatch.Abandoned: "its client left"}

// QueryDecided ends a lookup.
func (r *Recorder) QueryDecided(lk *dispatch.Query, v dispatch.Result, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[lk]
	if t == nil {
		return
	}
	delete(r.open, lk) // calls that are still out end unseen, which bounds what is open
	t.Result, t.Duration, t.Hits, t.EmptyShards = resultTexts[v.Kind], round(at-t.AdmittedAt), len(v.Hits), v.EmptyShards
	if v.Kind == dispatch.Served && !v.Complete {
		t.Result = "satisfied in part"
	}
	for i := range t.Attempts {
		if t.Attempts[i].Outcome == "" {
			t.Attempts[i].Outcome = "out when the lookup ended"
		}
	}
	t.attemptIndex = nil
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
			list = append(list, line{t.ID, t.Class, t.Result, t.Duration, t.Decision != nil && t.Decision.TwoPass})
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

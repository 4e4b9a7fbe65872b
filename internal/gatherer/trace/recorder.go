package trace

import (
	"fmt"
	"hash/fnv"
	"math"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/twopass"
)

// maxAttempts limits the number of attempts that are recorded for one query.
const maxAttempts = 256

// Recorder keeps traces of the newest queries. It implements dispatch.DecisionObserver and http.Handler.
type Recorder struct {
	capacity    int
	sampleShare float64

	mu          sync.Mutex
	ring        []*Query
	oldest      int // index of the oldest query in ring, once ring is full
	open        map[*dispatch.Query]*openQuery
	byID        map[string]*Query
	serverNames map[uint32]string
}

// openQuery is the trace of a query that has no result yet, with the index of each attempt in Attempts.
type openQuery struct {
	*Query
	attemptIndex map[*dispatch.Attempt]int
}

// New returns a recorder that keeps the newest queries up to capacity. It records only the share sampleShare of all
// queries, sampled by their IDs.
func New(capacity int, sampleShare float64) *Recorder {
	return &Recorder{
		capacity:    capacity,
		sampleShare: sampleShare,
		open:        map[*dispatch.Query]*openQuery{},
		byID:        map[string]*Query{},
		serverNames: map[uint32]string{},
	}
}

// SetServerNames replaces the names by which traces identify servers.
func (r *Recorder) SetServerNames(addresses []shardcall.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.serverNames)
	for _, a := range addresses {
		r.serverNames[a.ID] = a.Name
	}
}

func (r *Recorder) serverName(server uint32) string {
	if name := r.serverNames[server]; name != "" {
		return name
	}
	return fmt.Sprint(server)
}

// sampled reports whether a query is recorded. It depends on the ID only, so that either all gatherers that see the
// query record it or none does.
func (r *Recorder) sampled(id string) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) < r.sampleShare*(1<<32)
}

// QueryAdmitted implements dispatch.DecisionObserver.
func (r *Recorder) QueryAdmitted(query *dispatch.Query, decision *twopass.Decision, at float64) {
	if !r.sampled(query.ID) {
		return
	}
	t := &Query{ID: query.ID, Class: query.Class, AdmittedAt: at, Timeout: query.Deadline - at}
	for _, request := range query.ShardRequests {
		t.Shards = append(t.Shards, request.Shard)
	}
	if decision != nil {
		t.Decision = &Decision{
			TwoPass:        decision.TwoPass,
			Reason:         string(decision.Reason),
			EmptyShare:     decision.EmptyShare,
			OwnGain:        decision.OwnGain,
			SavedElsewhere: decision.SavedElsewhere,
			FirstPassCost:  decision.FirstPassCost,
			FirstPassTime:  decision.FirstPassDeadline - at,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[query] = &openQuery{Query: t, attemptIndex: map[*dispatch.Attempt]int{}}
	r.add(t)
}

// add adds a query to the ring, replacing the oldest one if the ring is full. The caller holds r.mu.
func (r *Recorder) add(t *Query) {
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, t)
	} else {
		replaced := r.ring[r.oldest]
		if r.byID[replaced.ID] == replaced {
			delete(r.byID, replaced.ID)
		}
		r.ring[r.oldest] = t
		r.oldest = (r.oldest + 1) % r.capacity
	}
	r.byID[t.ID] = t
}

// passTexts contains the names of passes in traces.
var passTexts = map[gather.Pass]string{
	gather.SinglePass: "only",
	gather.FirstPass:  "first",
	gather.SecondPass: "second",
}

// AttemptDecided implements dispatch.DecisionObserver.
func (r *Recorder) AttemptDecided(attempt *dispatch.Attempt, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[attempt.Query()]
	switch {
	case t == nil:
	case len(t.Attempts) >= maxAttempts:
		t.OmittedAttempts++
	default:
		t.attemptIndex[attempt] = len(t.Attempts)
		t.Attempts = append(t.Attempts, Attempt{
			Pass:      passTexts[attempt.Pass()],
			Shard:     attempt.Shard(),
			Server:    r.serverName(attempt.Server),
			DecidedAt: roundToMicros(at - t.AdmittedAt),
		})
	}
}

// outcomeTexts contains the names of outcomes in traces.
var outcomeTexts = map[gather.Outcome]string{
	gather.Succeeded:       "answered",
	gather.Failed:          "failed",
	gather.Rejected:        "turned away",
	gather.TimedOut:        "out of time",
	gather.ConnectFailed:   "not reached",
	gather.ConnectionReset: "cut off",
	gather.Cancelled:       "given up",
	gather.NotSent:         "never sent",
	gather.NotOwner:        "not owned there",
}

// outcomeUnknown is the outcome of an attempt that was in flight when its query ended.
const outcomeUnknown = "out when the lookup ended"

// AttemptEnded implements dispatch.DecisionObserver.
func (r *Recorder) AttemptEnded(
	attempt *dispatch.Attempt, outcome gather.Outcome, latency float64, summary *twopass.Summary,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[attempt.Query()]
	if t == nil {
		return
	}
	i, recorded := t.attemptIndex[attempt]
	if !recorded {
		return
	}
	entry := &t.Attempts[i]
	entry.Outcome = outcomeTexts[outcome]
	entry.Duration = roundToMicros(latency)
	if attempt.FirstPass() && outcome == gather.Succeeded {
		entry.Summary = summaryText(summary)
	}
}

func summaryText(s *twopass.Summary) string {
	if s.Empty {
		return "nothing, at version " + s.Version
	}
	return fmt.Sprintf("up to %d hits, likely %g, at version %s", s.MaxHits, s.Likelihood, s.Version)
}

// FirstPassEnded implements dispatch.DecisionObserver.
func (r *Recorder) FirstPassEnded(query *dispatch.Query, plan *twopass.Plan, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[query]
	if t == nil {
		return
	}
	t.FirstPass = &FirstPassResult{
		EndedAt:      roundToMicros(at - t.AdmittedAt),
		ProvedWeight: plan.ProvedWeight,
		Complete:     plan.Complete,
	}
	for _, planned := range plan.Requests {
		shard := query.ShardRequests[planned.Index].Shard
		t.FirstPass.SecondPass = append(t.FirstPass.SecondPass, shard)
		if planned.Retry {
			t.FirstPass.Retried = append(t.FirstPass.Retried, shard)
		}
	}
	for _, i := range plan.LeftOut {
		t.FirstPass.LeftOut = append(t.FirstPass.LeftOut, query.ShardRequests[i].Shard)
	}
}

// resultTexts contains the names of results in traces.
var resultTexts = map[dispatch.ResultKind]string{
	dispatch.Served:        "satisfied",
	dispatch.Rejected:      "nacked",
	dispatch.Failed:        "aborted",
	dispatch.InternalError: "failed",
	dispatch.Abandoned:     "its client left",
}

const resultServedPartial = "satisfied in part"

// QueryDecided implements dispatch.DecisionObserver. The outcomes of attempts that are still in flight are not
// recorded, which limits the number of open queries.
func (r *Recorder) QueryDecided(query *dispatch.Query, result dispatch.Result, at float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.open[query]
	if t == nil {
		return
	}
	delete(r.open, query)
	t.Result = resultTexts[result.Kind]
	if result.Kind == dispatch.Served && !result.Complete {
		t.Result = resultServedPartial
	}
	t.Duration = roundToMicros(at - t.AdmittedAt)
	t.Hits = len(result.Hits)
	t.EmptyShards = result.EmptyShards
	for i := range t.Attempts {
		if t.Attempts[i].Outcome == "" {
			t.Attempts[i].Outcome = outcomeUnknown
		}
	}
}

// roundToMicros rounds a time in milliseconds to whole microseconds, the resolution of traces.
func roundToMicros(ms float64) float64 { return math.Round(ms*1000) / 1000 }

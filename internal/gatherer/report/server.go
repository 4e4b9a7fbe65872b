package report

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"yokeroute/logic/rollout"
)

// Paths at which a gatherer tells.
const (
	Path       = "/report"
	ClaimPath  = "/claim"
	MetricPath = "/metrics"
)

// Server tells of a gatherer on a listener of its own, so that nobody who asks is in the way of lookups.
type Server struct {
	counter *Counter
	ready   func() bool
	l       net.Listener
	http    *http.Server
	log     *logrus.Logger
}

// Listen begins to listen; Run answers.
func Listen(address string, counter *Counter, ready func() bool, log *logrus.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	s := &Server{counter: counter, ready: ready, l: l, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.tell)
	mux.HandleFunc("POST "+ClaimPath, s.claim)
	mux.HandleFunc("DELETE "+ClaimPath, s.free)
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{s})
	mux.Handle("GET "+MetricPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4}))
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.l.Addr().String() }

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.WithError(err).Error("report: no longer told")
	}
}

func (s *Server) tell(w http.ResponseWriter, r *http.Request) {
	d := s.counter.Peek
	if r.URL.Query().Has("since") {
		since := r.URL.Query().Get("since")
		d = func(ready bool) *Document { return s.counter.Document(since, ready) }
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d(s.ready())) // an error is a reader that has gone
}

// longestClaim bounds for how long a run that says nothing any more holds a gatherer.
const longestClaim = 10 * time.Minute

// claim lets a run claim the gatherer: POST with the claim, its time in milliseconds from now. The answer is who holds
// it, with 409 where that is another.
func (s *Server) claim(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Run   string  `json:"run"`
		Fence uint64  `json:"fence"`
		For   float64 `json:"for"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&asked); err != nil {
		http.Error(w, "no claim: "+err.Error(), http.StatusBadRequest)
		return
	}
	if asked.Run == "" || len(asked.Run) > 200 || !(asked.For > 0) || asked.For > float64(longestClaim.Milliseconds()) {
		http.Error(w, "a claim wants a run and a time of up to 600000 ms", http.StatusBadRequest)
		return
	}
	held, granted := s.counter.Take(rollout.Claim{Run: asked.Run, Fence: asked.Fence, Until: s.counter.now() + asked.For})
	w.Header().Set("Content-Type", "application/json")
	if !granted {
		w.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(w).Encode(held)
}

// free gives a claim back: DELETE with run and fence in the query.
func (s *Server) free(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, "no fence: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.counter.Free(r.URL.Query().Get("run"), fence)
	w.WriteHeader(http.StatusNoContent)
}

// collector puts the report into Prometheus' form, from the same counts at the moment of asking.
type collector struct{ s *Server }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("yokeroute_"+name, help, labels, nil)
}

var (
	infoDesc     = desc("info", "Always 1; the labels tell which program and files are in force.", "version", "program", "config", "operator")
	endedDesc    = desc("lookups_total", "Lookups that ended, by how.", "index", "end")
	valueDesc    = desc("value_total", "Of each lookup the share of its gain that it earned, summed up.", "index")
	callsDesc    = desc("part_calls_total", "Part calls whose bytes went, first ones and further ones.", "index", "call")
	outcomesDesc = desc("part_call_ends_total", "Ends of part calls.", "index", "outcome")
	tookDesc     = desc("lookup_seconds", "Latency of satisfied lookups.", "index")
	connsDesc    = desc("connections", "Connections to shard servers that are open.")
	openedDesc   = desc("connections_opened_total", "Connections to shard servers that were opened.")
	serversDesc  = desc("servers", "Servers on the list, by state.", "state")
	memoryDesc   = desc("resident_bytes", "Resident memory.")
	cpuDesc      = desc("cpu_seconds_total", "CPU used.")
	startedDesc  = desc("start_time_seconds", "When the process started, in Unix time.")
)

// Describe names all that Collect gives.
func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{infoDesc, endedDesc, valueDesc, callsDesc, outcomesDesc, tookDesc, connsDesc, openedDesc, serversDesc, memoryDesc, cpuDesc, startedDesc} {
		to <- d
	}
}

// bounds of the histogram that Prometheus gets, in seconds: two a doubling.
var bounds = prometheus.ExponentialBucketsRange(0.001, 32, 31)

// Collect gives the counts.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	d := c.s.counter.Peek(c.s.ready())
	count := func(of *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(of, prometheus.CounterValue, v, labels...)
	}
	gauge := func(of *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, v, labels...)
	}
	gauge(infoDesc, 1, d.Version, d.Program, d.Files["config"], d.Files["operator"])
	for name, ix := range d.Indexes {
		for end, n := range map[string]int64{"satisfied": ix.Satisfied, "partial": ix.Partial, "nacked": ix.Nacked, "aborted": ix.Aborted, "broken": ix.Broken, "left": ix.Left} {
			count(endedDesc, float64(n), name, end)
		}
		count(valueDesc, ix.Value, name)
		count(callsDesc, float64(ix.Calls-ix.Further), name, "first")
		count(callsDesc, float64(ix.Further), name, "further")
		for outcome, n := range ix.Outcomes {
			count(outcomesDesc, float64(n), name, outcome)
		}
		buckets, sum := make(map[float64]uint64, len(bounds)), 0.0
		for _, bar := range ix.Took.Distribution() {
			seconds := float64(bar.From) * unit / 1000
			sum += seconds * float64(bar.Count)
			for _, b := range bounds {
				if seconds <= b {
					buckets[b] += uint64(bar.Count)
				}
			}
		}
		to <- prometheus.MustNewConstHistogram(tookDesc, uint64(ix.Took.TotalCount()), sum, buckets, name)
	}
	gauge(connsDesc, float64(d.Connections))
	count(openedDesc, float64(d.Opened))
	gauge(serversDesc, float64(d.Servers), "running")
	gauge(serversDesc, float64(d.Draining), "draining")
	gauge(memoryDesc, d.Memory)
	count(cpuDesc, d.CPU/1000)
	gauge(startedDesc, d.Started/1000)
}

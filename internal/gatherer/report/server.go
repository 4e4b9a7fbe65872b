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
	ReportPath  = "/report"
	ClaimPath   = "/claim"
	MetricsPath = "/metrics"
)

// Server tells of a gatherer on a listener of its own, so that nobody who asks is in the way of lookups.
type Server struct {
	collector *Collector
	ready     func() bool
	listener  net.Listener
	http      *http.Server
	log       *logrus.Logger
}

// Listen begins to listen; Run answers.
func Listen(address string, counter *Collector, ready func() bool, log *logrus.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	s := &Server{collector: counter, ready: ready, listener: l, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReportPath, s.serveReport)
	mux.HandleFunc("POST "+ClaimPath, s.serveClaim)
	mux.HandleFunc("DELETE "+ClaimPath, s.serveRelease)
	registry := prometheus.NewRegistry()
	registry.MustRegister(&prometheusCollector{s})
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4}))
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.WithError(err).Error("report: no longer told")
	}
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	d := s.collector.SinceStart
	if r.URL.Query().Has("since") {
		since := r.URL.Query().Get("since")
		d = func(ready bool) *Document { return s.collector.SinceCheckpoint(since, ready) }
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d(s.ready())) // an error is a reader that has gone
}

// maxClaimDuration bounds for how long a run that says nothing any more holds a gatherer.
const maxClaimDuration = 10 * time.Minute

// serveClaim lets a run claim the gatherer: POST with the claim, its time in milliseconds from now. The answer is who holds
// it, with 409 where that is another.
func (s *Server) serveClaim(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Run   string  `json:"run"`
		Fence uint64  `json:"fence"`
		For   float64 `json:"for"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&asked); err != nil {
		http.Error(w, "no claim: "+err.Error(), http.StatusBadRequest)
		return
	}
	if asked.Run == "" || len(asked.Run) > 200 || !(asked.For > 0) || asked.For > float64(maxClaimDuration.Milliseconds()) {
		http.Error(w, "a claim wants a run and a time of up to 600000 ms", http.StatusBadRequest)
		return
	}
	held, granted := s.collector.AcquireClaim(rollout.Claim{RunID: asked.Run, FencingToken: asked.Fence, ExpiresAt: s.collector.now() + asked.For})
	w.Header().Set("Content-Type", "application/json")
	if !granted {
		w.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(w).Encode(held)
}

// serveRelease gives a claim back: DELETE with run and fence in the query.
func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, "no fence: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.collector.ReleaseClaim(r.URL.Query().Get("run"), fence)
	w.WriteHeader(http.StatusNoContent)
}

// prometheusCollector puts the report into Prometheus' form, from the same counts at the moment of asking.
type prometheusCollector struct{ server *Server }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("yokeroute_"+name, help, labels, nil)
}

var (
	infoDesc              = desc("info", "Always 1; the labels tell which program and files are in force.", "version", "program", "config", "operator")
	queriesDesc           = desc("lookups_total", "Lookups that ended, by how.", "index", "end")
	valueDesc             = desc("value_total", "Of each lookup the share of its gain that it earned, summed up.", "index")
	attemptsDesc          = desc("part_calls_total", "Part calls whose bytes went, first ones and further ones.", "index", "call")
	outcomesDesc          = desc("part_call_ends_total", "Ends of part calls.", "index", "outcome")
	latencyDesc           = desc("lookup_seconds", "Latency of satisfied lookups.", "index")
	openConnectionsDesc   = desc("connections", "Connections to shard servers that are open.")
	connectionsOpenedDesc = desc("connections_opened_total", "Connections to shard servers that were opened.")
	serversDesc           = desc("servers", "Servers on the list, by state.", "state")
	memoryDesc            = desc("resident_bytes", "Resident memory.")
	cpuDesc               = desc("cpu_seconds_total", "CPU used.")
	startedDesc           = desc("start_time_seconds", "When the process started, in Unix time.")
)

// Describe names all that Collect gives.
func (c *prometheusCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{infoDesc, queriesDesc, valueDesc, attemptsDesc, outcomesDesc, latencyDesc, openConnectionsDesc, connectionsOpenedDesc, serversDesc, memoryDesc, cpuDesc, startedDesc} {
		to <- d
	}
}

// latencyBuckets of the histogram that Prometheus gets, in seconds: two a doubling.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.001, 32, 31)

// Collect gives the counts.
func (c *prometheusCollector) Collect(to chan<- prometheus.Metric) {
	d := c.server.collector.SinceStart(c.server.ready())
	count := func(of *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(of, prometheus.CounterValue, v, labels...)
	}
	gauge := func(of *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, v, labels...)
	}
	gauge(infoDesc, 1, d.Version, d.Program, d.Files["config"], d.Files["operator"])
	for name, ix := range d.Classes {
		for end, n := range map[string]int64{"satisfied": ix.Served, "partial": ix.ServedPartly, "nacked": ix.Rejected, "aborted": ix.Failed, "broken": ix.InternalErrors, "left": ix.ClientGone} {
			count(queriesDesc, float64(n), name, end)
		}
		count(valueDesc, ix.EarnedValue, name)
		count(attemptsDesc, float64(ix.Attempts-ix.ExtraAttempts), name, "first")
		count(attemptsDesc, float64(ix.ExtraAttempts), name, "further")
		for outcome, n := range ix.Outcomes {
			count(outcomesDesc, float64(n), name, outcome)
		}
		buckets, sum := make(map[float64]uint64, len(latencyBuckets)), 0.0
		for _, bar := range ix.Latency.Distribution() {
			seconds := float64(bar.From) * unitMilliseconds / 1000
			sum += seconds * float64(bar.Count)
			for _, b := range latencyBuckets {
				if seconds <= b {
					buckets[b] += uint64(bar.Count)
				}
			}
		}
		to <- prometheus.MustNewConstHistogram(latencyDesc, uint64(ix.Latency.TotalCount()), sum, buckets, name)
	}
	gauge(openConnectionsDesc, float64(d.OpenConnections))
	count(connectionsOpenedDesc, float64(d.ConnectionsOpened))
	gauge(serversDesc, float64(d.RunningServers), "running")
	gauge(serversDesc, float64(d.DrainingServers), "draining")
	gauge(memoryDesc, d.ResidentMemory)
	count(cpuDesc, d.CPUTime/1000)
	gauge(startedDesc, d.StartedAt/1000)
}

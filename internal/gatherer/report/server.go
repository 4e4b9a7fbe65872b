package report

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"yokeroute/internal/httpserver"
	"yokeroute/logic/rollout"
)

// Paths of the server.
const (
	// ReportPath is the path for GET. With the parameter since=CHECKPOINT the report contains the counts since that
	// checkpoint, and a new checkpoint is taken.
	ReportPath = "/report"
	// ClaimPath is the path for POST with a claim, and for DELETE with the parameters run and fence in the query.
	ClaimPath   = "/claim"
	MetricsPath = "/metrics"
)

const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 30 * time.Second

	maxHeaderBytes       = 8 << 10
	maxClaimBytes        = 4096
	maxRunIDBytes        = 200
	maxConcurrentScrapes = 4

	// maxClaimDuration limits how long a gatherer stays claimed by a rollout whose process no longer exists.
	maxClaimDuration = 10 * time.Minute
)

// shutdownTimeouts are short, since the shutdown of the gatherer waits for that of the server.
var shutdownTimeouts = httpserver.Timeouts{Handshakes: 10 * time.Millisecond, Requests: 50 * time.Millisecond}

// Server serves reports, metrics and claims. It has a listener of its own, so that its clients never delay queries.
type Server struct {
	collector *Collector
	ready     func() bool
	listener  net.Listener
	http      *httpserver.Server
	log       *logrus.Logger
}

// Listen returns a server that listens on address. Call Run to serve requests, or Close if Run is never called.
func Listen(address string, collector *Collector, ready func() bool, log *logrus.Logger) (*Server, error) {
	return listen(address, collector, ready, log, shutdownTimeouts)
}

func listen(
	address string, collector *Collector, ready func() bool, log *logrus.Logger, timeouts httpserver.Timeouts,
) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("report server: %w", err)
	}
	s := &Server{collector: collector, ready: ready, listener: listener, log: log}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.http = httpserver.New(listener, server, timeouts)
	return s, nil
}

func (s *Server) handler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&prometheusCollector{s})
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReportPath, s.serveReport)
	mux.HandleFunc("POST "+ClaimPath, s.serveClaim)
	mux.HandleFunc("DELETE "+ClaimPath, s.serveRelease)
	mux.Handle("GET "+MetricsPath,
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	return mux
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until ctx is done. Before it returns, it answers the requests that have arrived.
func (s *Server) Run(ctx context.Context) {
	s.http.Start()
	select {
	case <-ctx.Done():
	case err := <-s.http.Failed():
		s.log.WithError(err).Error("report: server failed")
	}
	if err := s.Close(); err != nil {
		s.log.WithError(err).Error("report: closing the server failed")
	}
}

// Close closes the listener of a server on which Run is never called. After Run it does nothing.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("report server: close: %w", err)
	}
	return nil
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	var d *Document
	if query := r.URL.Query(); query.Has("since") {
		d = s.collector.SinceCheckpoint(query.Get("since"), s.ready())
	} else {
		d = s.collector.SinceStart(s.ready())
	}
	writeJSON(w, http.StatusOK, d)
}

// serveClaim grants or rejects a claim. The response contains the claim in force, with status 409 if the request was
// rejected.
func (s *Server) serveClaim(w http.ResponseWriter, r *http.Request) {
	var request struct { // unnamed, since decoding errors contain the type's name
		RunID        string  `json:"run"`
		FencingToken uint64  `json:"fence"`
		Milliseconds float64 `json:"for"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxClaimBytes)).Decode(&request); err != nil {
		http.Error(w, "invalid claim: "+err.Error(), http.StatusBadRequest)
		return
	}
	validDuration := request.Milliseconds > 0 && request.Milliseconds <= float64(maxClaimDuration.Milliseconds())
	if request.RunID == "" || len(request.RunID) > maxRunIDBytes || !validDuration {
		http.Error(w, "a claim wants a run and a time of up to 600000 ms", http.StatusBadRequest)
		return
	}
	holder, granted := s.collector.AcquireClaim(rollout.Claim{
		RunID:        request.RunID,
		FencingToken: request.FencingToken,
		ExpiresAt:    s.collector.now() + request.Milliseconds,
	})
	status := http.StatusOK
	if !granted {
		status = http.StatusConflict
	}
	writeJSON(w, status, holder)
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	token, err := strconv.ParseUint(query.Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, "invalid fence: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.collector.ReleaseClaim(query.Get("run"), token)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

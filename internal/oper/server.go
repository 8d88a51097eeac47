package oper

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/pkg/ident"
)

// Status describes an instance: the configuration version in use, its rate shards, the
// database groups it owns, its connected callers, and whether it is ready.
type Status struct {
	Instance ident.InstanceID `json:"instance"`
	Center   ident.CenterID   `json:"data-center"`
	Version  ident.Version    `json:"version"`
	// SinceConfirmedMillis is the time since Version was last confirmed to be the platform's
	// latest, in milliseconds.
	SinceConfirmedMillis int64           `json:"checked-millis"`
	Shards               int             `json:"rate-shards"`
	Groups               []ident.GroupID `json:"groups"`
	Callers              int             `json:"callers"`
	Ready                bool            `json:"ready"`
	// NotReadyReason says why the instance is not ready, or why its status could not be read.
	NotReadyReason string `json:"why,omitempty"`
}

// JournalResponse is the journal of the fleet, or of one instance.
type JournalResponse struct {
	Events []jrnl.Event `json:"events"`
	// Missing lists the instances that did not answer.
	Missing []ident.InstanceID `json:"missing,omitempty"`
}

// Config configures a Server.
type Config struct {
	Instance *entry.Instance
	ID       ident.InstanceID
	Center   ident.CenterID
	Registry *prometheus.Registry
}

// gatherTimeout bounds the collection of the journals of all instances, and also the
// reading of a request's headers.
const gatherTimeout = 3 * time.Second

// Server is the HTTP server of the operator API.
type Server struct {
	conf Config
	http *http.Server
}

// Serve starts a server on the listener.
func Serve(c Config, l net.Listener) *Server {
	s := &Server{conf: c}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(c.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", s.handleReady)
	mux.HandleFunc("/status", s.handleStatus)
	mux.HandleFunc("/journal", s.handleJournal)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: gatherTimeout}
	go func() { _ = s.http.Serve(l) }()
	return s
}

// Close stops the server.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.conf.Instance.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, StatusOf(s.conf)) }

// StatusOf returns the instance's current status.
func StatusOf(c Config) Status {
	i := c.Instance
	status := Status{
		Instance: c.ID, Center: c.Center, Version: i.Snapshot().Version, SinceConfirmedMillis: i.SinceConfirmed().Milliseconds(),
		Shards: i.Quota().Held(), Groups: i.Host().Groups(), Callers: i.Callers(), Ready: true,
	}
	if err := i.Ready(); err != nil {
		status.Ready, status.NotReadyReason = false, err.Error()
	}
	return status
}

// handleJournal returns the events since the time in the parameter since, or all events without it.
// fleet=1 includes the events of the other instances; the default is 0.
func (s *Server) handleJournal(w http.ResponseWriter, r *http.Request) {
	since, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("since"))
	if err != nil && r.URL.Query().Get("since") != "" {
		http.Error(w, "invalid parameter since: want an RFC 3339 time such as 2027-01-31T18:00:00Z", http.StatusBadRequest)
		return
	}
	wholeFleet, err := strconv.ParseBool(cmp.Or(r.URL.Query().Get("fleet"), "0"))
	if err != nil {
		http.Error(w, "invalid parameter fleet: want 0 or 1", http.StatusBadRequest)
		return
	}
	if !wholeFleet {
		writeJSON(w, JournalResponse{Events: s.conf.Instance.Journal().Since(since)})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), gatherTimeout)
	defer cancel()
	events, missing := s.conf.Instance.Gather(ctx, since)
	writeJSON(w, JournalResponse{Events: events, Missing: missing})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

package platf

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/trip"
)

// Faults is what the platform has been told to do wrong.
type Faults struct {
	// Outage answers every call with 503.
	Outage atomic.Bool
	// Hang answers no call at all.
	Hang atomic.Bool
	// Slow delays each call, in nanoseconds.
	Slow atomic.Int64
	// LoseAnswers carries out that many further writes and loses their answers.
	LoseAnswers trip.Count
	// ListLag is how long the list of instances trails the truth, in nanoseconds.
	ListLag atomic.Int64
	// Fill makes each further write fail with 507.
	Fill atomic.Bool
}

// Calls counts what the platform was asked.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a running stand-in.
type Platform struct {
	store   *store
	faults  Faults
	server  *http.Server
	addr    string
	stopped chan struct{}
	once    sync.Once
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
}

// Start runs the platform on the given address; port 0 takes a free one.
func Start(addr string) (*Platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Platform{store: newStore(), addr: l.Addr().String(), stopped: make(chan struct{})}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Stop ends the platform and every watch.
func (s *Platform) Stop() {
	s.once.Do(func() { close(s.stopped) })
	_ = s.server.Close()
}

// URL returns where the API is.
func (s *Platform) URL() string { return "http://" + s.addr }

// Faults returns what the platform is told to do wrong.
func (s *Platform) Faults() *Faults { return &s.faults }

// Calls returns what the platform was asked so far; each watch counts once per wait.
func (s *Platform) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// SetMachine lists an instance.
func (s *Platform) SetMachine(id ident.InstanceID, m objs.Machine) { s.setMachine(id, m) }

// RemoveMachine takes an instance off the list.
func (s *Platform) RemoveMachine(id ident.InstanceID) {
	s.later(func() { s.store.remove(objs.Machines, string(id), 0) })
}

func (s *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	rest, found := strings.CutPrefix(r.URL.Path, objs.BasePath)
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watches.Add(1)
		s.watch(w, r, objs.Kind(kind))
	case r.Method == http.MethodGet && name == "":
		s.reads.Add(1)
		answer(w, http.StatusOK, s.store.list(objs.Kind(kind)))
	case r.Method == http.MethodGet:
		s.reads.Add(1)
		s.read(w, objs.Kind(kind), name)
	case r.Method == http.MethodPut:
		s.writes.Add(1)
		s.put(w, r, objs.Kind(kind), name)
	case r.Method == http.MethodDelete:
		s.writes.Add(1)
		s.remove(w, r, objs.Kind(kind), name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// applyFaults acts out the faults and reports whether the call goes on.
func (s *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if s.faults.Hang.Load() {
		s.wait(r.Context(), time.Hour)
		return false
	}
	s.wait(r.Context(), time.Duration(s.faults.Slow.Load()))
	if s.faults.Outage.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Platform) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.stopped:
	case <-time.After(d):
	}
}

func (s *Platform) read(w http.ResponseWriter, kind objs.Kind, name string) {
	found, ok := s.store.get(kind, name)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *Platform) put(w http.ResponseWriter, r *http.Request, kind objs.Kind, name string) {
	var o objs.Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValue)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.faults.Fill.Load() {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	o.Kind, o.Metadata.Name = kind, name
	kept, end := s.store.put(o)
	s.finish(w, kept, end)
}

func (s *Platform) remove(w http.ResponseWriter, r *http.Request, kind objs.Kind, name string) {
	version, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	kept, end := s.store.remove(kind, name, ident.Version(version))
	s.finish(w, kept, end)
}

func (s *Platform) finish(w http.ResponseWriter, kept objs.Object, end outcome) {
	if s.faults.LoseAnswers.Take() {
		panic(http.ErrAbortHandler)
	}
	switch end {
	case stored:
		answer(w, http.StatusOK, kept)
	case conflict:
		answer(w, http.StatusConflict, kept)
	case missing:
		w.WriteHeader(http.StatusNotFound)
	case tooLarge:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
}

// outagePause is how soon an outage ends the watches that wait.
const outagePause = 100 * time.Millisecond

// watch streams a kind's events from after a version until its time is over.
func (s *Platform) watch(w http.ResponseWriter, r *http.Request, kind objs.Kind) {
	query := r.URL.Query()
	number, _ := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	seconds, err := strconv.ParseFloat(query.Get("timeoutSeconds"), 64)
	if err != nil {
		seconds = 30
	}
	end := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer end.Stop()
	after := ident.Version(number)
	for {
		events, version, changed, reaches := s.store.since(kind, after)
		if !reaches {
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.faults.Outage.Load() || !s.send(w, events) {
			return
		}
		after = version
		select {
		case <-changed:
		case <-time.After(outagePause):
			if s.faults.Outage.Load() {
				return
			}
		case <-end.C:
			mark := objs.Object{Kind: kind, Metadata: objs.Metadata{ResourceVersion: format(after)}}
			s.send(w, []objs.Event{{Type: objs.Bookmark, Object: mark}})
			return
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

func (s *Platform) send(w http.ResponseWriter, events []objs.Event) bool {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if encoder.Encode(e) != nil {
			return false
		}
	}
	return http.NewResponseController(w).Flush() == nil
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

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

// Faults are the faults of the platform; the zero value injects none.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage atomic.Bool
	// Hang leaves every call without an answer.
	Hang atomic.Bool
	// CallDelay delays each call, in nanoseconds.
	CallDelay atomic.Int64
	// LoseAnswers executes each of that many further writes but drops its answer.
	LoseAnswers trip.Count
	// ListLag delays changes of the list of instances, in nanoseconds.
	ListLag atomic.Int64
	// StorageFull makes every write of an object fail with status 507.
	StorageFull atomic.Bool
}

// Calls counts the calls to the platform.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a running stand-in of the platform.
type Platform struct {
	store    *store
	faults   Faults
	server   *http.Server
	addr     string
	stopped  chan struct{}
	stopOnce sync.Once
	reads    atomic.Int64
	writes   atomic.Int64
	watches  atomic.Int64
}

// Start starts the platform on the given address; port 0 takes a free port.
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

// Stop stops the platform and ends every watch.
func (s *Platform) Stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
	_ = s.server.Close()
}

// URL returns the base URL of the API.
func (s *Platform) URL() string { return "http://" + s.addr }

// Faults returns the platform's faults, to be switched on and off.
func (s *Platform) Faults() *Faults { return &s.faults }

// Calls returns the number of calls so far; a client that watches continuously makes one call for each timeout.
func (s *Platform) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// SetInstance adds an instance to the list, or updates it, after the list's lag.
func (s *Platform) SetInstance(id ident.InstanceID, m objs.ListedInstance) { s.setInstance(id, m) }

// RemoveInstance removes an instance from the list, after the list's lag.
func (s *Platform) RemoveInstance(id ident.InstanceID) {
	s.afterListLag(func() { s.store.remove(objs.Instances, string(id), ident.Version{}) })
}

// Restore takes the objects back to what they were some time ago, as a restore from a copy does.
func (s *Platform) Restore(age time.Duration) { s.store.restore(age) }

func (s *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, objs.BasePath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watches.Add(1)
		s.watch(w, r, objs.Kind(kind))
	case r.Method == http.MethodGet && name == "":
		s.reads.Add(1)
		writeJSON(w, http.StatusOK, s.store.list(objs.Kind(kind)))
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

// applyFaults injects the faults and reports whether to process the call.
func (s *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if s.faults.Hang.Load() {
		s.wait(r.Context(), time.Hour)
		return false
	}
	s.wait(r.Context(), time.Duration(s.faults.CallDelay.Load()))
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
	writeJSON(w, http.StatusOK, found)
}

func (s *Platform) put(w http.ResponseWriter, r *http.Request, kind objs.Kind, name string) {
	var o objs.Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxObjectBytes)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.faults.StorageFull.Load() {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	o.Kind, o.Metadata.Name = kind, name
	current, result := s.store.put(o)
	s.respond(w, current, result)
}

func (s *Platform) remove(w http.ResponseWriter, r *http.Request, kind objs.Kind, name string) {
	version, _ := ident.ParseResourceVersion(r.URL.Query().Get("resourceVersion"))
	current, result := s.store.remove(kind, name, version)
	s.respond(w, current, result)
}

// respond sends the outcome of a write with the object that is stored now.
func (s *Platform) respond(w http.ResponseWriter, current objs.Object, result outcome) {
	if s.faults.LoseAnswers.Take() {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case stored:
		writeJSON(w, http.StatusOK, current)
	case conflict:
		writeJSON(w, http.StatusConflict, current)
	case missing:
		w.WriteHeader(http.StatusNotFound)
	case tooLarge:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
}

// outagePollInterval is how often an open watch checks for an outage, which ends it.
const outagePollInterval = 100 * time.Millisecond

// watch streams the events of a kind after a version until the requested timeout, and then sends a
// bookmark with the last version. It answers 410 if the history no longer has the version.
func (s *Platform) watch(w http.ResponseWriter, r *http.Request, kind objs.Kind) {
	query := r.URL.Query()
	after, _ := ident.ParseResourceVersion(query.Get("resourceVersion"))
	seconds, err := strconv.ParseFloat(query.Get("timeoutSeconds"), 64)
	if err != nil {
		seconds = 30
	}
	timeout := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timeout.Stop()
	for {
		events, version, changed, complete := s.store.since(kind, after)
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.faults.Outage.Load() || !s.send(w, events) {
			return
		}
		after = version
		select {
		case <-changed:
		case <-time.After(outagePollInterval):
			if s.faults.Outage.Load() {
				return
			}
		case <-timeout.C:
			bookmark := objs.Object{Kind: kind, Metadata: objs.Metadata{ResourceVersion: after.ResourceVersion()}}
			s.send(w, []objs.Event{{Type: objs.Bookmark, Object: bookmark}})
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

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

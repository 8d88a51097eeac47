package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store as PROTOCOL.md describes it.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
}

// store is the platform's metadata store: conditional writes, lists and watches.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	events  []event
	changed chan struct{}
	// maxItems is the number of objects on a page of a list; the pages say about 500.
	maxItems int
}

func newStore() *store {
	return &store{rev: 10, kinds: map[string]map[string]object{}, changed: make(chan struct{}), maxItems: 500}
}

func (s *store) commit(kind string, o object, deleted bool) object {
	s.rev++
	o.Meta.Revision = s.rev
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		s.kinds[kind][o.Meta.Name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind, rev: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// set writes an object as the operator or a backend does, and returns when it is stored.
func (s *store) set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if bytes.Equal(o.Spec, text) {
		return
	}
	o.Meta.Name, o.Spec = name, text
	if o.Meta.Created == 0 {
		o.Meta.Created = s.rev + 1
	}
	s.commit(kind, o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.kinds[kind][name]; found {
		s.commit(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && name == "" {
		s.list(w, r, kind)
		return
	}
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	have, found := s.kinds[kind][name]
	if r.Method == http.MethodPost {
		if found {
			reply(w, http.StatusConflict, have)
			return
		}
		sent.Meta.Created = s.rev + 1
		reply(w, http.StatusCreated, s.commit(kind, sent, false))
		return
	}
	if !found {
		reply(w, http.StatusNotFound, nil)
		return
	}
	condition := sent.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method != http.MethodGet && condition != 0 && condition != have.Meta.Revision {
		reply(w, http.StatusConflict, have)
		return
	}
	switch r.Method {
	case http.MethodGet:
		reply(w, http.StatusOK, have)
	case http.MethodDelete:
		reply(w, http.StatusOK, s.commit(kind, have, true))
	case http.MethodPut:
		next := have
		if len(parts) > 3 && parts[3] == "status" {
			next.Status = sent.Status
		} else {
			next.Spec, next.Meta.Finalizers = sent.Spec, sent.Meta.Finalizers
		}
		a, _ := json.Marshal(next)
		b, _ := json.Marshal(have)
		if !bytes.Equal(a, b) {
			next = s.commit(kind, next, false)
		}
		reply(w, http.StatusOK, next)
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > s.maxItems
	if more {
		names = names[:s.maxItems]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found, changed, rev := []event{}, s.changed, s.rev
		for _, e := range s.events {
			if e.kind == kind && e.rev > from {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "current_rev": rev})
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": found, "current_rev": rev})
			return
		}
	}
}

// serveHTTP serves a handler on a free port of a loopback address and returns its address.
func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// promotions answers POST /promotion for a group.
func promotions(g *group) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/promotion" {
			reply(w, http.StatusNotFound, nil)
			return
		}
		note("platform: POST /promotion %s by %s, token %s", body.ID, r.Header.Get("X-Geraniumseam-Duty-Holder"), r.Header.Get("X-Geraniumseam-Fencing-Token"))
		token, _ := strconv.ParseUint(r.Header.Get("X-Geraniumseam-Fencing-Token"), 10, 64)
		if !g.promote(body.ID, order{r.Header.Get("X-Geraniumseam-Duty-Holder"), token, body.ID}) {
			reply(w, http.StatusConflict, nil)
			return
		}
		reply(w, http.StatusOK, map[string]string{"id": body.ID})
	})
}

// order is an accepted POST /promotion.
type order struct {
	holder string
	token  uint64
	server string
}

func fatal(format string, args ...any) {
	note(format, args...)
	panic(couldNotRun(fmt.Sprintf(format, args...)))
}

type couldNotRun string

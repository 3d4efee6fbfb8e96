package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator does and returns when it is stored.
func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write stores an object. The caller holds the mutex.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	former, ok := s.objects[kind][name]
	next := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		next.Meta.Created = former.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = next
	s.announce(event{kind: kind, Object: next})
	return next
}

func (s *store) announce(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	former, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	former.Meta.Revision = s.revision
	s.announce(event{kind: kind, Object: former, Deleted: true})
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		found, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, found)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct{}{})
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if former, ok := s.objects[kind][sent.Meta.Name]; ok {
			answer(w, http.StatusConflict, former)
			return
		}
		answer(w, http.StatusOK, s.write(kind, sent.Meta.Name, sent.Spec))
		return
	}
	former, ok := s.objects[kind][name]
	switch {
	case !ok:
		answer(w, http.StatusNotFound, struct{}{})
	case sent.Meta.Revision != 0 && sent.Meta.Revision != former.Meta.Revision:
		answer(w, http.StatusConflict, former)
	default:
		answer(w, http.StatusOK, s.write(kind, name, sent.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > after {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": found, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

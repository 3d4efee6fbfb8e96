package main

// A stand-in of the platform's store: objects by kind and name, one revision counter, lists
// and watches, as the users' pages describe it. It has no faults.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer.
const storeDelay = 4 * time.Millisecond

type object struct {
	Meta map[string]any  `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object, as the operator or a process of the system does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.revision++
	written := object{Meta: map[string]any{"name": name, "revision": s.revision}, Spec: spec}
	s.kinds[kind][name] = written
	s.announce(event{kind: kind, Object: written})
	return written
}

func (s *store) erase(kind, name string) bool {
	former, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	former.Meta = map[string]any{"name": name, "revision": s.revision}
	s.announce(event{kind: kind, Object: former, Deleted: true})
	return true
}

func (s *store) announce(e event) {
	e.revision = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/objects/"), "/")
	kind := parts[0]
	query := request.URL.Query()
	if request.Method == http.MethodGet && len(parts) == 1 && query.Has("watch") {
		s.watch(writer, request, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case request.Method == http.MethodGet && len(parts) == 1:
		answer(writer, 200, map[string]any{"items": s.list(kind, query.Get("after")), "more": false, "current_rev": s.revision})
	case request.Method == http.MethodGet:
		found, ok := s.kinds[kind][parts[1]]
		if !ok {
			answer(writer, 404, map[string]any{})
			return
		}
		answer(writer, 200, found)
	case request.Method == http.MethodPost || request.Method == http.MethodPut:
		s.change(writer, request, kind, parts)
	case request.Method == http.MethodDelete && len(parts) == 2:
		if !s.erase(kind, parts[1]) {
			answer(writer, 404, map[string]any{})
			return
		}
		answer(writer, 200, map[string]any{})
	default:
		answer(writer, 400, map[string]any{})
	}
}

func (s *store) change(writer http.ResponseWriter, request *http.Request, kind string, parts []string) {
	var body object
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		answer(writer, 400, map[string]any{})
		return
	}
	name := fmt.Sprint(body.Meta["name"])
	if len(parts) == 2 {
		name = parts[1]
	}
	former, exists := s.kinds[kind][name]
	if request.Method == http.MethodPost && exists {
		answer(writer, 409, former)
		return
	}
	if given, ok := body.Meta["revision"].(float64); ok && request.Method == http.MethodPut && given != 0 && (!exists || uint64(given) != former.Meta["revision"]) {
		answer(writer, 409, former)
		return
	}
	answer(writer, 200, s.write(kind, name, body.Spec))
}

func (s *store) list(kind, after string) []object {
	items := []object{}
	for name, found := range s.kinds[kind] {
		if name > after {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return fmt.Sprint(items[i].Meta["name"]) < fmt.Sprint(items[j].Meta["name"]) })
	return items
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(max(wait, 0), 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || !waiting {
			answer(writer, 200, map[string]any{"events": found, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

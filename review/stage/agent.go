package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one entry of the endpoint list.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

// listResponse is a response of discovery: the whole list, or the changes since a generation.
type listResponse struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// notice is what a sender has told the platform about a message.
type notice struct {
	state string
	at    time.Duration
}

// agent stands in for discovery's agent and for the platform. It answers at once with what it has.
type agent struct {
	record *recorder
	addr   string
	server *http.Server

	mu          sync.Mutex
	list        []instance   // the current list
	generations [][]instance // the changes of each generation after the first
	changed     chan struct{}
	notices     map[string]notice // by message id, the first one
}

func newAgent(record *recorder, list []instance) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		record:  record,
		addr:    ln.Addr().String(),
		list:    list,
		changed: make(chan struct{}),
		notices: map[string]notice{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveHosts)
	mux.HandleFunc("POST /v1/outcomes", a.serveOutcomes)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(ln)
	return a, nil
}

// whole returns the whole list; the lock must be held.
func (a *agent) whole() listResponse {
	return listResponse{Generation: len(a.generations) + 1, Reset: true, Instances: append([]instance{}, a.list...)}
}

// known returns the list as it stands in a configuration.
func (a *agent) known() listResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

// change adds a generation with the given entries, in their order.
func (a *agent) change(entries ...instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range entries {
		kept := a.list[:0:0]
		for _, old := range a.list {
			if old.ID != entry.ID {
				kept = append(kept, old)
			}
		}
		if entry.Lifecycle != "removed" {
			kept = append(kept, entry)
		}
		a.list = kept
		a.record.printf("discovery: %s of destination %d is %s", entry.ID, entry.Cell, entry.Lifecycle)
	}
	a.generations = append(a.generations, entries)
	close(a.changed)
	a.changed = make(chan struct{})
}

// since returns what a caller with a generation lacks, and a channel that is closed at the next change.
func (a *agent) since(generation int) (listResponse, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := len(a.generations) + 1
	if generation < 1 || generation > current {
		return a.whole(), a.changed
	}
	list := listResponse{Generation: current, Instances: []instance{}}
	for _, entries := range a.generations[generation-1:] {
		list.Instances = append(list.Instances, entries...)
	}
	return list, a.changed
}

func (a *agent) serveHosts(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	hold := time.NewTimer(time.Duration(holdMS) * time.Millisecond)
	defer hold.Stop()
	for held := false; ; {
		list, changed := a.since(from)
		if held || list.Reset || len(list.Instances) > 0 {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			held = true
		case <-r.Context().Done():
			return
		}
	}
}

func (a *agent) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, 1<<20))
	for decoder.More() {
		var line struct{ ID, State string }
		if decoder.Decode(&line) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		if _, again := a.notices[line.ID]; !again {
			a.notices[line.ID] = notice{line.State, a.record.elapsed()}
		}
		a.mu.Unlock()
		a.record.printf("notice: %s %s", line.ID, line.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice about a message.
func (a *agent) noticeOf(id string) (notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.notices[id]
	return n, ok
}

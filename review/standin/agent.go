package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Dest        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// hostList is discovery's answer.
type hostList struct {
	Generation int    `json:"generation"`
	Reset      bool   `json:"reset"`
	Instances  []host `json:"instances"`
}

// notice is the end of a message that the sender has told the platform.
type notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	at    time.Time
}

// agent is the discovery agent of one sender, with a list that does not change, and the receiver of its notices.
type agent struct {
	record *recorder
	list   hostList
	addr   string
	server *http.Server
	ln     net.Listener

	mu      sync.Mutex
	notices map[string]notice // the first one of each message
}

func newAgent(r *recorder, list hostList) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{record: r, list: list, addr: ln.Addr().String(), ln: ln, notices: map[string]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveHosts)
	mux.HandleFunc("POST /v1/outcomes", a.serveOutcomes)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(ln)
	return a, nil
}

// serveHosts returns the whole list, or holds a watch from its version until its time is over.
func (a *agent) serveHosts(w http.ResponseWriter, r *http.Request) {
	answer := a.list
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from == a.list.Generation {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = hostList{Generation: from, Instances: []host{}}
	}
	json.NewEncoder(w).Encode(answer)
}

func (a *agent) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	for in := json.NewDecoder(r.Body); in.More(); {
		var n notice
		if err := in.Decode(&n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.at = time.Now()
		a.record.line("platform: notice %s %s", n.ID, n.State)
		a.mu.Lock()
		if _, repeated := a.notices[n.ID]; !repeated {
			a.notices[n.ID] = n
		}
		a.mu.Unlock()
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

// endIn ends the address as at a new configuration: it takes no new connections, and its open ones close after a delay.
func (a *agent) endIn(delay time.Duration) {
	a.ln.Close()
	time.AfterFunc(delay, func() { a.server.Close() })
}

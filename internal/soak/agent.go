package soak

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one line of the list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// hostList is discovery's answer.
type hostList struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// registry is the list of endpoints, and what became of each.
type registry struct {
	mu      sync.Mutex
	changes []instance // the first ones make up the list of the start
	first   int
	news    chan struct{} // closed at a change
	ends    []drained
}

// drained is an endpoint that wants no calls from a time on.
type drained struct {
	endpoint *endpoint
	at       time.Duration
}

func newRegistry() *registry { return &registry{news: make(chan struct{})} }

// add puts a line on the list.
func (r *registry) add(x instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, x)
	close(r.news)
	r.news = make(chan struct{})
}

// retire takes an endpoint off the list, or lets it drain.
func (r *registry) retire(e *endpoint, lifecycle string) {
	x := lineOf(e)
	x.Lifecycle = lifecycle
	r.mu.Lock()
	r.ends = append(r.ends, drained{e, e.ledger.now()})
	r.mu.Unlock()
	r.add(x)
}

func lineOf(e *endpoint) instance {
	return instance{ID: e.name, HostPort: e.addr, Zone: []string{"a", "b"}[e.zone], Kind: "std", Dest: e.dest.number, Lifecycle: "up", Weight: 1}
}

// since is what a caller that has a generation does not know.
func (r *registry) since(generation int) (hostList, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation < r.first || generation > len(r.changes) {
		whole := hostList{Generation: len(r.changes), Reset: true}
		place := map[string]int{}
		for _, x := range r.changes {
			if i, ok := place[x.ID]; ok {
				whole.Instances[i] = x
				continue
			}
			place[x.ID] = len(whole.Instances)
			whole.Instances = append(whole.Instances, x)
		}
		kept := whole.Instances[:0]
		for _, x := range whole.Instances {
			if x.Lifecycle != "removed" {
				kept = append(kept, x)
			}
		}
		whole.Instances = kept
		return whole, r.news
	}
	return hostList{Generation: len(r.changes), Instances: append([]instance{}, r.changes[generation:]...)}, r.news
}

// agent is discovery as one sender sees it, at two addresses, and what hears of its ends.
type agent struct {
	sender   int
	ledger   *Ledger
	registry *registry
	pushed   bool

	mu      sync.Mutex
	servers [2]*http.Server
	addrs   [2]string
	active  int
	mode    Kind // DiscoveryDown, DiscoverySlow or empty
	changed chan struct{}
	upSince time.Duration // when it could last be reached again

	askedSince time.Duration // when the process was started
	slowSince  time.Duration // when it last began to be slow, and until when
	slowUntil  time.Duration
}

func newAgent(sender int, l *Ledger, r *registry) (*agent, error) {
	a := &agent{sender: sender, ledger: l, registry: r, pushed: l.sc.Pushed, changed: make(chan struct{})}
	return a, a.open(0)
}

// open starts the server at one of the two addresses.
func (a *agent) open(i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.hosts)
	mux.HandleFunc("POST /v1/outcomes", a.outcomes)
	srv := &http.Server{Handler: mux}
	a.mu.Lock()
	a.servers[i], a.addrs[i], a.active = srv, ln.Addr().String(), i
	a.mu.Unlock()
	go srv.Serve(ln)
	return nil
}

// move opens the other address; close ends the one left behind.
func (a *agent) move() (closeOld func(), err error) {
	a.mu.Lock()
	old := a.active
	srv := a.servers[old]
	a.mu.Unlock()
	if err := a.open(1 - old); err != nil {
		return nil, err
	}
	return func() { srv.Close() }, nil
}

func (a *agent) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addrs[a.active]
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, srv := range a.servers {
		if srv != nil {
			srv.Close()
		}
	}
}

// turn sets its trouble; an empty one ends it.
func (a *agent) turn(mode Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case mode == DiscoverySlow:
		a.slowSince, a.slowUntil = a.ledger.now(), never
	case a.mode == DiscoverySlow:
		a.slowUntil = a.ledger.now() + slowList
	}
	a.mode = mode
	close(a.changed)
	a.changed = make(chan struct{})
	if mode != DiscoveryDown {
		a.upSince = a.ledger.now()
	}
}

// slowList is what a slow list takes to come.
const slowList = 700 * time.Millisecond

// never is a time past every run.
const never = time.Duration(math.MaxInt64 / 2)

// askedFrom notes since when there is a process that asks; never while there is none.
func (a *agent) askedFrom(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askedSince = at
}

func (a *agent) state() (Kind, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mode, a.changed
}

// hosts answers a call for the list.
func (a *agent) hosts(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.After(time.Duration(hold) * time.Millisecond)
	for {
		mode, changed := a.state()
		list, news := a.registry.since(from)
		if mode != DiscoveryDown && (list.Reset || len(list.Instances) > 0) {
			a.answer(w, list, mode)
			return
		}
		select {
		case <-news:
		case <-changed:
		case <-until:
			if mode != DiscoveryDown {
				a.answer(w, list, mode)
				return
			}
			until = nil
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a list, and notes what it tells.
func (a *agent) answer(w http.ResponseWriter, list hostList, mode Kind) {
	text, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		panic(err) // a hostList can be encoded
	}
	if mode == DiscoverySlow {
		half := len(text) / 2
		w.Write(text[:half])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(slowList)
		text = text[half:]
	}
	w.Write(text)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	a.tells(list)
}

// tells notes what a list that was written says of endpoints that want no calls.
func (a *agent) tells(list hostList) {
	on := map[string]string{}
	for _, x := range list.Instances {
		on[x.ID] = x.Lifecycle
	}
	now := a.ledger.now()
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, d := range a.registry.ends {
		if s, ok := on[d.endpoint.name]; list.Reset && !ok || ok && s != "up" {
			a.ledger.drains(a.sender, d.endpoint, now)
		}
	}
}

// counts notes what counts as told though it may not have been written. It is called now and then.
func (a *agent) counts(moved time.Duration) {
	a.mu.Lock()
	mode, up, slowSince, slowUntil := a.mode, max(a.upSince, a.askedSince), a.slowSince, a.slowUntil
	a.mu.Unlock()
	if mode == DiscoveryDown {
		return
	}
	now := a.ledger.now()
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, d := range a.registry.ends {
		at := max(d.at, up)
		if !a.pushed || at >= slowSince-slowList && at < slowUntil { // one list after the other may be slow
			at += toldAtLatest
		}
		if moved != 0 {
			at = max(at, moved+movedAtLast)
		}
		if at <= now {
			a.ledger.drains(a.sender, d.endpoint, at)
		}
	}
}

// outcomes takes notices.
func (a *agent) outcomes(w http.ResponseWriter, r *http.Request) {
	var lines []struct{ ID, State string }
	for dec := json.NewDecoder(io.LimitReader(r.Body, 1<<20)); dec.More(); {
		var x struct{ ID, State string }
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	for _, x := range lines {
		a.ledger.noticed(a.sender, x.ID, x.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

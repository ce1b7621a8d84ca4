package soak

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
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
	Dest        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listResponse is the response of discovery: the full list if Reset is set, else the changes since a generation.
type listResponse struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// registry holds the endpoint list as a log of changes. The generation of the list is the length of the log.
type registry struct {
	mu          sync.Mutex
	changes     []instance    // starts with the entries of the initial list
	initial     int           // number of entries in the initial list
	changed     chan struct{} // closed and replaced at every change
	retirements []retirement
}

// retirement records from when on an endpoint should get no more calls.
type retirement struct {
	endpoint *endpoint
	at       time.Duration
}

func newRegistry() *registry { return &registry{changed: make(chan struct{})} }

// add appends a change to the list.
func (r *registry) add(entry instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, entry)
	close(r.changed)
	r.changed = make(chan struct{})
}

// retire sets the lifecycle state of an endpoint to draining or removed.
func (r *registry) retire(e *endpoint, lifecycle string) {
	entry := listEntry(e)
	entry.Lifecycle = lifecycle
	r.mu.Lock()
	r.retirements = append(r.retirements, retirement{e, e.checker.elapsed()})
	r.mu.Unlock()
	r.add(entry)
}

func listEntry(e *endpoint) instance {
	return instance{
		ID:          e.name,
		HostPort:    e.addr,
		Zone:        []string{"a", "b"}[e.zone],
		MachineType: "std",
		Dest:        e.dest.number,
		Lifecycle:   "up",
		Weight:      1,
	}
}

// changesSince returns what a caller with the given generation needs to be up to date, and a channel that is closed at
// the next change. A caller with an invalid generation gets the full list.
func (r *registry) changesSince(generation int) (listResponse, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation < r.initial || generation > len(r.changes) {
		list := listResponse{Generation: len(r.changes), Reset: true}
		index := map[string]int{}
		for _, entry := range r.changes {
			if i, ok := index[entry.ID]; ok {
				list.Instances[i] = entry
				continue
			}
			index[entry.ID] = len(list.Instances)
			list.Instances = append(list.Instances, entry)
		}
		remaining := list.Instances[:0]
		for _, entry := range list.Instances {
			if entry.Lifecycle != "removed" {
				remaining = append(remaining, entry)
			}
		}
		list.Instances = remaining
		return list, r.changed
	}
	return listResponse{Generation: len(r.changes), Instances: append([]instance{}, r.changes[generation:]...)}, r.changed
}

// discoveryAgent simulates discovery and the platform for one sender. It can move between two addresses.
type discoveryAgent struct {
	sender   int
	checker  *Checker
	registry *registry
	pushed   bool

	mu           sync.Mutex
	rng          *rand.Rand // decides on unsolicited data
	servers      [2]*http.Server
	addrs        [2]string
	active       int
	fault        FaultKind // DiscoveryDown, DiscoverySlow or empty
	faultChanged chan struct{}
	upSince      time.Duration // when it last became reachable

	processSince time.Duration // when the sender's process was started
	slowSince    time.Duration // when lists last began to be slow
	slowUntil    time.Duration // until when lists may arrive slowly; distantFuture while the fault lasts
}

func newDiscoveryAgent(sender int, checker *Checker, r *registry) (*discoveryAgent, error) {
	a := &discoveryAgent{
		sender:       sender,
		checker:      checker,
		registry:     r,
		pushed:       checker.scenario.PushDiscovery,
		rng:          rand.New(rand.NewPCG(checker.scenario.Seed, uint64(sender)<<32)),
		faultChanged: make(chan struct{}),
	}
	return a, a.listen(0)
}

// chance returns a random number in [0, 1).
func (a *discoveryAgent) chance() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64()
}

// listen starts a server on a new address and makes it the active one of the two.
func (a *discoveryAgent) listen(i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.serveHosts)
	mux.HandleFunc("POST /v1/outcomes", a.serveOutcomes)
	srv := &http.Server{Handler: mux, ConnState: a.followServer}
	a.mu.Lock()
	a.servers[i], a.addrs[i], a.active = srv, ln.Addr().String(), i
	a.mu.Unlock()
	go srv.Serve(peerListener{ln, a})
	return nil
}

// switchAddress starts the other server. The returned function stops the previous one.
func (a *discoveryAgent) switchAddress() (closeOld func(), err error) {
	a.mu.Lock()
	old := a.active
	srv := a.servers[old]
	a.mu.Unlock()
	if err := a.listen(1 - old); err != nil {
		return nil, err
	}
	return func() { srv.Close() }, nil
}

func (a *discoveryAgent) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addrs[a.active]
}

func (a *discoveryAgent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, srv := range a.servers {
		if srv != nil {
			srv.Close()
		}
	}
}

// setFault sets the current fault, or ends it if kind is empty.
func (a *discoveryAgent) setFault(kind FaultKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case kind == DiscoverySlow:
		a.slowSince, a.slowUntil = a.checker.elapsed(), distantFuture
	case a.fault == DiscoverySlow:
		a.slowUntil = a.checker.elapsed() + slowListDelay
	}
	a.fault = kind
	close(a.faultChanged)
	a.faultChanged = make(chan struct{})
	if kind != DiscoveryDown {
		a.upSince = a.checker.elapsed()
	}
}

// slowListDelay is how long a list takes to arrive under DiscoverySlow.
const slowListDelay = 700 * time.Millisecond

// distantFuture is later than the end of any run.
const distantFuture = time.Duration(math.MaxInt64 / 2)

// setProcessStart records when the sender's process was started; distantFuture if there is none.
func (a *discoveryAgent) setProcessStart(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processSince = at
}

func (a *discoveryAgent) currentFault() (FaultKind, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault, a.faultChanged
}

// serveHosts answers a request for the list. It holds the request until there are changes or hold_ms have passed, and
// in any case while discovery is down.
func (a *discoveryAgent) serveHosts(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdEnd := time.After(time.Duration(holdMS) * time.Millisecond)
	for {
		fault, faultChanged := a.currentFault()
		list, listChanged := a.registry.changesSince(from)
		if fault != DiscoveryDown && (list.Reset || len(list.Instances) > 0) {
			a.writeList(w, list, fault)
			return
		}
		select {
		case <-listChanged:
		case <-faultChanged:
		case <-holdEnd:
			if fault != DiscoveryDown {
				a.writeList(w, list, fault)
				return
			}
			holdEnd = nil
		case <-r.Context().Done():
			return
		}
	}
}

// writeList writes a list and records what the sender learns from it.
func (a *discoveryAgent) writeList(w http.ResponseWriter, list listResponse, fault FaultKind) {
	data, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		panic(err) // cannot happen: a listResponse is always encodable
	}
	if fault == DiscoverySlow {
		half := len(data) / 2
		w.Write(data[:half])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(slowListDelay)
		data = data[half:]
	}
	w.Write(data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	a.recordListed(list)
}

// recordListed records which endpoints a written list reports as draining or removed.
func (a *discoveryAgent) recordListed(list listResponse) {
	lifecycles := map[string]string{}
	for _, entry := range list.Instances {
		lifecycles[entry.ID] = entry.Lifecycle
	}
	now := a.checker.elapsed()
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, retired := range a.registry.retirements {
		if lifecycle, ok := lifecycles[retired.endpoint.name]; list.Reset && !ok || ok && lifecycle != "up" {
			a.checker.recordDrain(a.sender, retired.endpoint, now)
		}
	}
}

// recordOverdue records the retired endpoints that the sender should know of by now, even if no list with them was
// written. It is called periodically.
func (a *discoveryAgent) recordOverdue(discoveryMovedAt time.Duration) {
	a.mu.Lock()
	fault, reachableSince, slowSince, slowUntil := a.fault, max(a.upSince, a.processSince), a.slowSince, a.slowUntil
	a.mu.Unlock()
	if fault == DiscoveryDown {
		return
	}
	now := a.checker.elapsed()
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for _, retired := range a.registry.retirements {
		at := max(retired.at, reachableSince)
		if !a.pushed || at >= slowSince-slowListDelay && at < slowUntil { // several slow lists may follow each other
			at += maxDiscoveryDelay
		}
		if discoveryMovedAt != 0 {
			at = max(at, discoveryMovedAt+maxReloadDelay)
		}
		if at <= now {
			a.checker.recordDrain(a.sender, retired.endpoint, at)
		}
	}
}

// serveOutcomes receives notices.
func (a *discoveryAgent) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	var notices []struct{ ID, State string }
	for dec := json.NewDecoder(io.LimitReader(r.Body, 1<<20)); dec.More(); {
		var notice struct{ ID, State string }
		if err := dec.Decode(&notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		notices = append(notices, notice)
	}
	for _, notice := range notices {
		a.checker.recordNotice(a.sender, notice.ID, notice.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

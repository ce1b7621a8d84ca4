package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"rundeal/logic"
)

const (
	// A sender must act on a change at most 6 s after discovery could have delivered it, even if a watch gets no response.
	// maxWatchHold plus watchTimeoutMargin leaves time for a new call after such a watch.
	maxWatchHold       = 4 * time.Second // longest time that discovery may hold a watch open without a change
	watchTimeoutMargin = time.Second     // after the hold time, for the response to arrive

	// For a full list. After a change of discovery's address the sender must act on the new list within 4 s, so this
	// leaves time for two calls.
	listTimeout          = 2500 * time.Millisecond
	discoveryDialTimeout = 2 * time.Second

	// Longest interval between the starts of a failed call and the next one, within the 6 s for a change.
	maxRetryInterval = 5400 * time.Millisecond

	// Many senders may start at the same moment, so each delays its first watch by a random time. The range of that delay
	// grows with the number of senders.
	minStartSpread       = 300 * time.Millisecond
	startSpreadPerSender = 25 * time.Millisecond
	maxStartSpread       = 3 * time.Second // a change must take effect at most 6 s after a start

	emptyResponsePause   = 100 * time.Millisecond // between watches that return at once without a change
	removedRetention     = time.Minute            // removed endpoints are remembered for this long, since they may return
	addressChangeRetries = 4                      // failed calls to a new address before package logic is notified
	shortRetryPause      = 200 * time.Millisecond // after each of those, and after failed calls to the local agent
)

// errDiscoveryStatus means that discovery responded with an error status. It may be overloaded and should not be called
// again at once.
var errDiscoveryStatus = errors.New("discovery returned status")

// EndpointList is discovery's response.
type EndpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // a full list that replaces the previous one
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Dest        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
}

// listEvent is a response from discovery, or a failed call to it.
type listEvent struct {
	list    EndpointList
	err     error
	elapsed time.Duration // duration of the failed call
	epoch   int           // of the discovery address that was called
}

// Directory maps the instance ids of the endpoint list to the endpoint numbers of package logic. It belongs to the
// event loop.
type Directory struct {
	zones       []string
	kinds       []logic.DestinationKind
	ids         map[string]logic.EndpointID
	endpoints   map[logic.EndpointID]endpointInfo
	destCounts  map[int64]int                  // number of entries in endpoints per destination
	removedAt   map[logic.EndpointID]time.Time // when entries of endpoints were removed from the list
	unavailable map[logic.EndpointID]bool      // entries of endpoints that accept no new calls
	lastID      logic.EndpointID
	unlisted    map[logic.EndpointID]string // ids of instances that were numbered before they were on the list
}

// endpointInfo is what the list says about an endpoint.
type endpointInfo struct {
	instanceID string
	addr       string
	zone       int
	dest       int64
	kind       int
}

// NewDirectory returns an empty directory for a deployment.
func NewDirectory(cfg *Config) *Directory {
	return &Directory{
		zones:       cfg.Deployment.Zones,
		kinds:       cfg.Deployment.Settings.Kinds,
		ids:         map[string]logic.EndpointID{},
		endpoints:   map[logic.EndpointID]endpointInfo{},
		destCounts:  map[int64]int{},
		removedAt:   map[logic.EndpointID]time.Time{},
		unavailable: map[logic.EndpointID]bool{},
		unlisted:    map[logic.EndpointID]string{},
	}
}

// available reports whether an endpoint is listed and accepts new calls.
func (d *Directory) available(id logic.EndpointID) bool {
	_, known := d.endpoints[id]
	return known && !d.unavailable[id]
}

// separateRoute reports whether an endpoint's machine type is a route of its own.
func (d *Directory) separateRoute(id logic.EndpointID) bool {
	kind := d.endpoints[id].kind
	return kind >= 0 && kind < len(d.kinds) && d.kinds[kind].SeparateRoutes
}

// Addr returns the hostPort of an endpoint, empty if the endpoint is unknown.
func (d *Directory) Addr(id logic.EndpointID) string { return d.endpoints[id].addr }

// listedCount returns the number of endpoints on the list.
func (d *Directory) listedCount() int { return len(d.endpoints) - len(d.removedAt) }

// hasDest reports whether a destination has an endpoint, including recently removed ones.
func (d *Directory) hasDest(dest int64) bool { return d.destCounts[dest] > 0 }

// endpointID returns the number of an instance, which need not be on the list yet.
func (d *Directory) endpointID(instanceID string) logic.EndpointID {
	if id, ok := d.ids[instanceID]; ok {
		return id
	}
	id := d.assignID(instanceID)
	d.unlisted[id] = instanceID
	return id
}

// instanceID returns the id of the instance with this number, empty if there is none.
func (d *Directory) instanceID(id logic.EndpointID) string {
	if info, ok := d.endpoints[id]; ok {
		return info.instanceID
	}
	return d.unlisted[id]
}

// assignID numbers an instance.
func (d *Directory) assignID(instanceID string) logic.EndpointID {
	d.lastID++
	d.ids[instanceID] = d.lastID
	return d.lastID
}

// purgeRemoved deletes endpoints that were removed from the list more than removedRetention ago, except those in use.
func (d *Directory) purgeRemoved(now time.Time, inUse map[logic.EndpointID]bool) {
	for id, at := range d.removedAt {
		if now.Sub(at) > removedRetention && !inUse[id] {
			d.deleteEntry(id)
		}
	}
}

func (d *Directory) deleteEntry(id logic.EndpointID) {
	info, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	delete(d.removedAt, id)
	delete(d.unavailable, id)
	delete(d.ids, info.instanceID)
	if d.destCounts[info.dest]--; d.destCounts[info.dest] == 0 {
		delete(d.destCounts, info.dest)
	}
}

// Apply updates the directory with a list that arrived at the given time and returns the entries for package logic. An
// endpoint keeps its number while it is on the list, even if its address changes, and for some time after its removal.
func (d *Directory) Apply(list EndpointList, now time.Time) []logic.EndpointEntry {
	entries := make([]logic.EndpointEntry, 0, len(list.Instances))
	if list.Reset {
		present := map[string]bool{}
		for _, inst := range list.Instances {
			present[inst.ID] = true
		}
		for id, info := range d.endpoints {
			if !present[info.instanceID] {
				d.markRemoved(id, now)
			}
		}
	}
	for _, inst := range list.Instances {
		id, ok := d.ids[inst.ID]
		if !ok && inst.Lifecycle == "removed" {
			continue // never seen, or already purged
		}
		if !ok {
			id = d.assignID(inst.ID)
		}
		entry := logic.EndpointEntry{
			Endpoint:    id,
			Zone:        slices.Index(d.zones, inst.Zone),
			Dest:        inst.Dest,
			NominalRate: inst.Weight,
			Kind:        slices.IndexFunc(d.kinds, func(k logic.DestinationKind) bool { return k.Name == inst.MachineType }),
		}
		switch inst.Lifecycle {
		case "up":
			entry.State = logic.Ready
		case "removed":
			entry.State = logic.Removed
		default: // send nothing new to an endpoint in an unknown state
			entry.State = logic.Draining
		}
		info, known := d.endpoints[id]
		if known {
			d.destCounts[info.dest]--
		}
		if inst.HostPort != "" || !known {
			info = endpointInfo{
				instanceID: inst.ID,
				addr:       inst.HostPort,
				zone:       entry.Zone,
				dest:       entry.Dest,
				kind:       entry.Kind,
			}
		}
		d.destCounts[info.dest]++
		if entry.State == logic.Removed {
			d.markRemoved(id, now)
		} else {
			delete(d.removedAt, id)
		}
		if d.endpoints[id] = info; entry.State == logic.Ready {
			delete(d.unavailable, id)
		} else {
			d.unavailable[id] = true
		}
		entries = append(entries, entry)
	}
	return entries
}

// markRemoved notes that an endpoint is no longer on the list.
func (d *Directory) markRemoved(id logic.EndpointID, now time.Time) {
	if _, ok := d.removedAt[id]; !ok {
		d.removedAt[id] = now
	}
	d.unavailable[id] = true
}

// discoveryClient follows the endpoint list. In on-request mode it calls discovery itself: a watch runs from the moment
// it is requested until calls fail or discovery's address changes. In pushed mode the address is that of a local
// agent. A sender must act on what the agent has from the start of the process, so the first watch begins without delay
// and ends only when the address changes. It belongs to the event loop.
type discoveryClient struct {
	addr          string
	pushed        bool
	noStartSpread bool // the first watch begins at once: this process replaces one that had the list
	client        *http.Client
	log           *slog.Logger
	events        chan<- any
	senders       int   // number of senders that call discovery
	generation    int64 // of the list that the event loop has
	hasList       bool  // the event loop has a list, perhaps a cached one
	watching      bool
	receivedList  bool                // discovery has sent a list since the start of this process
	epoch         int                 // number of address changes
	stopWatch     context.CancelFunc  // stops the current watch
	watchHold     time.Duration       // longest hold time of a watch
	bodyTimeout   time.Duration       // for the body of a response, after its header
	randN         func(n int64) int64 // random number in [0, n)
}

func newDiscoveryClient(addr string, senders int, log *slog.Logger, events chan<- any) *discoveryClient {
	return &discoveryClient{
		addr:        addr,
		senders:     senders,
		log:         log,
		events:      events,
		watchHold:   maxWatchHold,
		bodyTimeout: listTimeout,
		randN:       rand.Int64N,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: discoveryDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     4,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// close stops the watch and closes idle connections.
func (d *discoveryClient) close() {
	if d.stopWatch != nil {
		d.stopWatch()
	}
	d.client.CloseIdleConnections()
}

// setAddr stops the watch and changes the address. The next watch requests a full list, since generations at the new
// address need not continue those of the old one.
func (d *discoveryClient) setAddr(addr string) {
	d.close()
	d.addr, d.hasList, d.watching = addr, false, false
	d.epoch++
}

// accept updates the state with an event of a watch. It returns false for events from a previous address, which must be
// ignored.
func (d *discoveryClient) accept(ev listEvent) bool {
	if ev.epoch != d.epoch {
		return false
	}
	if ev.err != nil {
		d.watching = false
	} else {
		d.generation, d.hasList, d.receivedList = ev.list.Generation, true, true
	}
	return true
}

// startWatch starts a watch unless one is running.
func (d *discoveryClient) startWatch(ctx context.Context) {
	if d.watching {
		return
	}
	d.watching = true
	w := listWatch{
		client:      d,
		baseURL:     "http://" + d.addr + "/discovery/hosts",
		epoch:       d.epoch,
		generation:  d.generation,
		hasList:     d.hasList,
		startSpread: d.watchStartSpread(),
	}
	ctx, stop := context.WithCancel(ctx)
	d.stopWatch = stop
	if d.epoch > 0 && !d.hasList {
		w.retriesLeft = addressChangeRetries
	}
	go func() {
		defer d.client.CloseIdleConnections()
		defer stop()
		w.run(ctx)
	}()
}

// watchStartSpread is the range of the random delay before a watch. In on-request mode the sender has 6 s after its
// start to act on changes, and the cached list is good enough for part of that time. In pushed mode it must act at once
// on what the local agent has. Only the first watch is delayed: later ones follow a failed call and the pause after it.
func (d *discoveryClient) watchStartSpread() time.Duration {
	if d.pushed || d.noStartSpread || d.receivedList || !d.hasList || d.stopWatch != nil {
		return 0
	}
	return d.fleetStartSpread()
}

// fleetStartSpread is the range over which senders that start at the same moment begin their watches. Discovery serves
// a limited number of calls per second and rejects those that wait too long.
func (d *discoveryClient) fleetStartSpread() time.Duration {
	return min(max(minStartSpread, time.Duration(d.senders)*startSpreadPerSender), maxStartSpread)
}

// listWatch is a sequence of long-polling calls. Each follows the previous response soon enough for discovery to
// continue the watch, so that no change is missed in between.
type listWatch struct {
	client      *discoveryClient
	baseURL     string
	epoch       int
	generation  int64
	hasList     bool
	retriesLeft int           // failed calls that are retried before the watch fails
	startSpread time.Duration // range of the random delay before the first call
}

func (w *listWatch) run(ctx context.Context) {
	sleepContext(ctx, time.Duration(w.client.randN(int64(w.startSpread)+1)))
	healthy, logged := false, false // the last call returned a list; the current run of failures was logged
	for ctx.Err() == nil {
		url, timeout := w.baseURL, listTimeout
		if w.hasList {
			hold := w.holdTime()
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, w.generation, hold.Milliseconds())
			timeout = hold + watchTimeoutMargin
		}
		start := time.Now()
		list, err := w.client.fetch(ctx, url, timeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !logged || !w.client.pushed { // in pushed mode, once per run of failures
				w.client.log.Warn("discovery", "err", err)
			}
			logged = true
			gotStatus := errors.Is(err, errDiscoveryStatus)
			// In on-request mode, retry if a working watch timed out or its connection broke.
			retry := w.client.pushed || healthy && !gotStatus
			healthy = false
			if w.retriesLeft--; retry || w.retriesLeft >= 0 {
				w.pauseAfterFailure(ctx, maxRetryInterval-time.Since(start), gotStatus)
				continue
			}
			w.client.events <- listEvent{err: err, elapsed: time.Since(start), epoch: w.epoch}
			return
		}
		w.generation, w.hasList, w.retriesLeft = list.Generation, true, 0
		healthy, logged = true, false
		w.client.events <- listEvent{list: list, epoch: w.epoch}
		pause := reuseDelay
		if len(list.Instances) == 0 && time.Since(start) < emptyResponsePause {
			pause = jitter(emptyResponsePause)
		}
		sleepContext(ctx, pause)
	}
}

// holdTime is the hold time of the next watch. A change ends the watches of all senders at once, so that their next
// ones begin together. In on-request mode the hold time is random, so that those do not also expire together.
func (w *listWatch) holdTime() time.Duration {
	if w.client.pushed {
		return w.client.watchHold
	}
	return w.client.watchHold - time.Duration(w.client.randN(int64(w.client.watchHold/4)))
}

// pauseAfterFailure waits before the call after a failed one, remaining at most. Calls that probably failed for all
// senders at once, or that were rejected because of load, are spread over the same range as starts. Calls to a local
// agent or to a new address are retried soon.
func (w *listWatch) pauseAfterFailure(ctx context.Context, remaining time.Duration, gotStatus bool) {
	spread := shortRetryPause
	if w.retriesLeft < 0 && (gotStatus || !w.client.pushed) {
		spread = max(min(w.client.fleetStartSpread(), remaining*2/3), shortRetryPause) // the pause is 0.5 to 1.5 times this
	}
	sleepContext(ctx, spread/2+time.Duration(w.client.randN(int64(spread))))
}

func (d *discoveryClient) fetch(ctx context.Context, url string, timeout time.Duration) (EndpointList, error) {
	var list EndpointList
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, acknowledgeResponse := withAcknowledgment(ctx)
	defer acknowledgeResponse()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	defer time.AfterFunc(d.bodyTimeout, cancel).Stop() // a body that stalls must not use up the whole watch timeout
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxListSize))
		return list, fmt.Errorf("%w %s", errDiscoveryStatus, resp.Status)
	}
	if list, err = readList(resp.Body); err != nil {
		return list, err
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxListSize))
	return list, nil
}

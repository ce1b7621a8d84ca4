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
	maxWatchHold          = 4 * time.Second         // how long a watch may wait for news: what a silent one misses counts as told after 6 s
	watchTimeoutMargin    = time.Second             // and how much later its answer may come
	listTimeout           = 2500 * time.Millisecond // for the whole list: after a move it counts as told 4 s later, so there is time for two calls
	discoveryDialTimeout  = 2 * time.Second
	maxRetryInterval      = 5400 * time.Millisecond // from a call that fails to the next, counted from their starts: news counts as told after 6 s
	minStartSpread        = 300 * time.Millisecond  // within this a start begins to watch, at least: many may start at one moment
	startSpreadPerSender  = 25 * time.Millisecond   // and within so much for each sender that there is ...
	maxStartSpread        = 3 * time.Second         // ... but this at most: news counts as told 6 s after a start
	emptyResponsePause    = 100 * time.Millisecond  // between watches that are answered at once with nothing
	removedRetention      = time.Minute             // an endpoint off the list is remembered so long: it may come back
	addressChangeAttempts = 4                       // calls to a new address that may fail before the module is told
	shortRetryPause       = 200 * time.Millisecond  // after each
)

// errTurnedAway says that discovery has answered without a list: it may be overbooked, and wants no call at once.
var errDiscoveryStatus = errors.New("discovery answered")

// EndpointList is discovery's answer.
type EndpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
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

// listEvent is news of the list, or of a call for it that failed.
type listEvent struct {
	list    EndpointList
	err     error
	elapsed time.Duration // by the call that failed
	epoch   int           // of the address that it comes from
}

// Directory maps the list's names to the module's numbers. The loop owns it.
type Directory struct {
	zones       []string
	kinds       []logic.Kind
	ids         map[string]logic.EndpointID
	endpoints   map[logic.EndpointID]endpointInfo
	destCounts  map[int64]int                  // how many of eps a destination has
	removedAt   map[logic.EndpointID]time.Time // of eps, those that were taken off the list, and when
	unavailable map[logic.EndpointID]bool      // of eps, those that want no new calls
	lastID      logic.EndpointID
}

// target is where an endpoint can be reached.
type endpointInfo struct {
	instanceID string // on the list
	addr       string
	zone       int
	dest       int64
	kind       int
}

// NewDirectory makes an empty directory for a deployment.
func NewDirectory(cfg *Config) *Directory {
	return &Directory{zones: cfg.Deploy.Zones, kinds: cfg.Deploy.Settings.Kinds,
		ids: map[string]logic.EndpointID{}, endpoints: map[logic.EndpointID]endpointInfo{}, destCounts: map[int64]int{},
		removedAt: map[logic.EndpointID]time.Time{}, unavailable: map[logic.EndpointID]bool{}}
}

// ready says whether an endpoint is listed and takes new calls.
func (d *Directory) available(id logic.EndpointID) bool {
	_, known := d.endpoints[id]
	return known && !d.unavailable[id]
}

// apart says whether an endpoint is a route of its own.
func (d *Directory) separateRoute(id logic.EndpointID) bool {
	kind := d.endpoints[id].kind
	return kind >= 0 && kind < len(d.kinds) && d.kinds[kind].Apart
}

// Addr is where an endpoint can be reached, as hostPort of the list; empty if it is not known.
func (d *Directory) Addr(id logic.EndpointID) string { return d.endpoints[id].addr }

// listed is how many endpoints are on the list.
func (d *Directory) listedCount() int { return len(d.endpoints) - len(d.removedAt) }

// serves says whether a destination has an endpoint, or had one a short while ago.
func (d *Directory) hasDest(dest int64) bool { return d.destCounts[dest] > 0 }

// forget drops endpoints that have long been off the list, but for those in use.
func (d *Directory) purgeRemoved(now time.Time, inUse map[logic.EndpointID]bool) {
	for id, at := range d.removedAt {
		if now.Sub(at) > removedRetention && !inUse[id] {
			d.deleteEntry(id)
		}
	}
}

func (d *Directory) deleteEntry(id logic.EndpointID) {
	to, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	delete(d.removedAt, id)
	delete(d.unavailable, id)
	delete(d.ids, to.instanceID)
	if d.destCounts[to.dest]--; d.destCounts[to.dest] == 0 {
		delete(d.destCounts, to.dest)
	}
}

// Apply turns a list that came at a time into the module's entries. An endpoint keeps its number as long
// as it is on the list, whatever its address, and for a while after.
func (d *Directory) Apply(l EndpointList, now time.Time) []logic.Entry {
	rows := make([]logic.Entry, 0, len(l.Instances))
	if l.Reset {
		on := map[string]bool{}
		for _, in := range l.Instances {
			on[in.ID] = true
		}
		for id, to := range d.endpoints {
			if !on[to.instanceID] {
				d.markRemoved(id, now)
			}
		}
	}
	for _, in := range l.Instances {
		id, ok := d.ids[in.ID]
		if !ok && in.Lifecycle == "removed" {
			continue // it was never on our list, or is forgotten
		}
		if !ok {
			d.lastID++
			id = d.lastID
			d.ids[in.ID] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: in.Dest, Nominal: in.Weight,
			Kind: slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.MachineType })}
		switch in.Lifecycle {
		case "up":
			row.State = logic.Ready
		case "removed":
			row.State = logic.Gone
		default: // a state that is not known is no invitation to send
			row.State = logic.Draining
		}
		to, listed := d.endpoints[id]
		if listed {
			d.destCounts[to.dest]--
		}
		if in.HostPort != "" || !listed {
			to = endpointInfo{instanceID: in.ID, addr: in.HostPort, zone: row.Zone, dest: row.Dest, kind: row.Kind}
		}
		d.destCounts[to.dest]++
		if row.State == logic.Gone {
			d.markRemoved(id, now)
		} else {
			delete(d.removedAt, id)
		}
		if d.endpoints[id] = to; row.State == logic.Ready {
			delete(d.unavailable, id)
		} else {
			d.unavailable[id] = true
		}
		rows = append(rows, row)
	}
	return rows
}

// leave notes that an endpoint is off the list.
func (d *Directory) markRemoved(id logic.EndpointID, now time.Time) {
	if _, ok := d.removedAt[id]; !ok {
		d.removedAt[id] = now
	}
	d.unavailable[id] = true
}

// discovery asks for the list. Where it is asked, a watch runs from its start until calls fail or discovery moves.
// Where the list is pushed, the address is an agent of our own: what that has counts as told from the start of the
// process, watch or no watch, so the first one begins at once and ends only with a move. The loop owns it.
type discoveryClient struct {
	addr         string
	pushed       bool
	client       *http.Client
	log          *slog.Logger
	events       chan<- any
	senders      int   // that ask it
	generation   int64 // of the list that the loop has
	hasList      bool  // there is such a list
	watching     bool
	receivedList bool                   // from discovery itself, in the life of this process
	epoch        int                    // counts the addresses
	stopWatch    context.CancelFunc     // of the watch
	watchHold    time.Duration          // of a watch
	bodyTimeout  time.Duration          // for an answer that has begun to come whole
	randN        func(most int64) int64 // a number below most, by chance
}

func newDiscoveryClient(addr string, senders int, log *slog.Logger, events chan<- any) *discoveryClient {
	return &discoveryClient{addr: addr, senders: senders, log: log, events: events, watchHold: maxWatchHold, bodyTimeout: listTimeout, randN: rand.Int64N, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: discoveryDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// halt ends the watch.
func (d *discoveryClient) close() {
	if d.stopWatch != nil {
		d.stopWatch()
	}
	d.client.CloseIdleConnections()
}

// move ends the watch and turns to another address. The list there is asked for
// whole, since its generations need not follow on from those of the old one.
func (d *discoveryClient) setAddr(addr string) {
	d.close()
	d.addr, d.hasList, d.watching = addr, false, false
	d.epoch++
}

// takes notes what a watch has brought, and says whether it is news: a watch at an
// address left behind has nothing to tell.
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

// watch begins to follow the list, unless it does so already.
func (d *discoveryClient) startWatch(ctx context.Context) {
	if d.watching {
		return
	}
	d.watching = true
	w := listWatch{client: d, baseURL: "http://" + d.addr + "/discovery/hosts", epoch: d.epoch, generation: d.generation, hasList: d.hasList, startSpread: d.watchStartSpread()}
	ctx, stop := context.WithCancel(ctx)
	d.stopWatch = stop
	if d.epoch > 0 && !d.hasList {
		w.retriesLeft = addressChangeAttempts
	}
	go func() {
		defer stop()
		w.run(ctx)
	}()
}

// begin is the span within which the watch begins. What discovery has to tell after a start counts as told 6 s later,
// and the list of the start will do for a part of that; what an agent of our own has counts as told at once. Only the
// first watch waits: a later one follows a call that failed, and the pause after that.
func (d *discoveryClient) watchStartSpread() time.Duration {
	if d.pushed || d.receivedList || !d.hasList || d.stopWatch != nil {
		return 0
	}
	return d.fleetStartSpread()
}

// firstSpread is the span within which all senders that start at one moment begin to watch. Discovery serves so many
// a second, and turns away who waits too long.
func (d *discoveryClient) fleetStartSpread() time.Duration {
	return min(max(minStartSpread, time.Duration(d.senders)*startSpreadPerSender), maxStartSpread)
}

// watch is a row of calls, each after the last answer at once, so that nothing is
// missed in between.
type listWatch struct {
	client      *discoveryClient
	baseURL     string
	epoch       int
	generation  int64
	hasList     bool
	retriesLeft int           // calls that may fail before the watch does
	startSpread time.Duration // the first call comes at any time within this
}

func (w *listWatch) run(ctx context.Context) {
	pause(ctx, time.Duration(w.client.randN(int64(w.startSpread)+1)))
	well, said := false, false // the last answer was a list; a failure was logged
	for ctx.Err() == nil {
		url, limit := w.baseURL, listTimeout
		if w.hasList {
			hold := w.holdTime()
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, w.generation, hold.Milliseconds())
			limit = hold + watchTimeoutMargin
		}
		at := time.Now()
		list, err := w.client.fetch(ctx, url, limit)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !said || !w.client.pushed { // once for a row of failures
				w.client.log.Warn("discovery", "err", err)
			}
			said = true
			away := errors.Is(err, errDiscoveryStatus)
			again := w.client.pushed || well && !away // one that was well has fallen silent, or broke: opened anew
			well = false
			if w.retriesLeft--; again || w.retriesLeft >= 0 {
				w.pauseAfterFailure(ctx, maxRetryInterval-time.Since(at), away)
				continue
			}
			w.client.events <- listEvent{err: err, elapsed: time.Since(at), epoch: w.epoch}
			return
		}
		w.generation, w.hasList, w.retriesLeft = list.Generation, true, 0
		well, said = true, false
		w.client.events <- listEvent{list: list, epoch: w.epoch}
		if len(list.Instances) == 0 && time.Since(at) < emptyResponsePause {
			pause(ctx, jitter(emptyResponsePause))
		}
	}
}

// hold is how long the next watch may wait. News answers the watches of all senders at one moment, and the next begin
// in step: where they ask one discovery, those must not end in step too.
func (w *listWatch) holdTime() time.Duration {
	if w.client.pushed {
		return w.client.watchHold
	}
	return w.client.watchHold - time.Duration(w.client.randN(int64(w.client.watchHold/4)))
}

// rest waits after a call that failed, for no longer than left. What fails for all senders at once, or is too much for
// who answers them, is asked again over the span of a start; an agent of our own and a new address, soon.
func (w *listWatch) pauseAfterFailure(ctx context.Context, left time.Duration, away bool) {
	rest := shortRetryPause
	if w.retriesLeft < 0 && (away || !w.client.pushed) {
		rest = max(min(w.client.fleetStartSpread(), left*2/3), shortRetryPause) // a half more by chance
	}
	pause(ctx, rest/2+time.Duration(w.client.randN(int64(rest))))
}

func (d *discoveryClient) fetch(ctx context.Context, url string, limit time.Duration) (EndpointList, error) {
	var list EndpointList
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	defer time.AfterFunc(d.bodyTimeout, cancel).Stop() // one that falls silent in the middle must not cost a whole watch
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

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
	watchHold  = 4 * time.Second         // how long a watch may wait for news: what a silent one misses counts as told after 6 s
	watchSlack = time.Second             // and how much later its answer may come
	listTime   = 2500 * time.Millisecond // for the whole list: after a move it counts as told 4 s later, so there is time for two calls
	dialTime   = 2 * time.Second
	nextCall   = 5400 * time.Millisecond // from a call that fails to the next, counted from their starts: news counts as told after 6 s
	firstWatch = 300 * time.Millisecond  // within this a start begins to watch, at least: many may start at one moment
	watchShare = 25 * time.Millisecond   // and within so much for each sender that there is ...
	lastWatch  = 3 * time.Second         // ... but this at most: news counts as told 6 s after a start
	emptyPause = 100 * time.Millisecond  // between watches that are answered at once with nothing
	keepGone   = time.Minute             // an endpoint off the list is remembered so long: it may come back
	moveTries  = 4                       // calls to a new address that may fail before the module is told
	movePause  = 200 * time.Millisecond  // after each
)

// errTurnedAway says that discovery has answered without a list: it may be overbooked, and wants no call at once.
var errTurnedAway = errors.New("discovery answered")

// List is discovery's answer.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int64   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

// listEvent is news of the list, or of a call for it that failed.
type listEvent struct {
	list  List
	err   error
	took  time.Duration // by the call that failed
	epoch int           // of the address that it comes from
}

// Directory maps the list's names to the module's numbers. The loop owns it.
type Directory struct {
	zones []string
	kinds []logic.Kind
	ids   map[string]logic.EndpointID
	eps   map[logic.EndpointID]target
	dests map[int64]int                  // how many of eps a destination has
	gone  map[logic.EndpointID]time.Time // of eps, those that were taken off the list, and when
	shut  map[logic.EndpointID]bool      // of eps, those that want no new calls
	last  logic.EndpointID
}

// target is where an endpoint can be reached.
type target struct {
	name string // on the list
	addr string
	zone int
	dest int64
	kind int
}

// NewDirectory makes an empty directory for a deployment.
func NewDirectory(cfg *Config) *Directory {
	return &Directory{zones: cfg.Deploy.Zones, kinds: cfg.Deploy.Settings.Kinds,
		ids: map[string]logic.EndpointID{}, eps: map[logic.EndpointID]target{}, dests: map[int64]int{},
		gone: map[logic.EndpointID]time.Time{}, shut: map[logic.EndpointID]bool{}}
}

// ready says whether an endpoint is listed and takes new calls.
func (d *Directory) ready(id logic.EndpointID) bool {
	_, known := d.eps[id]
	return known && !d.shut[id]
}

// apart says whether an endpoint is a route of its own.
func (d *Directory) apart(id logic.EndpointID) bool {
	kind := d.eps[id].kind
	return kind >= 0 && kind < len(d.kinds) && d.kinds[kind].Apart
}

// Addr is where an endpoint can be reached, as hostPort of the list; empty if it is not known.
func (d *Directory) Addr(id logic.EndpointID) string { return d.eps[id].addr }

// listed is how many endpoints are on the list.
func (d *Directory) listed() int { return len(d.eps) - len(d.gone) }

// serves says whether a destination has an endpoint, or had one a short while ago.
func (d *Directory) serves(dest int64) bool { return d.dests[dest] > 0 }

// forget drops endpoints that have long been off the list, but for those in use.
func (d *Directory) forget(now time.Time, inUse map[logic.EndpointID]bool) {
	for id, at := range d.gone {
		if now.Sub(at) > keepGone && !inUse[id] {
			d.drop(id)
		}
	}
}

func (d *Directory) drop(id logic.EndpointID) {
	to, ok := d.eps[id]
	if !ok {
		return
	}
	delete(d.eps, id)
	delete(d.gone, id)
	delete(d.shut, id)
	delete(d.ids, to.name)
	if d.dests[to.dest]--; d.dests[to.dest] == 0 {
		delete(d.dests, to.dest)
	}
}

// Take turns a list that came at a time into the module's entries. An endpoint keeps its number as long
// as it is on the list, whatever its address, and for a while after.
func (d *Directory) Take(l List, now time.Time) []logic.Entry {
	rows := make([]logic.Entry, 0, len(l.Instances))
	if l.Reset {
		on := map[string]bool{}
		for _, in := range l.Instances {
			on[in.ID] = true
		}
		for id, to := range d.eps {
			if !on[to.name] {
				d.leave(id, now)
			}
		}
	}
	for _, in := range l.Instances {
		id, ok := d.ids[in.ID]
		if !ok && in.Lifecycle == "removed" {
			continue // it was never on our list, or is forgotten
		}
		if !ok {
			d.last++
			id = d.last
			d.ids[in.ID] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: in.Dest, Nominal: in.Weight,
			Kind: slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind })}
		switch in.Lifecycle {
		case "up":
			row.State = logic.Ready
		case "removed":
			row.State = logic.Gone
		default: // a state that is not known is no invitation to send
			row.State = logic.Draining
		}
		to, listed := d.eps[id]
		if listed {
			d.dests[to.dest]--
		}
		if in.HostPort != "" || !listed {
			to = target{name: in.ID, addr: in.HostPort, zone: row.Zone, dest: row.Dest, kind: row.Kind}
		}
		d.dests[to.dest]++
		if row.State == logic.Gone {
			d.leave(id, now)
		} else {
			delete(d.gone, id)
		}
		if d.eps[id] = to; row.State == logic.Ready {
			delete(d.shut, id)
		} else {
			d.shut[id] = true
		}
		rows = append(rows, row)
	}
	return rows
}

// leave notes that an endpoint is off the list.
func (d *Directory) leave(id logic.EndpointID, now time.Time) {
	if _, ok := d.gone[id]; !ok {
		d.gone[id] = now
	}
	d.shut[id] = true
}

// discovery asks for the list. Where it is asked, a watch runs from its start until calls fail or discovery moves.
// Where the list is pushed, the address is an agent of our own: what that has counts as told from the start of the
// process, watch or no watch, so the first one begins at once and ends only with a move. The loop owns it.
type discovery struct {
	addr     string
	pushed   bool
	client   *http.Client
	log      *slog.Logger
	events   chan<- any
	senders  int   // that ask it
	gen      int64 // of the list that the loop has
	started  bool  // there is such a list
	watching bool
	heard    bool                   // from discovery itself, in the life of this process
	epoch    int                    // counts the addresses
	stop     context.CancelFunc     // of the watch
	hold     time.Duration          // of a watch
	rest     time.Duration          // for an answer that has begun to come whole
	draw     func(most int64) int64 // a number below most, by chance
}

func newDiscovery(addr string, senders int, log *slog.Logger, events chan<- any) *discovery {
	return &discovery{addr: addr, senders: senders, log: log, events: events, hold: watchHold, rest: listTime, draw: rand.Int64N, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// halt ends the watch.
func (d *discovery) halt() {
	if d.stop != nil {
		d.stop()
	}
	d.client.CloseIdleConnections()
}

// move ends the watch and turns to another address. The list there is asked for
// whole, since its generations need not follow on from those of the old one.
func (d *discovery) move(addr string) {
	d.halt()
	d.addr, d.started, d.watching = addr, false, false
	d.epoch++
}

// takes notes what a watch has brought, and says whether it is news: a watch at an
// address left behind has nothing to tell.
func (d *discovery) takes(ev listEvent) bool {
	if ev.epoch != d.epoch {
		return false
	}
	if ev.err != nil {
		d.watching = false
	} else {
		d.gen, d.started, d.heard = ev.list.Generation, true, true
	}
	return true
}

// watch begins to follow the list, unless it does so already.
func (d *discovery) watch(ctx context.Context) {
	if d.watching {
		return
	}
	d.watching = true
	w := watch{d: d, base: "http://" + d.addr + "/discovery/hosts", epoch: d.epoch, gen: d.gen, started: d.started, spread: d.begin()}
	ctx, stop := context.WithCancel(ctx)
	d.stop = stop
	if d.epoch > 0 && !d.started {
		w.spare = moveTries
	}
	go func() {
		defer stop()
		w.run(ctx)
	}()
}

// begin is the span within which the watch begins. What discovery has to tell after a start counts as told 6 s later,
// and the list of the start will do for a part of that; what an agent of our own has counts as told at once. Only the
// first watch waits: a later one follows a call that failed, and the pause after that.
func (d *discovery) begin() time.Duration {
	if d.pushed || d.heard || !d.started || d.stop != nil {
		return 0
	}
	return d.firstSpread()
}

// firstSpread is the span within which all senders that start at one moment begin to watch. Discovery serves so many
// a second, and turns away who waits too long.
func (d *discovery) firstSpread() time.Duration {
	return min(max(firstWatch, time.Duration(d.senders)*watchShare), lastWatch)
}

// watch is a row of calls, each after the last answer at once, so that nothing is
// missed in between.
type watch struct {
	d       *discovery
	base    string
	epoch   int
	gen     int64
	started bool
	spare   int           // calls that may fail before the watch does
	spread  time.Duration // the first call comes at any time within this
}

func (w *watch) run(ctx context.Context) {
	sleepContext(ctx, time.Duration(w.d.draw(int64(w.spread)+1)))
	well, said := false, false // the last answer was a list; a failure was logged
	for ctx.Err() == nil {
		url, limit := w.base, listTime
		if w.started {
			hold := w.hold()
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, w.gen, hold.Milliseconds())
			limit = hold + watchSlack
		}
		at := time.Now()
		list, err := w.d.get(ctx, url, limit)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !said || !w.d.pushed { // once for a row of failures
				w.d.log.Warn("discovery", "err", err)
			}
			said = true
			away := errors.Is(err, errTurnedAway)
			again := w.d.pushed || well && !away // one that was well has fallen silent, or broke: opened anew
			well = false
			if w.spare--; again || w.spare >= 0 {
				w.rest(ctx, nextCall-time.Since(at), away)
				continue
			}
			w.d.events <- listEvent{err: err, took: time.Since(at), epoch: w.epoch}
			return
		}
		w.gen, w.started, w.spare = list.Generation, true, 0
		well, said = true, false
		w.d.events <- listEvent{list: list, epoch: w.epoch}
		if len(list.Instances) == 0 && time.Since(at) < emptyPause {
			sleepContext(ctx, jitter(emptyPause))
		}
	}
}

// hold is how long the next watch may wait. News answers the watches of all senders at one moment, and the next begin
// in step: where they ask one discovery, those must not end in step too.
func (w *watch) hold() time.Duration {
	if w.d.pushed {
		return w.d.hold
	}
	return w.d.hold - time.Duration(w.d.draw(int64(w.d.hold/4)))
}

// rest waits after a call that failed, for no longer than left. What fails for all senders at once, or is too much for
// who answers them, is asked again over the span of a start; an agent of our own and a new address, soon.
func (w *watch) rest(ctx context.Context, left time.Duration, away bool) {
	rest := movePause
	if w.spare < 0 && (away || !w.d.pushed) {
		rest = max(min(w.d.firstSpread(), left*2/3), movePause) // a half more by chance
	}
	sleepContext(ctx, rest/2+time.Duration(w.d.draw(int64(rest))))
}

func (d *discovery) get(ctx context.Context, url string, limit time.Duration) (List, error) {
	var list List
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
	defer time.AfterFunc(d.rest, cancel).Stop() // one that falls silent in the middle must not cost a whole watch
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
		return list, fmt.Errorf("%w %s", errTurnedAway, resp.Status)
	}
	if list, err = readList(resp.Body); err != nil {
		return list, err
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
	return list, nil
}

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// base is a plain deployment: two senders, one safe, one keyed and one unsafe class, one kind of destination.
func baseSettings() Settings {
	return Settings{Senders: 2, Zones: 1, CallSlots: 8, MaxOpen: 60, MaxAttempts: 6, Tick: 5000, MayCancel: true, RetryAfter: true,
		Classes: []Class{
			{Name: "a", TargetLatency: Second, Deadline: 10 * Second, Value: 1, LateValue: 0.5},
			{Name: "b", TargetLatency: 2 * Second, Deadline: 12 * Second, Value: 2, LateValue: 0.4, Idempotency: IdempotentByKey, DedupWindow: 8 * Second},
			{Name: "c", TargetLatency: 2 * Second, Deadline: 14 * Second, Value: 4, LateValue: 0.3, Idempotency: NonIdempotent}},
		Kinds: []DestinationKind{{Name: "k", MaxBatch: 1}}, MaxRetryAfter: 2 * Second, DrainGrace: Second, OverloadMultiple: 2,
		OverloadWindow: 2 * Second, ColdCapacity: 0.2, WarmupTime: 14 * Second, LoadRemainingIndex: -1, LoadLimitIndex: -1}
}

// rig drives one Sender by hand.
type harness struct {
	t        *testing.T
	s        *Sender
	messages int
}

func newHarness(t *testing.T, set Settings) *harness {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, s: s}
}

func sec(x float64) Micros { return Micros(x * float64(Second)) }

func (r *harness) step(at float64, evs ...Event) []Action {
	r.t.Helper()
	return r.s.Step(sec(at), evs)
}

// list makes a whole list of n endpoints, from 1 on, of destination 9.
func fullList(n int) EndpointUpdate {
	ev := EndpointUpdate{Kind: UpdateFull}
	for i := 1; i <= n; i++ {
		ev.Entries = append(ev.Entries, EndpointEntry{Endpoint: EndpointID(i), Dest: 9})
	}
	return ev
}

func (r *harness) message(class int) Message {
	r.messages++
	return Message{ID: fmt.Sprintf("m%d", r.messages), TimeLeft: r.s.set.Classes[class].Deadline, Dest: 9, Tenant: -1, Class: class}
}

func result(id string, ep EndpointID, attempt int, o Outcome) AttemptResult {
	return AttemptResult{ID: id, Endpoint: ep, Attempt: attempt, Outcome: o, Latency: sec(0.1), Final: o == Delivered}
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// world plays random legal outcomes against a Sender and asserts the six rules. It models no server.
type simulation struct {
	t                *testing.T
	set              Settings
	rng              *rand.Rand
	s                *Sender
	now              Micros
	msgs             map[string]*simMessage
	ids              []string
	live             []*simMessage
	endpoints        map[EndpointID]*simEndpoint
	order            []EndpointID
	queue            []simEvent
	waitUntil        map[string]Micros
	probed           map[EndpointID]int
	keys             map[string][]*simMessage
	pausedUntil      map[string]Micros
	pausedBy         map[string]*simMessage
	slotsUsed        int
	outage           [2]Micros // all of destination 1 refuses connections
	sawOutage        bool
	twin             *Sender // must act as s does
	beforeStep       func()  // before each step
	afterStep        func(evs []Event, acts []Action)
	burst            int // messages that come at once now and then
	sentAfterOutage  []Micros
	sentBeforeOutage []Micros
	peak             float64
	maxOutOfRotation int // of rotation at one time
	trace            []string
}

type simMessage struct {
	id              string
	class           Class
	dest            int64
	key             string
	deadline        Micros
	ended, inFlight bool
	mayHaveRun      bool
	firstMayHaveRun Micros
	zone            int
	attempts        int
}

type simEndpoint struct {
	entry    EndpointEntry
	closedAt Micros // when it was told to drain or go
	closed   bool
}

type simEvent struct {
	at   Micros
	ev   Event
	msg  *simMessage
	call *simCall
}

type simCall struct{ open int }

func (w *simulation) laneKey(e *simEndpoint) string {
	if w.set.Kinds[e.entry.Kind].SeparateRoutes {
		return fmt.Sprint("route", e.entry.Endpoint)
	}
	return fmt.Sprint("dest", e.entry.Dest)
}

func (w *simulation) fatalf(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, args...)...)
}

func newSimulation(t *testing.T, set Settings, seed uint64) *simulation {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), s: s, msgs: map[string]*simMessage{},
		endpoints: map[EndpointID]*simEndpoint{}, waitUntil: map[string]Micros{}, probed: map[EndpointID]int{},
		keys: map[string][]*simMessage{}, pausedUntil: map[string]Micros{}, pausedBy: map[string]*simMessage{},
		outage: [2]Micros{12 * Second, 20 * Second}, burst: 15}
}

// play runs 40 seconds of random traffic.
func (w *simulation) play() {
	var first EndpointUpdate
	first.Kind = UpdateCached
	for i := 0; i < 8; i++ {
		row := EndpointEntry{Endpoint: EndpointID(100 + i), Dest: int64(1 + i/2), Kind: (i / 2) % len(w.set.Kinds),
			Zone: i % max(w.set.Zones, 1), NominalRate: 6}
		w.endpoints[row.Endpoint] = &simEndpoint{entry: row}
		w.order = append(w.order, row.Endpoint)
		first.Entries = append(first.Entries, row)
	}
	w.run(first)
	next := Micros(0)
	for w.now < 60*Second {
		w.now += w.set.Tick
		var evs []Event
		evs = append(evs, w.dueEvents()...)
		if w.now < 40*Second && w.now >= next {
			next = w.now + Micros(w.rng.IntN(150_000))
			evs = append(evs, w.arrival())
			if w.rng.IntN(40) == 0 { // a clump
				for range w.burst {
					evs = append(evs, w.arrival())
				}
			}
		}
		if w.rng.IntN(1500) == 0 {
			evs = append(evs, w.change())
		}
		if w.rng.IntN(900) == 0 && len(w.ids) > 0 {
			m := w.msgs[w.ids[w.rng.IntN(len(w.ids))]]
			m.ended = true // withdrawn, or ended long ago
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerFired{3})
		}
		if len(evs) > 0 {
			w.run(evs...)
		}
		w.live = slices.DeleteFunc(w.live, func(m *simMessage) bool { return m.ended })
		for _, m := range w.live {
			if w.now > m.deadline {
				w.fatalf("message %s of class %s has no answer at its deadline", m.id, m.class.Name)
			}
		}
	}
}

func (w *simulation) arrival() Event {
	ci := w.rng.IntN(len(w.set.Classes))
	c := w.set.Classes[ci]
	m := &simMessage{id: fmt.Sprint("r", len(w.ids)), class: c, dest: int64(1 + w.rng.IntN(5))}
	left := c.Deadline
	if w.rng.IntN(5) == 0 {
		left = c.Deadline / 3
	}
	if c.KeepOrder {
		m.key = fmt.Sprint("k", w.rng.IntN(4))
		w.keys[m.key] = append(w.keys[m.key], m)
	}
	m.deadline = w.now + left
	w.msgs[m.id] = m
	w.ids = append(w.ids, m.id)
	w.live = append(w.live, m)
	tenant := -1
	if n := len(w.set.Tenants); n > 0 {
		tenant = w.rng.IntN(n)
	}
	return Message{ID: m.id, TimeLeft: left, OrderKey: m.key, Dest: m.dest, Tenant: tenant, Class: ci}
}

// change drains, removes or adds an endpoint.
func (w *simulation) change() Event {
	id := w.order[w.rng.IntN(len(w.order))]
	e := w.endpoints[id]
	row := e.entry
	switch w.rng.IntN(3) {
	case 0:
		row.State = Draining
	case 1:
		row.State = Removed
	}
	if row.State == Ready {
		e.closed = false
	} else if !e.closed {
		e.closed, e.closedAt = true, w.now
	}
	return EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{row}}
}

func (w *simulation) dueEvents() (evs []Event) {
	var rest []simEvent
	for _, q := range w.queue {
		if q.at > w.now {
			rest = append(rest, q)
			continue
		}
		if r, ok := q.ev.(AttemptResult); ok {
			q.ev = w.applyResult(r, q.msg, q.call)
		}
		evs = append(evs, q.ev)
	}
	w.queue = rest
	return evs
}

// land applies the outcome of an attempt to what the rules know.
func (w *simulation) applyResult(r AttemptResult, m *simMessage, c *simCall) AttemptResult {
	if c.open--; c.open == 0 {
		w.slotsUsed--
	}
	m.inFlight = false
	if r.Outcome != Refused && r.Outcome != ConnRefused && r.Outcome != Skipped {
		m.mayHaveRun = true
	}
	if r.Outcome == Delivered {
		m.ended = true
	}
	r.Final = m.ended
	if m.key != "" && (r.Outcome == TimedOut || r.Outcome == ConnLost || r.Outcome == Cancelled) {
		w.pausedUntil[m.key], w.pausedBy[m.key] = w.now+w.set.KeyCooldown, m
	}
	e := w.endpoints[r.Endpoint]
	if r.RetryAfter > 0 {
		w.waitUntil[w.laneKey(e)] = max(w.waitUntil[w.laneKey(e)], w.now+r.RetryAfter)
	}
	if e.entry.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] && r.Outcome == ConnRefused {
		w.sawOutage = true
	}
	return r
}

func (w *simulation) outcome(e *simEndpoint) (Outcome, Micros, Micros) {
	if e.entry.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] {
		return ConnRefused, 20_000, 0
	}
	took := Micros(20_000 + w.rng.IntN(300_000))
	switch x := w.rng.IntN(100); {
	case x < 70:
		return Delivered, took, 0
	case x < 76:
		return Errored, took, 0
	case x < 80:
		return ConnLost, took, 0
	case x < 84:
		return ConnRefused, took, 0
	case x < 94:
		wait := Micros(0)
		if w.rng.IntN(2) == 0 {
			wait = Micros(w.rng.IntN(3_000_000))
		}
		return Refused, 20_000, wait
	}
	return TimedOut, never, 0 // silent: ends when given up or called off
}

// run makes one step and checks all its actions.
func (w *simulation) run(evs ...Event) {
	opened := map[EndpointID]*simCall{}
	count := map[EndpointID]int{}
	if w.beforeStep != nil {
		w.beforeStep()
	}
	acts := w.s.Step(w.now, evs)
	w.checkOutOfRotation(w.s)
	if w.twin != nil {
		w.compareActions(acts, w.twin.Step(w.now, evs))
		w.checkOutOfRotation(w.twin)
	}
	if w.afterStep != nil {
		w.afterStep(evs, acts)
	}
	for _, a := range acts {
		w.trace = append(w.trace, fmt.Sprintf("%d %#v", w.now, a))
		switch a := a.(type) {
		case Send:
			m, e := w.msgs[a.ID], w.endpoints[a.Endpoint]
			w.checkSend(m, e)
			c := opened[a.Endpoint]
			if c == nil || count[a.Endpoint]%max(w.set.Kinds[e.entry.Kind].MaxBatch, 1) == 0 {
				c = &simCall{}
				opened[a.Endpoint] = c
				if w.slotsUsed++; w.slotsUsed > w.set.CallSlots {
					w.fatalf("more calls out than slots")
				}
				w.checkCold(e)
			}
			count[a.Endpoint]++
			c.open++
			o, took, wait := w.outcome(e)
			if took >= a.Timeout {
				o, took, wait = TimedOut, a.Timeout, 0
			}
			w.queue = append(w.queue, simEvent{w.now + took, AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.attempts,
				Outcome: o, Latency: took, RetryAfter: wait, Load: w.load()}, m, c})
			m.attempts++
		case Cancel:
			if !w.set.MayCancel {
				w.fatalf("cancel where none is allowed")
			}
			for i, q := range w.queue {
				if r, ok := q.ev.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter = Cancelled, 0
					w.queue[i].ev, w.queue[i].at = r, w.now+w.set.Tick
				}
			}
		case Reject:
			m := w.msgs[a.ID]
			if m.ended && m.deadline > w.now && !m.class.KeepOrder && m.inFlight {
				w.fatalf("refused a message with an attempt out")
			}
			if m.mayHaveRun && m.class.Idempotency == NonIdempotent || m.mayHaveRun && m.class.DedupPerZone || m.inFlight {
				w.fatalf("refused %s, which may have run", a.ID)
			}
			if a.RetryAfter > w.set.MaxRetryAfter || a.RetryAfter > 0 && !w.set.RetryAfter {
				w.fatalf("advice of %d", a.RetryAfter)
			}
			w.endMessage(m)
		case Fail:
			w.endMessage(w.msgs[a.ID])
		case SetTimer:
			w.queue = append(w.queue, simEvent{w.now + max(a.Wait, 1), TimerFired{a.Token}, nil, nil})
		case Probe:
			if !w.set.Probing {
				w.fatalf("probe where none is allowed")
			}
			e := w.endpoints[a.Endpoint]
			w.checkEndpoint(e)
			w.checkCold(e)
			o, took, _ := w.outcome(e)
			if o == TimedOut {
				took = Second
			}
			w.queue = append(w.queue, simEvent{w.now + took, ProbeResult{a.Endpoint, o, nil}, nil, nil})
		}
	}
}

// checkOutOfRotation compares what the Sender keeps count of with what a walk over its list finds.
func (w *simulation) checkOutOfRotation(s *Sender) {
	n := 0
	for _, d := range s.order {
		for _, e := range d.eps {
			if e.ejected || e.state != Ready {
				n++
			}
		}
	}
	w.maxOutOfRotation = max(w.maxOutOfRotation, n)
	if s.OutOfRotation() != n {
		w.fatalf("%d endpoints out of rotation, want %d", s.OutOfRotation(), n)
	}
}

func (w *simulation) endMessage(m *simMessage) {
	if m.ended && !m.mayHaveRun && w.now <= m.deadline {
		w.fatalf("%s ended twice", m.id)
	}
	m.ended = true
}

func (w *simulation) load() []float64 {
	if w.set.LoadLimitIndex < 0 {
		return nil
	}
	return []float64{w.rng.Float64(), 4 + 4*w.rng.Float64()}
}

func (w *simulation) checkEndpoint(e *simEndpoint) {
	if e.closed && w.now > e.closedAt+w.set.DrainGrace {
		w.fatalf("sent to an endpoint that drains or is gone")
	}
	if w.now < w.waitUntil[w.laneKey(e)] {
		w.fatalf("sent before a told wait was over")
	}
}

func (w *simulation) checkSend(m *simMessage, e *simEndpoint) {
	w.checkEndpoint(e)
	c := m.class
	switch {
	case m.ended:
		w.fatalf("sent %s after its end", m.id)
	case m.inFlight:
		w.fatalf("two attempts of %s at once", m.id)
	case e.entry.Dest != m.dest:
		w.fatalf("sent %s elsewhere", m.id)
	case m.mayHaveRun && c.Idempotency == NonIdempotent:
		w.fatalf("unsafe %s sent again", m.id)
	case m.mayHaveRun && c.Idempotency == IdempotentByKey && (w.now > m.firstMayHaveRun+c.DedupWindow || c.DedupPerZone && e.entry.Zone != m.zone):
		w.fatalf("keyed %s sent outside its group or window", m.id)
	case w.set.MaxAttempts > 0 && m.attempts >= w.set.MaxAttempts:
		w.fatalf("too many attempts of %s", m.id)
	}
	if m.key != "" {
		for _, x := range w.keys[m.key] {
			if x == m {
				break
			}
			if !x.ended || x.inFlight {
				w.fatalf("%s sent before %s of its key was over", m.id, x.id)
			}
		}
		if w.now < w.pausedUntil[m.key] && w.pausedBy[m.key] != m {
			w.fatalf("%s sent while its key rests", m.id)
		}
	}
	m.inFlight = true
	if !m.mayHaveRun {
		m.firstMayHaveRun, m.zone = w.now, e.entry.Zone
	}
}

// checkCold holds what goes to destination 1 after its outage against the figures of the rule, for one sender
// that takes no more than its share, plus six calls for chance and for an endpoint not tried during the outage.
func (w *simulation) checkCold(e *simEndpoint) {
	if e.entry.Dest == 1 && w.now < w.outage[0] {
		w.sentBeforeOutage = append(w.sentBeforeOutage, w.now)
		w.peak = max(w.peak, float64(since(w.sentBeforeOutage, w.now-Second)))
	}
	if e.entry.Dest != 1 || !w.sawOutage || w.now < w.outage[1] || w.now > w.outage[1]+w.set.WarmupTime {
		return
	}
	up := w.set.ColdCapacity + (1-w.set.ColdCapacity)*seconds(w.now-w.outage[1])/seconds(w.set.WarmupTime)
	routes := 1.0
	if w.set.Kinds[e.entry.Kind].SeparateRoutes {
		routes = 2
	}
	limit := 8.0 // the most that a report tells; where none is told, the sender's best second stands for it
	if w.set.Weights == WeightsOff && w.set.LoadLimitIndex < 0 {
		limit = max(limit, w.peak)
	}
	most := w.set.OverloadMultiple*up*limit*routes*seconds(w.set.OverloadWindow)/float64(w.set.Senders) + 6*routes
	w.sentAfterOutage = append(w.sentAfterOutage, w.now)
	if n := since(w.sentAfterOutage, w.now-w.set.OverloadWindow); float64(n) > most {
		w.fatalf("%d calls in a fall window to a cold destination, want at most %.1f", n, most)
	}
}

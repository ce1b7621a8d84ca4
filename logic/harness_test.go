package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// baseSettings is a plain deployment: two senders, one safe, one keyed and one unsafe class, one kind of destination.
func baseSettings() Settings {
	return Settings{
		Senders: 2, Zones: 1, CallSlots: 8, MaxOpen: 60, MaxAttempts: 6, Tick: 5000, MayCancel: true, RetryAfter: true,
		Classes: []Class{
			{Name: "a", TargetLatency: Second, Deadline: 10 * Second, Value: 1, LateValue: 0.5},
			{Name: "b", TargetLatency: 2 * Second, Deadline: 12 * Second, Value: 2, LateValue: 0.4,
				Idempotency: IdempotentByKey, DedupWindow: 8 * Second},
			{Name: "c", TargetLatency: 2 * Second, Deadline: 14 * Second, Value: 4, LateValue: 0.3,
				Idempotency: NonIdempotent},
		},
		Kinds:         []DestinationKind{{Name: "k", MaxBatch: 1}},
		MaxRetryAfter: 2 * Second, DrainGrace: Second, OverloadMultiple: 2, OverloadWindow: 2 * Second,
		ColdCapacity: 0.2, WarmupTime: 14 * Second, LoadRemainingIndex: -1, LoadLimitIndex: -1,
	}
}

// harness drives one Sender step by step.
type harness struct {
	t        *testing.T
	s        *Sender
	messages int // created so far
}

func newHarness(t *testing.T, cfg Settings) *harness {
	t.Helper()
	s, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, s: s}
}

func sec(x float64) Micros { return Micros(x * float64(Second)) }

func (h *harness) step(at float64, evs ...Event) []Action {
	h.t.Helper()
	return h.s.Step(sec(at), evs)
}

// fullList is a full list of n endpoints, numbered from 1, of destination 9.
func fullList(n int) EndpointUpdate {
	ev := EndpointUpdate{Kind: UpdateFull}
	for i := 1; i <= n; i++ {
		ev.Entries = append(ev.Entries, EndpointEntry{Endpoint: EndpointID(i), Dest: 9})
	}
	return ev
}

// message is a new message of a class for destination 9.
func (h *harness) message(class int) Message {
	h.messages++
	return Message{ID: fmt.Sprintf("m%d", h.messages), TimeLeft: h.s.cfg.Classes[class].Deadline, Dest: 9, Tenant: -1,
		Class: class}
}

// result is the result of an attempt that took 0.1 s.
func result(id string, ep EndpointID, attempt int, o Outcome) AttemptResult {
	return AttemptResult{ID: id, Endpoint: ep, Attempt: attempt, Outcome: o, Latency: sec(0.1), Final: o == Delivered}
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// simulation feeds a Sender random valid events and checks the rules for sending. It models no server.
type simulation struct {
	t                *testing.T
	cfg              Settings
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
	cooldownUntil    map[string]Micros
	cooldownExempt   map[string]*simMessage
	slotsUsed        int
	outage           [2]Micros // all of destination 1 refuses connections
	sawOutage        bool
	twin             *Sender // second Sender that must return the same actions as s
	beforeStep       func()
	afterStep        func(evs []Event, acts []Action)
	burst            int // messages of an occasional burst
	sentAfterOutage  []Micros
	sentBeforeOutage []Micros
	peak             float64
	maxOutOfRotation int // most endpoints out of rotation at one time
	trace            []string
}

type simMessage struct {
	id           string
	class        Class
	dest         int64
	key          string
	deadline     Micros
	ended        bool
	inFlight     int // attempts
	size         int
	mayHaveRun   bool
	mayHaveRunAt Micros
	zone         int
	attempts     int
}

type simEndpoint struct {
	entry    EndpointEntry
	closedAt Micros // when it began to drain or was removed
	closed   bool
}

type simEvent struct {
	at   Micros
	ev   Event
	msg  *simMessage
	call *simCall

	cancelled bool // an attempt whose call goes on for other messages
}

type simCall struct{ unfinished, bytes int }

// cancel ends a cancelled attempt. Where calls with several messages go on for the others, that is when no other
// message of its call waits.
func (sim *simulation) cancel(event *simEvent) {
	if sim.cfg.SecondCopies {
		for _, other := range sim.queue {
			if other.call != nil && other.call == event.call && !other.cancelled && other.msg != event.msg {
				return
			}
		}
	}
	r := event.ev.(AttemptResult)
	r.Outcome, r.RetryAfter = Cancelled, 0
	event.ev, event.at = r, sim.now+sim.cfg.Tick
}

// isCancelled reports whether all attempts of m that are in flight were cancelled.
func (sim *simulation) isCancelled(m *simMessage) bool {
	return !slices.ContainsFunc(sim.queue, func(event simEvent) bool { return event.msg == m && !event.cancelled })
}

// endCancelledCalls ends the calls for which no message waits any more.
func (sim *simulation) endCancelledCalls() {
	for i := range sim.queue {
		if event := &sim.queue[i]; event.cancelled && event.at > sim.now+sim.cfg.Tick {
			sim.cancel(event)
		}
	}
}

// limiterKey names the route or destination whose limiter an endpoint uses.
func (sim *simulation) limiterKey(e *simEndpoint) string {
	if sim.cfg.Kinds[e.entry.Kind].SeparateRoutes {
		return fmt.Sprint("route", e.entry.Endpoint)
	}
	return fmt.Sprint("dest", e.entry.Dest)
}

func (sim *simulation) fatalf(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("at %d: "+format, append([]any{sim.now}, args...)...)
}

func newSimulation(t *testing.T, cfg Settings, seed uint64) *simulation {
	s, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), s: s, msgs: map[string]*simMessage{},
		endpoints: map[EndpointID]*simEndpoint{}, waitUntil: map[string]Micros{}, probed: map[EndpointID]int{},
		keys: map[string][]*simMessage{}, cooldownUntil: map[string]Micros{}, cooldownExempt: map[string]*simMessage{},
		outage: [2]Micros{12 * Second, 20 * Second}, burst: 15}
}

// play runs 40 seconds of random traffic and 20 seconds without new messages.
func (sim *simulation) play() {
	var first EndpointUpdate
	first.Kind = UpdateCached
	for i := 0; i < 8; i++ {
		entry := EndpointEntry{Endpoint: EndpointID(100 + i), Dest: int64(1 + i/2), Kind: (i / 2) % len(sim.cfg.Kinds),
			Zone: i % max(sim.cfg.Zones, 1), NominalRate: 6}
		sim.endpoints[entry.Endpoint] = &simEndpoint{entry: entry}
		sim.order = append(sim.order, entry.Endpoint)
		first.Entries = append(first.Entries, entry)
	}
	sim.run(first)
	next := Micros(0)
	for sim.now < 60*Second {
		sim.now += sim.cfg.Tick
		var evs []Event
		evs = append(evs, sim.dueEvents()...)
		if sim.now < 40*Second && sim.now >= next {
			next = sim.now + Micros(sim.rng.IntN(150_000))
			evs = append(evs, sim.arrival())
			if sim.rng.IntN(40) == 0 { // a burst
				for range sim.burst {
					evs = append(evs, sim.arrival())
				}
			}
		}
		if sim.rng.IntN(1500) == 0 {
			evs = append(evs, sim.change())
		}
		if sim.rng.IntN(900) == 0 && len(sim.ids) > 0 {
			m := sim.msgs[sim.ids[sim.rng.IntN(len(sim.ids))]]
			m.ended = true // withdrawn, or ended long ago
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerFired{3})
		}
		if len(evs) > 0 {
			sim.run(evs...)
		}
		sim.live = slices.DeleteFunc(sim.live, func(m *simMessage) bool { return m.ended })
		for _, m := range sim.live {
			if sim.now > m.deadline {
				sim.fatalf("message %s of class %s has no answer at its deadline", m.id, m.class.Name)
			}
		}
	}
}

// arrival is a new random message.
func (sim *simulation) arrival() Event {
	class := sim.rng.IntN(len(sim.cfg.Classes))
	c := sim.cfg.Classes[class]
	m := &simMessage{id: fmt.Sprint("r", len(sim.ids)), class: c, dest: int64(1 + sim.rng.IntN(5))}
	timeLeft := c.Deadline
	if sim.rng.IntN(5) == 0 {
		timeLeft = c.Deadline / 3
	}
	if c.KeepOrder {
		m.key = fmt.Sprint("k", sim.rng.IntN(4))
		sim.keys[m.key] = append(sim.keys[m.key], m)
	}
	m.deadline = sim.now + timeLeft
	sim.msgs[m.id] = m
	sim.ids = append(sim.ids, m.id)
	sim.live = append(sim.live, m)
	tenant := -1
	if n := len(sim.cfg.Tenants); n > 0 {
		tenant = sim.rng.IntN(n)
	}
	if sim.cfg.MaxCallBytes > 0 {
		m.size = 1 + sim.rng.IntN(sim.cfg.MaxCallBytes/(1+sim.rng.IntN(8)))
	}
	return Message{ID: m.id, TimeLeft: timeLeft, OrderKey: m.key, Dest: m.dest, Tenant: tenant, Class: class,
		Size: m.size}
}

// change drains, removes or adds an endpoint.
func (sim *simulation) change() Event {
	id := sim.order[sim.rng.IntN(len(sim.order))]
	e := sim.endpoints[id]
	entry := e.entry
	switch sim.rng.IntN(3) {
	case 0:
		entry.State = Draining
	case 1:
		entry.State = Removed
	}
	if entry.State == Ready {
		e.closed = false
	} else if !e.closed {
		e.closed, e.closedAt = true, sim.now
	}
	return EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{entry}}
}

// dueEvents takes the events that are due out of the queue.
func (sim *simulation) dueEvents() (evs []Event) {
	var later []simEvent
	for _, event := range sim.queue {
		if event.at > sim.now {
			later = append(later, event)
			continue
		}
		if r, ok := event.ev.(AttemptResult); ok {
			event.ev = sim.applyResult(r, event.msg, event.call)
		}
		evs = append(evs, event.ev)
	}
	sim.queue = later
	return evs
}

// applyResult updates the state that the checks use by the result of an attempt.
func (sim *simulation) applyResult(r AttemptResult, m *simMessage, c *simCall) AttemptResult {
	if c.unfinished--; c.unfinished == 0 {
		sim.slotsUsed--
	}
	m.inFlight--
	if r.Outcome != Refused && r.Outcome != ConnRefused && r.Outcome != Skipped {
		m.mayHaveRun = true
	}
	if r.Outcome == Delivered {
		m.ended = true
	}
	r.Final = m.ended
	if m.key != "" && (r.Outcome == TimedOut || r.Outcome == ConnLost || r.Outcome == Cancelled) {
		sim.cooldownUntil[m.key], sim.cooldownExempt[m.key] = sim.now+sim.cfg.KeyCooldown, m
	}
	e := sim.endpoints[r.Endpoint]
	if r.RetryAfter > 0 {
		sim.waitUntil[sim.limiterKey(e)] = max(sim.waitUntil[sim.limiterKey(e)], sim.now+r.RetryAfter)
	}
	if e.entry.Dest == 1 && sim.now > sim.outage[0] && sim.now < sim.outage[1] && r.Outcome == ConnRefused {
		sim.sawOutage = true
	}
	return r
}

// outcome draws the outcome, the latency and the requested wait of a call to e.
func (sim *simulation) outcome(e *simEndpoint) (Outcome, Micros, Micros) {
	if e.entry.Dest == 1 && sim.now > sim.outage[0] && sim.now < sim.outage[1] {
		return ConnRefused, 20_000, 0
	}
	latency := Micros(20_000 + sim.rng.IntN(300_000))
	switch x := sim.rng.IntN(100); {
	case x < 70:
		return Delivered, latency, 0
	case x < 76:
		return Errored, latency, 0
	case x < 80:
		return ConnLost, latency, 0
	case x < 84:
		return ConnRefused, latency, 0
	case x < 94:
		wait := Micros(0)
		if sim.rng.IntN(2) == 0 {
			wait = Micros(sim.rng.IntN(3_000_000))
		}
		return Refused, 20_000, wait
	}
	return TimedOut, never, 0 // no answer: ends with the timeout or when cancelled
}

// run performs one step and checks all its actions.
func (sim *simulation) run(evs ...Event) {
	opened := map[int]*simCall{}
	endpointOf := map[int]EndpointID{}
	if sim.beforeStep != nil {
		sim.beforeStep()
	}
	sim.endCancelledCalls()
	acts := sim.s.Step(sim.now, evs)
	sim.checkOutOfRotation(sim.s)
	if sim.twin != nil {
		sim.checkTwin(acts, sim.twin.Step(sim.now, evs))
		sim.checkOutOfRotation(sim.twin)
	}
	if sim.afterStep != nil {
		sim.afterStep(evs, acts)
	}
	for _, a := range acts {
		sim.trace = append(sim.trace, fmt.Sprintf("%d %#v", sim.now, a))
		switch a := a.(type) {
		case Send:
			m, e := sim.msgs[a.ID], sim.endpoints[a.Endpoint]
			sim.checkSend(m, e)
			c := opened[a.Call]
			if c == nil {
				c = &simCall{}
				opened[a.Call], endpointOf[a.Call] = c, a.Endpoint
				if sim.slotsUsed++; sim.slotsUsed > sim.cfg.CallSlots {
					sim.fatalf("more concurrent calls than slots")
				}
				sim.checkCold(e)
			}
			c.unfinished++
			if c.bytes += m.size; c.bytes > sim.cfg.MaxCallBytes && sim.cfg.MaxCallBytes > 0 {
				sim.fatalf("call %d with %d bytes", a.Call, c.bytes)
			}
			if c.unfinished > max(sim.cfg.Kinds[e.entry.Kind].MaxBatch, 1) || endpointOf[a.Call] != a.Endpoint {
				sim.fatalf("call %d with %d messages, to %d and %d", a.Call, c.unfinished, a.Endpoint, endpointOf[a.Call])
			}
			o, latency, wait := sim.outcome(e)
			if latency >= a.Timeout {
				o, latency, wait = TimedOut, a.Timeout, 0
			}
			sim.queue = append(sim.queue, simEvent{sim.now + latency, AttemptResult{ID: a.ID, Endpoint: a.Endpoint,
				Attempt: m.attempts, Outcome: o, Latency: latency, RetryAfter: wait, Load: sim.load()}, m, c, false})
			m.attempts++
		case Cancel:
			if !sim.cfg.MayCancel {
				sim.fatalf("cancelled although MayCancel is not set")
			}
			for i, q := range sim.queue {
				if r, ok := q.ev.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					sim.queue[i].cancelled = true
					sim.cancel(&sim.queue[i])
				}
			}
		case Reject:
			m := sim.msgs[a.ID]
			if m.ended && m.deadline > sim.now && !m.class.KeepOrder && m.inFlight > 0 {
				sim.fatalf("rejected a message with an attempt in flight")
			}
			if m.mayHaveRun && m.class.Idempotency == NonIdempotent || m.mayHaveRun && m.class.DedupPerZone ||
				m.inFlight > 0 {
				sim.fatalf("rejected %s, which may have run", a.ID)
			}
			if a.RetryAfter > sim.cfg.MaxRetryAfter || a.RetryAfter > 0 && !sim.cfg.RetryAfter {
				sim.fatalf("rejected with a retry advice of %d", a.RetryAfter)
			}
			sim.endMessage(m)
		case Fail:
			sim.endMessage(sim.msgs[a.ID])
		case SetTimer:
			sim.queue = append(sim.queue, simEvent{sim.now + max(a.Wait, 1), TimerFired{a.Token}, nil, nil, false})
		case Probe:
			if !sim.cfg.Probing {
				sim.fatalf("probe although Probing is not set")
			}
			e := sim.endpoints[a.Endpoint]
			sim.checkEndpoint(e)
			sim.checkCold(e)
			o, latency, _ := sim.outcome(e)
			if o == TimedOut {
				latency = Second
			}
			sim.queue = append(sim.queue, simEvent{sim.now + latency, ProbeResult{a.Endpoint, o, nil}, nil, nil, false})
		}
	}
}

// checkOutOfRotation compares the count that the Sender keeps with the state of its endpoints.
func (sim *simulation) checkOutOfRotation(s *Sender) {
	n := 0
	for _, d := range s.destOrder {
		for _, e := range d.endpoints {
			if e.ejected || e.state != Ready {
				n++
			}
		}
	}
	sim.maxOutOfRotation = max(sim.maxOutOfRotation, n)
	if s.OutOfRotation() != n {
		sim.fatalf("%d endpoints out of rotation, want %d", s.OutOfRotation(), n)
	}
}

func (sim *simulation) endMessage(m *simMessage) {
	if m.ended && !m.mayHaveRun && sim.now <= m.deadline {
		sim.fatalf("%s ended twice", m.id)
	}
	m.ended = true
}

func (sim *simulation) load() []float64 {
	if sim.cfg.LoadLimitIndex < 0 {
		return nil
	}
	return []float64{sim.rng.Float64(), 4 + 4*sim.rng.Float64()}
}

func (sim *simulation) checkEndpoint(e *simEndpoint) {
	if e.closed && sim.now > e.closedAt+sim.cfg.DrainGrace {
		sim.fatalf("sent to an endpoint that drains or was removed")
	}
	if sim.now < sim.waitUntil[sim.limiterKey(e)] {
		sim.fatalf("sent before a requested wait was over")
	}
}

func (sim *simulation) checkSend(m *simMessage, e *simEndpoint) {
	sim.checkEndpoint(e)
	c := m.class
	switch {
	case m.ended:
		sim.fatalf("sent %s after it had ended", m.id)
	case m.inFlight > 1 || m.inFlight == 1 && !(sim.cfg.SecondCopies && sim.isCancelled(m)):
		sim.fatalf("%d attempts of %s at once", m.inFlight+1, m.id)
	case e.entry.Dest != m.dest:
		sim.fatalf("sent %s to another destination", m.id)
	case m.mayHaveRun && c.Idempotency == NonIdempotent:
		sim.fatalf("resent unsafe message %s", m.id)
	case m.mayHaveRun && c.Idempotency == IdempotentByKey &&
		(sim.now > m.mayHaveRunAt+c.DedupWindow || c.DedupPerZone && e.entry.Zone != m.zone):
		sim.fatalf("resent keyed message %s outside its zone or deduplication window", m.id)
	case sim.cfg.MaxAttempts > 0 && m.attempts >= sim.cfg.MaxAttempts:
		sim.fatalf("too many attempts of %s", m.id)
	}
	if m.key != "" {
		for _, earlier := range sim.keys[m.key] {
			if earlier == m {
				break
			}
			if !earlier.ended || earlier.inFlight > 0 {
				sim.fatalf("sent %s before %s of the same key had ended", m.id, earlier.id)
			}
		}
		if sim.now < sim.cooldownUntil[m.key] && sim.cooldownExempt[m.key] != m {
			sim.fatalf("sent %s during the cooldown of its key", m.id)
		}
	}
	m.inFlight++
	if !m.mayHaveRun {
		m.mayHaveRunAt, m.zone = sim.now, e.entry.Zone
	}
}

// checkCold checks the calls to destination 1 after its outage against this sender's share of the load that the
// settings allow, plus six calls for chance and for an endpoint that was not tried during the outage.
func (sim *simulation) checkCold(e *simEndpoint) {
	if e.entry.Dest == 1 && sim.now < sim.outage[0] {
		sim.sentBeforeOutage = append(sim.sentBeforeOutage, sim.now)
		sim.peak = max(sim.peak, float64(countAfter(sim.sentBeforeOutage, sim.now-Second)))
	}
	if e.entry.Dest != 1 || !sim.sawOutage || sim.now < sim.outage[1] || sim.now > sim.outage[1]+sim.cfg.WarmupTime {
		return
	}
	share := sim.cfg.ColdCapacity + (1-sim.cfg.ColdCapacity)*seconds(sim.now-sim.outage[1])/seconds(sim.cfg.WarmupTime)
	routes := 1.0
	if sim.cfg.Kinds[e.entry.Kind].SeparateRoutes {
		routes = 2
	}
	limit := 8.0 // highest reported limit; without reports the sender's peak rate stands for it
	if sim.cfg.Weights == WeightsOff && sim.cfg.LoadLimitIndex < 0 {
		limit = max(limit, sim.peak)
	}
	allowed := sim.cfg.OverloadMultiple*share*limit*routes*seconds(sim.cfg.OverloadWindow)/float64(sim.cfg.Senders) + 6*routes
	sim.sentAfterOutage = append(sim.sentAfterOutage, sim.now)
	if n := countAfter(sim.sentAfterOutage, sim.now-sim.cfg.OverloadWindow); float64(n) > allowed {
		sim.fatalf("%d calls in an overload window to a cold destination, want at most %.1f", n, allowed)
	}
}

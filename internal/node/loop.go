package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"rundeal/internal/clock"
	"rundeal/logic"
)

const (
	stopSends  = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	stopAll    = 3400 * time.Millisecond // and the process must be gone soon after this
	sweepEvery = time.Second
	retryPause = 250 * time.Millisecond // of an attempt that could not be written to the journal
	listWait   = 500 * time.Millisecond // for the list, of a process that takes over without a handover
	eventRoom  = 4096
)

// replyEvent is the one outcome of an attempt.
type replyEvent struct {
	call   *call
	result result
	took   time.Duration
}

// healthEvent is the one outcome of a probe.
type healthEvent struct {
	Endpoint logic.EndpointID
	Outcome  logic.Outcome
}

// closingEvent starts the shutdown, or the handover to another process.
type closingEvent struct{ at time.Time } // when SIGTERM came

// held is a message that the module has and that is not over.
type held struct {
	msg   *Message
	tries int
	over  bool               // ended; an attempt is still out
	stop  context.CancelFunc // of the attempt that is out
	call  *call              // that attempt
	trail trail

	overdue bool // it was counted as such
}

// stages is what a start spends its time on, for the line that says that it is ready.
type stages struct {
	since time.Time
	spent []any // names and milliseconds
}

func (s *stages) done(name string) {
	now := time.Now()
	s.spent = append(s.spent, name, now.Sub(s.since).Milliseconds())
	s.since = now
}

// Node is one sender.
type Node struct {
	cfg     *Config
	log     *slog.Logger
	journal *Journal
	sender  *logic.Sender
	caller  *caller
	dir     *Directory
	disc    *discovery
	notices *notices
	clients *clients
	admin   *admin
	figures *figures
	events  chan any
	ready   chan net.Addr // gets the address once clients are served
	reload  <-chan os.Signal
	load    func() (*Config, error)
	again   chan struct{} // holds one token while the configuration is to be read without a signal
	follow  bool          // watch discovery from the start
	stoodBy bool          // another process owned the journal when this one began
	lock    *os.File      // on the state folder; nil while another process owns it
	ln      net.Listener  // clients'

	// What follows belongs to the loop.
	due     *time.Timer // the module's
	token   uint64
	began   time.Time // of the process
	start   time.Time // when the module's clock was 0
	stages  stages
	held    map[string]*held
	open    int              // of held, those not over
	out     map[string]*held // of held, those with an attempt out
	recent  map[string]int64 // ids that were taken on and are over, until their time is up, on the lasting clock
	next    []logic.Event    // for the next step
	closing time.Time        // when SIGTERM came; zero until then
	before  *predecessor     // nil if there is none
	after   *successor       // nil if there is none
	puts    []putEvent
	records []record
	calling []outgoing // calls of the step at hand
	clock   *clock.Persistent
	decided int64 // when the step at hand began, on the clock
	permits *permits
	unsaid  []unsaid    // ends that the journal has not got yet
	flush   *time.Timer // tries again to write what the journal has not got
	failing failures    // of the journal
}

// New makes a sender. It replays the journal, unless another process owns that.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	set := cfg.Deploy.Settings
	sender, err := logic.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	spent := stages{since: began}
	lock, err := tryLock(cfg.StateDir)
	if err != nil && !momentary(err) {
		return nil, err
	}
	spent.done("lock")
	figures := newFigures(cfg)
	// The module asks for the list only where it must, and anywhere after a failed call.
	n := &Node{cfg: cfg, log: log, lock: lock, follow: !set.OnRequest, sender: sender, dir: NewDirectory(cfg), figures: figures,
		caller: newCaller(span(cfg.Deploy.ConnectTimeout), span(set.ConnIdle), set.Slots, shareOut(cfg), &figures.relayed),
		events: make(chan any, eventRoom), ready: make(chan net.Addr, 1), again: make(chan struct{}, 1), began: began, start: time.Now(), stages: spent, due: time.NewTimer(time.Hour), held: map[string]*held{}, out: map[string]*held{}, recent: map[string]int64{},
		clock: clock.New(), flush: time.NewTimer(time.Hour), failing: failures{log: log, what: "journal"}}
	n.permits = newPermits(n)
	n.caller.copies = cfg.Deploy.SecondCopies
	n.disc = newDiscovery(cfg.Discovery, set.Senders, log, n.events)
	n.disc.pushed = !set.OnRequest
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.clients = newClients(cfg, log, n.events, figures)
	n.admin = newAdmin(log, n.clients, figures)
	if lock != nil {
		if err := n.openJournal(); err != nil && !momentary(err) {
			return nil, err
		}
	}
	return n, nil
}

func span(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func micros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// openJournal replays the journal. The lock must be held. A read that fails is given some time to work again.
func (n *Node) openJournal() error {
	lenient := time.Since(n.began) > readPatience
	journal, err := OpenJournal(n.cfg.StateDir, int64(n.cfg.Limits.DiskMB*1e6), lenient)
	if err != nil {
		return err
	}
	if journal.cut > 0 {
		n.log.Warn("journal: the end cannot be read and is left out", "bytes", journal.cut, "kept", len(journal.entries),
			"aside", journalName+asideSuffix, "err", journal.asideErr)
	}
	n.journal = journal
	n.clock, n.clients.clock = journal.clock, journal.clock
	n.stages.done("journal")
	return nil
}

// Run serves until ctx is cancelled, then shuts down in good order, or hands over to a process that stands by.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n.cfg.Admin != "" {
		served, err := n.serveOperators(work)
		if err != nil {
			return err
		}
		defer func() { cancel(); <-served }()
	}
	go n.reloads(work)
	if err := n.begin(ctx); err != nil {
		if ctx.Err() != nil { // ended before it owned anything
			return nil
		}
		return err
	}
	defer n.lock.Close()
	defer n.journal.Close()
	if n.follow {
		n.disc.watch(work)
	}
	if n.stoodBy && n.before == nil {
		n.awaitList(work)
	}
	n.step(work) // what the journal holds comes first: its ends are due
	n.stages.done("step")
	notify, stopNotices := context.WithCancel(work)
	defer stopNotices()
	go n.notices.run(notify)
	if n.before != nil {
		go n.before.read(work, n.events)
	}
	if err := n.listen(work); err != nil {
		return err
	}
	defer func() {
		if n.ln != nil {
			n.ln.Close()
		}
	}()
	go func() {
		select {
		case <-ctx.Done():
			n.events <- closingEvent{time.Now()}
		case <-work.Done():
		}
	}()
	if n.loop(work) {
		stopNotices()
		n.retire(work)
	}
	return nil
}

// begin makes this process the owner of the journal and takes up what is owed: from the process before, if that hands
// over, or else from the journal alone.
func (n *Node) begin(ctx context.Context) error {
	var st *handover
	if n.lock == nil {
		var err error
		if st, err = n.claim(ctx); err != nil {
			return err
		}
	}
	if n.journal == nil {
		if err := Persist(ctx, n.log, "journal", n.openJournal); err != nil {
			return err
		}
		n.loadAnew()
	}
	if st != nil {
		err := n.adopt(st)
		if err == nil {
			return nil
		}
		n.log.Error("the handover does not fit: the journal alone counts", "err", err)
		if n.sender, err = logic.New(n.cfg.Deploy.Settings, n.cfg.Seed); err != nil {
			return err
		}
	}
	n.resume()
	return nil
}

// awaitList waits for the list, for a short while, where an agent of our own has it at once. A process that stood by and
// was not handed over to goes on for a sender that may have been told of changes which its own list does not have.
func (n *Node) awaitList(work context.Context) {
	late := time.NewTimer(listWait)
	defer late.Stop()
	for n.follow && !n.disc.heard {
		select {
		case ev := <-n.events:
			n.take(work, ev)
		case <-late.C:
			return
		}
	}
}

// loadAnew follows a configuration that may have been replaced while this process waited for its turn.
func (n *Node) loadAnew() {
	if n.load == nil {
		return
	}
	cfg, err := n.load()
	if err != nil {
		n.log.Warn("the configuration of the start stands until it can be read", "err", err)
		n.reloadNow()
		return
	}
	if cfg.Discovery != n.disc.addr {
		n.notices.move(cfg.Discovery)
		n.disc.move(cfg.Discovery)
	}
}

// shutDown sends the clients away. The first channel is closed when none is left, the second when the time is up.
func (n *Node) shutDown(work context.Context) (served, stopped <-chan struct{}) {
	none, late := make(chan struct{}), make(chan struct{})
	n.clients.stopReading(n.closing.Add(stopSends))
	n.clients.turn(stopping)
	grace, end := context.WithDeadline(work, n.closing.Add(stopAll))
	ln := n.ln
	if ln == nil { // it never served
		close(n.clients.accepted)
	}
	go func() {
		defer end()
		pause(grace, acceptOn)
		if ln != nil {
			ln.Close()
		}
		n.clients.gone(grace)
		close(none)
		<-grace.Done()
		close(late)
	}()
	return none, late
}

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
//
// It returns true when another process goes on.
func (n *Node) loop(work context.Context) bool {
	tick := max(span(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	defer n.due.Stop()
	defer n.flush.Stop()
	var served, stopped <-chan struct{} // while shutting down
	quiet := false                      // shutting down, and no client is left
	for {
		if quiet && n.open == 0 && len(n.journal.entries) == 0 && n.journal.Settled() {
			n.log.Info("stopped", "owed", 0)
			return false
		}
		select {
		case ev := <-n.events:
			n.take(work, ev)
		case <-n.due.C:
			n.next = append(n.next, logic.Due{Token: n.token})
		case <-n.flush.C:
			n.record(nil)
		case <-sweep.C:
			n.caller.sweep()
			if len(n.dir.gone) > 0 {
				n.dir.forget(time.Now(), n.calls())
			}
			n.forget()
			n.permits.forget()
			n.permits.overdue()
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the journal as it is.
			n.record(nil)
			n.log.Info("stopped", "owed", len(n.journal.entries))
			return false
		}
		for more := true; more; {
			select {
			case ev := <-n.events:
				n.take(work, ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.next) > 0 {
			n.step(work)
		}
		if !n.closing.IsZero() && stopped == nil {
			if n.after != nil {
				err := n.handOver()
				if err == nil {
					return true
				}
				n.log.Error("the handover failed: this process stays the owner until its end", "err", err)
			}
			served, stopped = n.shutDown(work)
			n.next = append(n.next, logic.Closing{Left: micros(max(stopSends-time.Since(n.closing), 0))})
			n.step(work)
		}
		rest.Reset(tick)
		<-rest.C
	}
}

// resume hands the module what the journal holds, with what became of it so far.
func (n *Node) resume() {
	if n.cfg.Known.Generation != 0 || len(n.cfg.Known.Instances) > 0 {
		n.disc.gen, n.disc.started = n.cfg.Known.Generation, true
		n.next = append(n.next, logic.Endpoints{Form: logic.ListCached, Entries: n.dir.Take(n.cfg.Known, time.Now())})
	}
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
			continue
		}
		if _, known := n.cfg.Classes[e.Class]; !known {
			n.endUnknown(e)
			continue
		}
		n.held[e.ID] = &held{msg: &e.Message, tries: e.Tries, trail: trail{came: time.Now()}}
		n.open++
		c := n.callOf(&e.Message)
		c.Past = logic.Past{Taken: true, Tries: e.Tries, MayRun: e.MayRun || e.Open}
		if c.Past.MayRun {
			c.Past.Zone = e.FirstZone
		}
		if e.Open { // whoever reads the journal next must not take its outcome for a later one's
			n.records = append(n.records, record{Op: opOutcome, ID: e.ID, MayRun: true})
		}
		n.next = append(n.next, c)
	}
}

// endUnknown ends a message whose class the settings do not name any more.
func (n *Node) endUnknown(e *Entry) {
	x := Notice{ID: e.ID, State: noticeReturned}
	if e.MayRun || e.Open {
		x.State = noticeFailed
	}
	n.log.Warn("message of an unknown class", "id", e.ID, "class", e.Class, "end", x.State)
	n.records = append(n.records, record{Op: opEnd, ID: e.ID, Notice: &x})
	n.unsaid = append(n.unsaid, unsaid{x, e.Deadline})
}

// callOf is the module's view of a message, without its times: those are set at the step.
func (n *Node) callOf(m *Message) logic.Call {
	c := logic.Call{ID: m.ID, Key: m.Order, Dest: m.Dest, Tenant: -1, Class: n.cfg.Classes[m.Class]}
	if t, ok := n.cfg.Tenants[m.Tenant]; ok && m.Tenant != "" {
		c.Tenant = t
	}
	return c
}

// take turns what has come into events for the next step.
func (n *Node) take(work context.Context, ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.put(ev)
	case replyEvent:
		n.reply(ev)
	case healthEvent:
		n.next = append(n.next, logic.HealthResult{Endpoint: ev.Endpoint, Outcome: ev.Outcome})
	case listEvent:
		n.list(ev)
	case noticedEvent:
		for _, id := range ev.ids {
			n.records = append(n.records, record{Op: opNoticed, ID: id})
		}
		records := n.records
		n.records = nil
		n.record(records) // at once: what is off the journal makes room
	case reloadEvent:
		n.moveTo(work, ev.cfg)
	case closingEvent:
		n.closing = ev.at
	case listeningEvent:
		n.serve(work, ev.ln)
	case remoteEvent:
		n.remote(ev)
	case successorEvent:
		n.standsBy(ev)
	}
}

func (n *Node) put(ev putEvent) {
	id := ev.msg.ID
	_, over := n.recent[id]
	if n.held[id] != nil || n.journal.Entry(id) != nil || over {
		if n.waits(id) {
			n.puts = append(n.puts, ev) // it gets the answer of the first
			return
		}
		ev.answer <- answerOK
		return
	}
	if answer := n.admission(&ev.msg); answer != "" {
		n.permits.refuse(id)
		n.figures.told(ev.msg.Class, answer)
		ev.answer <- answer
		return
	}
	m := ev.msg
	n.held[id] = &held{msg: &m, trail: trail{came: time.Now()}}
	n.open++
	n.puts = append(n.puts, ev)
	n.next = append(n.next, n.callOf(&m))
}

// admission is the answer to a message that is not let in; empty for one that is.
func (n *Node) admission(m *Message) string {
	most := n.cfg.Deploy.Settings.MaxOpen
	switch {
	case !n.dir.serves(m.Dest) && n.disc.heard:
		n.figures.refused.add(string(refusedUnknown))
		return answerUnknown
	case !n.dir.serves(m.Dest): // nobody has told yet what there is
		n.figures.refused.add(string(refusedNoList))
		return busy(logic.Second)
	case most > 0 && n.open >= most:
		n.figures.refused.add(string(refusedHold))
		return busy(0)
	case !n.journal.Room(len(m.Body)):
		n.figures.refused.add(string(refusedRoom))
		return busy(0)
	}
	return ""
}

// waits says whether the message came since the last step.
func (n *Node) waits(id string) bool {
	for _, p := range n.puts {
		if p.msg.ID == id {
			return true
		}
	}
	return false
}

func busy(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

func (n *Node) list(ev listEvent) {
	if !n.disc.takes(ev) {
		return
	}
	if ev.err != nil {
		n.next = append(n.next, logic.Endpoints{Form: logic.ListFailed, Took: micros(ev.took)})
		return
	}
	form := logic.ListDelta
	if ev.list.Reset {
		form = logic.ListFull
	}
	rows := n.dir.Take(ev.list, time.Now())
	if ev.list.Reset || len(rows) > 0 { // not each watch that ends without news
		n.log.Info("list", "generation", ev.list.Generation, "whole", ev.list.Reset, "entries", len(ev.list.Instances))
	}
	ready := make(map[logic.EndpointID]bool, len(rows))
	for _, row := range rows {
		ready[row.Endpoint] = row.State == logic.Ready
	}
	n.hold(func(ep logic.EndpointID) bool {
		is, told := ready[ep]
		return !is && (told || ev.list.Reset)
	})
	for ep, is := range ready {
		if !is {
			n.caller.release(ep)
		}
	}
	if ev.list.Reset { // it leaves out what is gone
		for id := range n.dir.gone {
			n.caller.release(id)
		}
	}
	n.next = append(n.next, logic.Endpoints{Form: form, Entries: rows})
}

// calls lists the endpoints that calls are out to.
func (n *Node) calls() map[logic.EndpointID]bool {
	out := map[logic.EndpointID]bool{}
	for _, h := range n.out {
		out[h.call.ep] = true
	}
	return out
}

// goesOut notes that an attempt is out, and how it is ended.
func (n *Node) goesOut(h *held, c *call, stop context.CancelFunc) {
	h.call, h.stop = c, stop
	n.out[c.id] = h
}

// landed notes that the attempt has had its outcome.
func (n *Node) landed(h *held) {
	h.stop()
	delete(n.out, h.call.id)
	h.call, h.stop = nil, nil
}

// jitter is d, give or take half: what fails for many senders at once must not be tried again by all at once.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }

// pause waits for d or until ctx is over.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (n *Node) reply(ev replyEvent) {
	h := n.held[ev.call.id]
	if h == nil {
		return
	}
	if h.call != nil {
		n.landed(h)
	}
	r := ev.result
	if r.outcome == logic.Unsent {
		h.tries--
	}
	h.trail.heard(r)
	n.figures.attempts.add(outcomeNames[r.outcome])
	if r.wait > 0 {
		n.permits.told(ev.call.ep, r.wait)
		n.holdWait(ev.call.ep)
	}
	ended := h.over
	done := r.outcome == logic.Completed || r.over
	switch {
	case ended:
	case done:
		n.records = append(n.records, record{Op: opDone, ID: ev.call.id})
		if late := time.Since(h.trail.came) > span(n.cfg.classOf(h.msg).Aim); late || r.over {
			n.badEnd(h, map[bool]string{true: "over", false: "late"}[r.over])
		}
		if r.outcome == logic.Completed {
			n.figures.fulfilled(h.msg.Class)
		}
		n.finish(ev.call.id, h)
	case r.outcome == logic.Unsent && !ev.call.recorded: // the journal knows nothing of it
	default:
		n.records = append(n.records, record{Op: opOutcome, ID: ev.call.id, MayRun: mayHaveRun(r.outcome), Unsent: r.outcome == logic.Unsent})
	}
	if h.over {
		delete(n.held, ev.call.id)
	}
	n.next = append(n.next, logic.Reply{ID: ev.call.id, NoMore: ended || done, Endpoint: ev.call.ep,
		Attempt: ev.call.attempt, Outcome: r.outcome, Took: micros(ev.took), Wait: micros(r.wait), Load: loadOf(r.load, n.cfg.Deploy.LoadMetricNames)})
}

// badEnd logs the course of a message that was not delivered in the time wanted.
func (n *Node) badEnd(h *held, end string) {
	n.log.Info("message", "id", h.msg.ID, "class", h.msg.Class, "dest", h.msg.Dest, "end", end, "ms", h.trail.ms(),
		"attempts", string(h.trail.text))
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Full && o != logic.RefusedConn && o != logic.Moot && o != logic.Unsent
}

// finish takes a message off the books; its id is remembered until its time is up.
func (n *Node) finish(id string, h *held) {
	h.over = true
	n.open--
	n.recent[id] = h.msg.Deadline
	if h.stop == nil {
		delete(n.held, id)
	}
}

// forget drops ids that nobody can hand in any more.
func (n *Node) forget() {
	now := n.clock.Now()
	for id, until := range n.recent {
		if now > until {
			delete(n.recent, id)
		}
	}
}

// setTimes sets the times of the messages that the step at hand is told of. The module counts from the step, and they may
// have waited for it, for the list of a start say.
func (n *Node) setTimes(events []logic.Event) {
	for i, ev := range events {
		c, ok := ev.(logic.Call)
		if !ok {
			continue
		}
		if h := n.held[c.ID]; h != nil {
			c.Left = logic.Micros(h.msg.Deadline - n.decided)
		}
		if c.Past.MayRun {
			c.Past.Age = logic.Micros(max(n.decided-n.journal.Entry(c.ID).FirstMay, 0))
		}
		events[i] = c
	}
}

// step lets the module decide, writes the journal, and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.next
	n.next = nil
	n.decided = n.clock.Now()
	n.setTimes(events)
	actions := n.sender.Step(micros(time.Since(n.start)), events)
	answers := n.answers(actions)
	for i, p := range n.puts {
		if answers[p.msg.ID] == "" && !n.repeats(i) {
			m := p.msg
			n.records = append(n.records, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			n.records = append(n.records, record{Op: opSend, ID: a.ID, At: n.decided, Zone: n.dir.eps[a.Endpoint].zone})
		case logic.Refuse, logic.Fail:
			x := noticeOf(a)
			if answers[x.ID] == "" && n.journal.Entry(x.ID) != nil {
				n.records = append(n.records, record{Op: opEnd, ID: x.ID, Notice: &x})
			}
		}
	}
	records := n.records
	n.records = nil
	err := n.record(records)
	for i, p := range n.puts {
		answer := answers[p.msg.ID]
		switch {
		case answer != "":
			n.figures.refused.add(string(refusedDecision))
			n.permits.refuse(p.msg.ID)
		case err != nil: // not written, so not taken on
			n.figures.refused.add(string(refusedWrite))
			answer = notWritten(err)
			n.drop(p.msg.ID)
			n.next = append(n.next, logic.ClientGone{ID: p.msg.ID})
		default:
			answer = answerOK
		}
		if !n.repeats(i) {
			n.figures.told(p.msg.Class, answer)
		}
		p.answer <- answer
	}
	n.puts = nil
	for _, a := range actions {
		n.act(work, a, answers, err == nil)
	}
	n.launch(work)
	n.show()
}

// repeats says whether the message of a put stands earlier among the puts of the step.
func (n *Node) repeats(i int) bool {
	return slices.ContainsFunc(n.puts[:i], func(x putEvent) bool { return x.msg.ID == n.puts[i].msg.ID })
}

// show brings the operators' figures up to date.
func (n *Node) show() {
	n.figures.open.Store(int64(n.open))
	n.figures.entries.Store(int64(n.dir.listed()))
	n.figures.avoided.Store(int64(n.sender.OutOfRotation()))
}

// answers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (n *Node) answers(actions []logic.Action) map[string]string {
	out := map[string]string{}
	if len(n.puts) == 0 {
		return out
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.waits(a.ID) {
				out[a.ID] = busy(a.RetryIn)
			}
		case logic.Fail:
			if n.waits(a.ID) {
				out[a.ID] = answerFailed
			}
		}
	}
	return out
}

func noticeOf(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Refuse:
		return Notice{ID: a.ID, State: noticeReturned, AfterMS: int64((a.RetryIn + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: noticeFailed}
	}
	return Notice{}
}

// drop forgets a message that was never taken on.
func (n *Node) drop(id string) {
	if h := n.held[id]; h != nil && !h.over {
		n.open--
		delete(n.held, id)
	}
}

func (n *Node) act(work context.Context, a logic.Action, answers map[string]string, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.callOut(work, a, written)
	case logic.Cancel:
		if h := n.held[a.ID]; h != nil && h.stop != nil && h.tries-1 == a.Attempt {
			h.stop()
		}
	case logic.Refuse, logic.Fail:
		x := noticeOf(a)
		if h := n.held[x.ID]; h != nil && !h.over {
			n.badEnd(h, x.State)
		}
		if answers[x.ID] != "" {
			n.drop(x.ID)
			return
		}
		if h := n.held[x.ID]; h != nil && !h.over {
			n.figures.told(h.msg.Class, x.State)
			n.permits.giveUp(h, x)
			n.finish(x.ID, h)
			n.say(x, h.msg.Deadline)
		}
	case logic.SetTimer:
		n.due.Reset(span(a.Wait)) // it goes off no later than the one before
		n.token = a.Token
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.caller.release(a.Endpoint)
	case logic.Listen:
		n.disc.watch(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

// callOut makes an attempt. Without its record in the journal it is not made.
func (n *Node) callOut(work context.Context, a logic.CallOut, written bool) {
	h := n.held[a.ID]
	if h == nil { // never taken on; the module is still owed its one outcome
		n.next = append(n.next, logic.Reply{ID: a.ID, NoMore: true, Endpoint: a.Endpoint, Outcome: logic.Moot})
		return
	}
	permitted := !written || n.permits.send(h, a.Endpoint)
	attempt := h.tries
	h.tries++
	h.trail.sent(a.Endpoint)
	to := n.dir.eps[a.Endpoint]
	in := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: to.addr, giveUp: span(a.GiveUp), msg: h.msg, state: new(atomic.Int32), carries: 1}
	c := n.cfg.classOf(h.msg)
	in.fragile = c.Effect == logic.Unsafe
	if e := n.journal.Entry(a.ID); e != nil && e.MayRun && c.Effect == logic.Keyed { // a repeat: by the end of the window it must be written
		in.writeBy = n.clock.Time(e.FirstMay).Add(span(c.Window))
	}
	ctx, stop := context.WithCancel(work)
	n.goesOut(h, in, stop)
	var err error
	in.recorded = written
	if in.request, err = deliverRequest(h.msg, to.addr, in.giveUp); err != nil || !written || !permitted {
		if err != nil {
			n.log.Error("call", "err", err)
		}
		ev := replyEvent{in, result{outcome: logic.Unsent}, 0}
		if written { // it will not work later either
			ev.result.outcome = logic.Moot
		}
		time.AfterFunc(jitter(retryPause), func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	n.calling = append(n.calling, outgoing{ctx, in})
}

// launch makes the calls that the step has decided on. Those to one endpoint go as one, as far as its kind allows:
// so the module counts them, and so does the endpoint.
func (n *Node) launch(work context.Context) {
	var group []outgoing
	for rest := n.calling; len(rest) > 0; {
		group, rest = together(rest, n.batch(rest[0].ep))
		go n.call(work, group)
	}
	n.calling = nil
}

// batch is how many messages one call to ep may carry.
func (n *Node) batch(ep logic.EndpointID) int {
	kinds := n.cfg.Deploy.Settings.Kinds
	if kind := n.dir.eps[ep].kind; kind >= 0 && kind < len(kinds) {
		return kinds[kind].Batch
	}
	return 1
}

func (n *Node) call(work context.Context, group []outgoing) {
	at := time.Now()
	if len(group) > 1 {
		n.caller.doBulk(work, group, func(in *call, r result) { n.events <- replyEvent{in, r, time.Since(at)} })
		return
	}
	r := n.caller.do(group[0].ctx, group[0].call)
	took := time.Since(at)
	if r.local {
		pause(group[0].ctx, jitter(retryPause)) // descriptors, say: room may come
	}
	n.events <- replyEvent{group[0].call, r, took}
}

// hold keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) hold(match func(ep logic.EndpointID) bool) {
	for _, h := range n.out {
		if match(h.call.ep) && h.call.state.CompareAndSwap(callConnecting, callHeld) {
			h.stop()
		}
	}
}

// holdWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) holdWait(ep logic.EndpointID) {
	to, apart := n.dir.eps[ep], n.dir.apart(ep)
	n.hold(func(x logic.EndpointID) bool { return x == ep || !apart && n.dir.eps[x].dest == to.dest })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.dir.eps[ep].addr
	go func() {
		out := logic.RefusedConn
		if req, err := probeRequest(addr); err == nil {
			out = n.caller.do(work, &call{ep: ep, addr: addr, giveUp: probeTime, request: req, state: new(atomic.Int32)}).outcome
		}
		n.events <- healthEvent{ep, out}
	}()
}

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
	shutdownReadTimeout = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	shutdownTimeout     = 3400 * time.Millisecond // and the process must be gone soon after this
	sweepInterval       = time.Second
	attemptRetryDelay   = 250 * time.Millisecond // of an attempt that could not be written to the journal
	initialListTimeout  = 500 * time.Millisecond // for the list, of a process that takes over without a handover
	eventQueueSize      = 4096
)

// replyEvent is the one outcome of an attempt.
type attemptResultEvent struct {
	call     *call
	result   result
	duration time.Duration
}

// healthEvent is the one outcome of a probe.
type probeResultEvent struct {
	Endpoint logic.EndpointID
	Outcome  logic.Outcome
}

// closingEvent starts the shutdown, or the handover to another process.
type shutdownEvent struct{ at time.Time } // when SIGTERM came

// held is a message that the module has and that is not over.
type activeMessage struct {
	msg      *Message
	attempts int
	ended    bool               // ended; an attempt is still out
	cancel   context.CancelFunc // of the attempt that is out
	call     *call              // that attempt
	log      attemptLog

	overdueReported bool // it was counted as such
}

// stages is what a start spends its time on, for the line that says that it is ready.
type startupTimer struct {
	stageStart time.Time
	attrs      []any // names and milliseconds
}

func (s *startupTimer) finishStage(name string) {
	now := time.Now()
	s.attrs = append(s.attrs, name, now.Sub(s.stageStart).Milliseconds())
	s.stageStart = now
}

// Node is one sender.
type Node struct {
	cfg             *Config
	log             *slog.Logger
	journal         *Journal
	sender          *logic.Sender
	caller          *caller
	directory       *Directory
	discovery       *discovery
	notices         *notices
	clients         *clientServer
	admin           *admin
	metrics         *figures
	events          chan any
	ready           chan net.Addr // gets the address once clients are served
	reloadSignals   <-chan os.Signal
	loadConfig      func() (*Config, error)
	reloadRequested chan struct{} // holds one token while the configuration is to be read without a signal
	watchFromStart  bool          // watch discovery from the start
	wasStandby      bool          // another process owned the journal when this one began
	stateLock       *os.File      // on the state folder; nil while another process owns it
	listener        net.Listener  // clients'

	// What follows belongs to the loop.
	wakeTimer       *time.Timer // the module's
	wakeToken       uint64
	startedAt       time.Time // of the process
	moduleEpoch     time.Time // when the module's clock was 0
	startup         startupTimer
	active          map[string]*activeMessage
	openCount       int                       // of held, those not over
	inFlight        map[string]*activeMessage // of held, those with an attempt out
	recentIDs       map[string]int64          // ids that were taken on and are over, until their time is up, on the lasting clock
	pendingEvents   []logic.Event             // for the next step
	shutdownAt      time.Time                 // when SIGTERM came; zero until then
	predecessor     *predecessor              // nil if there is none
	successor       *successor                // nil if there is none
	pendingPuts     []putEvent
	pendingRecords  []record
	pendingCalls    []outgoing // calls of the step at hand
	clock           *clock.Lasting
	stepTime        int64 // when the step at hand began, on the clock
	guard           *protocolGuard
	deferredNotices []unsaid    // ends that the journal has not got yet
	flushTimer      *time.Timer // tries again to write what the journal has not got
	journalFailures failures    // of the journal
}

// New makes a sender. It replays the journal, unless another process owns that.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	set := cfg.Deploy.Settings
	sender, err := logic.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	spent := startupTimer{stageStart: began}
	lock, err := tryLock(cfg.StateDir)
	if err != nil && !momentary(err) {
		return nil, err
	}
	spent.finishStage("lock")
	figures := newFigures(cfg)
	// The module asks for the list only where it must, and anywhere after a failed call.
	n := &Node{cfg: cfg, log: log, stateLock: lock, watchFromStart: !set.OnRequest, sender: sender, directory: NewDirectory(cfg), metrics: figures,
		caller: newCaller(toDuration(cfg.Deploy.ConnectTimeout), toDuration(set.ConnIdle), set.Slots, newSocketBudget(cfg), &figures.relayed),
		events: make(chan any, eventQueueSize), ready: make(chan net.Addr, 1), reloadRequested: make(chan struct{}, 1), startedAt: began, moduleEpoch: time.Now(), startup: spent, wakeTimer: time.NewTimer(time.Hour), active: map[string]*activeMessage{}, inFlight: map[string]*activeMessage{}, recentIDs: map[string]int64{},
		clock: clock.New(), flushTimer: time.NewTimer(time.Hour), journalFailures: failures{log: log, what: "journal"}}
	n.guard = newProtocolGuard(n)
	n.caller.copies = cfg.Deploy.SecondCopies
	n.discovery = newDiscovery(cfg.Discovery, set.Senders, log, n.events)
	n.discovery.pushed = !set.OnRequest
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.clients = newClientServer(cfg, log, n.events, figures)
	n.admin = newAdmin(log, n.clients, figures)
	if lock != nil {
		if err := n.openJournal(); err != nil && !momentary(err) {
			return nil, err
		}
	}
	return n, nil
}

func toDuration(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func toMicros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// openJournal replays the journal. The lock must be held. A read that fails is given some time to work again.
func (n *Node) openJournal() error {
	lenient := time.Since(n.startedAt) > readPatience
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
	n.startup.finishStage("journal")
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
	if err := n.takeOwnership(ctx); err != nil {
		if ctx.Err() != nil { // ended before it owned anything
			return nil
		}
		return err
	}
	defer n.stateLock.Close()
	defer n.journal.Close()
	if n.watchFromStart {
		n.discovery.watch(work)
	}
	if n.wasStandby && n.predecessor == nil {
		n.awaitInitialList(work)
	}
	n.step(work) // what the journal holds comes first: its ends are due
	n.startup.finishStage("step")
	notify, stopNotices := context.WithCancel(work)
	defer stopNotices()
	go n.notices.run(notify)
	if n.predecessor != nil {
		go n.predecessor.read(work, n.events)
	}
	if err := n.listen(work); err != nil {
		return err
	}
	defer func() {
		if n.listener != nil {
			n.listener.Close()
		}
	}()
	go func() {
		select {
		case <-ctx.Done():
			n.events <- shutdownEvent{time.Now()}
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
func (n *Node) takeOwnership(ctx context.Context) error {
	var st *handover
	if n.stateLock == nil {
		var err error
		if st, err = n.claim(ctx); err != nil {
			return err
		}
	}
	if n.journal == nil {
		if err := Persist(ctx, n.log, "journal", n.openJournal); err != nil {
			return err
		}
		n.reloadAfterTakeover()
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
	n.resumeFromJournal()
	return nil
}

// awaitList waits for the list, for a short while, where an agent of our own has it at once. A process that stood by and
// was not handed over to goes on for a sender that may have been told of changes which its own list does not have.
func (n *Node) awaitInitialList(work context.Context) {
	late := time.NewTimer(initialListTimeout)
	defer late.Stop()
	for n.watchFromStart && !n.discovery.heard {
		select {
		case ev := <-n.events:
			n.handleEvent(work, ev)
		case <-late.C:
			return
		}
	}
}

// loadAnew follows a configuration that may have been replaced while this process waited for its turn.
func (n *Node) reloadAfterTakeover() {
	if n.loadConfig == nil {
		return
	}
	cfg, err := n.loadConfig()
	if err != nil {
		n.log.Warn("the configuration of the start stands until it can be read", "err", err)
		n.reloadNow()
		return
	}
	if cfg.Discovery != n.discovery.addr {
		n.notices.move(cfg.Discovery)
		n.discovery.move(cfg.Discovery)
	}
}

// shutDown sends the clients away. The first channel is closed when none is left, the second when the time is up.
func (n *Node) shutDownClients(work context.Context) (served, stopped <-chan struct{}) {
	none, late := make(chan struct{}), make(chan struct{})
	n.clients.stopReadingAt(n.shutdownAt.Add(shutdownReadTimeout))
	n.clients.setPhase(stopping)
	grace, end := context.WithDeadline(work, n.shutdownAt.Add(shutdownTimeout))
	ln := n.listener
	if ln == nil { // it never served
		close(n.clients.acceptDone)
	}
	go func() {
		defer end()
		sleepContext(grace, closeIdleDelay)
		if ln != nil {
			ln.Close()
		}
		n.clients.awaitClosed(grace)
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
	tick := max(toDuration(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	defer n.wakeTimer.Stop()
	defer n.flushTimer.Stop()
	var served, stopped <-chan struct{} // while shutting down
	quiet := false                      // shutting down, and no client is left
	for {
		if quiet && n.openCount == 0 && len(n.journal.entries) == 0 && n.journal.Settled() {
			n.log.Info("stopped", "owed", 0)
			return false
		}
		select {
		case ev := <-n.events:
			n.handleEvent(work, ev)
		case <-n.wakeTimer.C:
			n.pendingEvents = append(n.pendingEvents, logic.Due{Token: n.wakeToken})
		case <-n.flushTimer.C:
			n.record(nil)
		case <-sweep.C:
			n.caller.sweep()
			if len(n.directory.gone) > 0 {
				n.directory.forget(time.Now(), n.calledEndpoints())
			}
			n.expireRecentIDs()
			n.guard.expireWaits()
			n.guard.checkOverdue()
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
				n.handleEvent(work, ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.pendingEvents) > 0 {
			n.step(work)
		}
		if !n.shutdownAt.IsZero() && stopped == nil {
			if n.successor != nil {
				err := n.handOver()
				if err == nil {
					return true
				}
				n.log.Error("the handover failed: this process stays the owner until its end", "err", err)
			}
			served, stopped = n.shutDownClients(work)
			n.pendingEvents = append(n.pendingEvents, logic.Closing{Left: toMicros(max(shutdownReadTimeout-time.Since(n.shutdownAt), 0))})
			n.step(work)
		}
		rest.Reset(tick)
		<-rest.C
	}
}

// resume hands the module what the journal holds, with what became of it so far.
func (n *Node) resumeFromJournal() {
	if n.cfg.Known.Generation != 0 || len(n.cfg.Known.Instances) > 0 {
		n.discovery.gen, n.discovery.started = n.cfg.Known.Generation, true
		n.pendingEvents = append(n.pendingEvents, logic.Endpoints{Form: logic.ListCached, Entries: n.directory.Take(n.cfg.Known, time.Now())})
	}
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
			continue
		}
		if _, known := n.cfg.Classes[e.Class]; !known {
			n.endUnknownClass(e)
			continue
		}
		n.active[e.ID] = &activeMessage{msg: &e.Message, attempts: e.Tries, log: attemptLog{receivedAt: time.Now()}}
		n.openCount++
		c := n.moduleCall(&e.Message)
		c.Past = logic.Past{Taken: true, Tries: e.Tries, MayRun: e.MayRun || e.Open}
		if c.Past.MayRun {
			c.Past.Zone = e.FirstZone
		}
		if e.Open { // whoever reads the journal next must not take its outcome for a later one's
			n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: e.ID, MayRun: true})
		}
		n.pendingEvents = append(n.pendingEvents, c)
	}
}

// endUnknown ends a message whose class the settings do not name any more.
func (n *Node) endUnknownClass(e *Entry) {
	x := Notice{ID: e.ID, State: noticeReturned}
	if e.MayRun || e.Open {
		x.State = noticeFailed
	}
	n.log.Warn("message of an unknown class", "id", e.ID, "class", e.Class, "end", x.State)
	n.pendingRecords = append(n.pendingRecords, record{Op: opEnd, ID: e.ID, Notice: &x})
	n.deferredNotices = append(n.deferredNotices, unsaid{x, e.Deadline})
}

// callOf is the module's view of a message, without its times: those are set at the step.
func (n *Node) moduleCall(m *Message) logic.Call {
	c := logic.Call{ID: m.ID, Key: m.Order, Dest: m.Dest, Tenant: -1, Class: n.cfg.Classes[m.Class]}
	if t, ok := n.cfg.Tenants[m.Tenant]; ok && m.Tenant != "" {
		c.Tenant = t
	}
	return c
}

// take turns what has come into events for the next step.
func (n *Node) handleEvent(work context.Context, ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.handlePut(ev)
	case attemptResultEvent:
		n.handleAttemptResult(ev)
	case probeResultEvent:
		n.pendingEvents = append(n.pendingEvents, logic.HealthResult{Endpoint: ev.Endpoint, Outcome: ev.Outcome})
	case listEvent:
		n.handleList(ev)
	case noticedEvent:
		for _, id := range ev.ids {
			n.pendingRecords = append(n.pendingRecords, record{Op: opNoticed, ID: id})
		}
		records := n.pendingRecords
		n.pendingRecords = nil
		n.record(records) // at once: what is off the journal makes room
	case reloadEvent:
		n.moveTo(work, ev.cfg)
	case shutdownEvent:
		n.shutdownAt = ev.at
	case listeningEvent:
		n.serve(work, ev.ln)
	case remoteEvent:
		n.remote(ev)
	case successorEvent:
		n.standsBy(ev)
	}
}

func (n *Node) handlePut(ev putEvent) {
	id := ev.msg.ID
	_, over := n.recentIDs[id]
	if n.active[id] != nil || n.journal.Entry(id) != nil || over {
		if n.isPendingPut(id) {
			n.pendingPuts = append(n.pendingPuts, ev) // it gets the answer of the first
			return
		}
		ev.reply <- replyOK
		return
	}
	if answer := n.admissionReply(&ev.msg); answer != "" {
		n.guard.checkRefusal(id)
		n.metrics.told(ev.msg.Class, answer)
		ev.reply <- answer
		return
	}
	m := ev.msg
	n.active[id] = &activeMessage{msg: &m, log: attemptLog{receivedAt: time.Now()}}
	n.openCount++
	n.pendingPuts = append(n.pendingPuts, ev)
	n.pendingEvents = append(n.pendingEvents, n.moduleCall(&m))
}

// admission is the answer to a message that is not let in; empty for one that is.
func (n *Node) admissionReply(m *Message) string {
	most := n.cfg.Deploy.Settings.MaxOpen
	switch {
	case !n.directory.serves(m.Dest) && n.discovery.heard:
		n.metrics.refused.add(string(refusedUnknown))
		return replyUnknownDestination
	case !n.directory.serves(m.Dest): // nobody has told yet what there is
		n.metrics.refused.add(string(refusedNoList))
		return busyReply(logic.Second)
	case most > 0 && n.openCount >= most:
		n.metrics.refused.add(string(refusedHold))
		return busyReply(0)
	case !n.journal.Room(len(m.Body)):
		n.metrics.refused.add(string(refusedRoom))
		return busyReply(0)
	}
	return ""
}

// waits says whether the message came since the last step.
func (n *Node) isPendingPut(id string) bool {
	for _, p := range n.pendingPuts {
		if p.msg.ID == id {
			return true
		}
	}
	return false
}

func busyReply(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

func (n *Node) handleList(ev listEvent) {
	if !n.discovery.takes(ev) {
		return
	}
	if ev.err != nil {
		n.pendingEvents = append(n.pendingEvents, logic.Endpoints{Form: logic.ListFailed, Took: toMicros(ev.took)})
		return
	}
	form := logic.ListDelta
	if ev.list.Reset {
		form = logic.ListFull
	}
	rows := n.directory.Take(ev.list, time.Now())
	if ev.list.Reset || len(rows) > 0 { // not each watch that ends without news
		n.log.Info("list", "generation", ev.list.Generation, "whole", ev.list.Reset, "entries", len(ev.list.Instances))
	}
	ready := make(map[logic.EndpointID]bool, len(rows))
	for _, row := range rows {
		ready[row.Endpoint] = row.State == logic.Ready
	}
	n.abortConnecting(func(ep logic.EndpointID) bool {
		is, told := ready[ep]
		return !is && (told || ev.list.Reset)
	})
	for ep, is := range ready {
		if !is {
			n.caller.release(ep)
		}
	}
	if ev.list.Reset { // it leaves out what is gone
		for id := range n.directory.gone {
			n.caller.release(id)
		}
	}
	n.pendingEvents = append(n.pendingEvents, logic.Endpoints{Form: form, Entries: rows})
}

// calls lists the endpoints that calls are out to.
func (n *Node) calledEndpoints() map[logic.EndpointID]bool {
	out := map[logic.EndpointID]bool{}
	for _, h := range n.inFlight {
		out[h.call.ep] = true
	}
	return out
}

// goesOut notes that an attempt is out, and how it is ended.
func (n *Node) attemptStarted(h *activeMessage, c *call, stop context.CancelFunc) {
	h.call, h.cancel = c, stop
	n.inFlight[c.id] = h
}

// landed notes that the attempt has had its outcome.
func (n *Node) attemptEnded(h *activeMessage) {
	h.cancel()
	delete(n.inFlight, h.call.id)
	h.call, h.cancel = nil, nil
}

// jitter is d, give or take half: what fails for many senders at once must not be tried again by all at once.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }

// pause waits for d or until ctx is over.
func sleepContext(ctx context.Context, d time.Duration) {
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

func (n *Node) handleAttemptResult(ev attemptResultEvent) {
	h := n.active[ev.call.id]
	if h == nil {
		return
	}
	if h.call != nil {
		n.attemptEnded(h)
	}
	r := ev.result
	if r.outcome == logic.Unsent {
		h.attempts--
	}
	h.log.addOutcome(r)
	n.metrics.attempts.add(outcomeNames[r.outcome])
	if r.wait > 0 {
		n.guard.noteWait(ev.call.ep, r.wait)
		n.abortForWait(ev.call.ep)
	}
	ended := h.ended
	done := r.outcome == logic.Completed || r.over
	switch {
	case ended:
	case done:
		n.pendingRecords = append(n.pendingRecords, record{Op: opDone, ID: ev.call.id})
		if late := time.Since(h.log.receivedAt) > toDuration(n.cfg.classOf(h.msg).Aim); late || r.over {
			n.logAttempts(h, map[bool]string{true: "over", false: "late"}[r.over])
		}
		if r.outcome == logic.Completed {
			n.metrics.fulfilled(h.msg.Class)
		}
		n.endMessage(ev.call.id, h)
	case r.outcome == logic.Unsent && !ev.call.recorded: // the journal knows nothing of it
	default:
		n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: ev.call.id, MayRun: mayHaveRun(r.outcome), Unsent: r.outcome == logic.Unsent})
	}
	if h.ended {
		delete(n.active, ev.call.id)
	}
	n.pendingEvents = append(n.pendingEvents, logic.Reply{ID: ev.call.id, NoMore: ended || done, Endpoint: ev.call.ep,
		Attempt: ev.call.attempt, Outcome: r.outcome, Took: toMicros(ev.duration), Wait: toMicros(r.wait), Load: loadOf(r.load, n.cfg.Deploy.Reports)})
}

// badEnd logs the course of a message that was not delivered in the time wanted.
func (n *Node) logAttempts(h *activeMessage, end string) {
	n.log.Info("message", "id", h.msg.ID, "class", h.msg.Class, "dest", h.msg.Dest, "end", end, "ms", h.log.elapsedMS(),
		"attempts", string(h.log.text))
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Full && o != logic.RefusedConn && o != logic.Moot && o != logic.Unsent
}

// finish takes a message off the books; its id is remembered until its time is up.
func (n *Node) endMessage(id string, h *activeMessage) {
	h.ended = true
	n.openCount--
	n.recentIDs[id] = h.msg.Deadline
	if h.cancel == nil {
		delete(n.active, id)
	}
}

// forget drops ids that nobody can hand in any more.
func (n *Node) expireRecentIDs() {
	now := n.clock.Now()
	for id, until := range n.recentIDs {
		if now > until {
			delete(n.recentIDs, id)
		}
	}
}

// setTimes sets the times of the messages that the step at hand is told of. The module counts from the step, and they may
// have waited for it, for the list of a start say.
func (n *Node) setCallTimes(events []logic.Event) {
	for i, ev := range events {
		c, ok := ev.(logic.Call)
		if !ok {
			continue
		}
		if h := n.active[c.ID]; h != nil {
			c.Left = logic.Micros(h.msg.Deadline - n.stepTime)
		}
		if c.Past.MayRun {
			c.Past.Age = logic.Micros(max(n.stepTime-n.journal.Entry(c.ID).FirstMay, 0))
		}
		events[i] = c
	}
}

// step lets the module decide, writes the journal, and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.pendingEvents
	n.pendingEvents = nil
	n.stepTime = n.clock.Now()
	n.setCallTimes(events)
	actions := n.sender.Step(toMicros(time.Since(n.moduleEpoch)), events)
	answers := n.immediateReplies(actions)
	for i, p := range n.pendingPuts {
		if answers[p.msg.ID] == "" && !n.isRepeatedPut(i) {
			m := p.msg
			n.pendingRecords = append(n.pendingRecords, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			n.pendingRecords = append(n.pendingRecords, record{Op: opSend, ID: a.ID, At: n.stepTime, Zone: n.directory.eps[a.Endpoint].zone})
		case logic.Refuse, logic.Fail:
			x := noticeFor(a)
			if answers[x.ID] == "" && n.journal.Entry(x.ID) != nil {
				n.pendingRecords = append(n.pendingRecords, record{Op: opEnd, ID: x.ID, Notice: &x})
			}
		}
	}
	records := n.pendingRecords
	n.pendingRecords = nil
	err := n.record(records)
	for i, p := range n.pendingPuts {
		answer := answers[p.msg.ID]
		switch {
		case answer != "":
			n.metrics.refused.add(string(refusedDecision))
			n.guard.checkRefusal(p.msg.ID)
		case err != nil: // not written, so not taken on
			n.metrics.refused.add(string(refusedWrite))
			answer = notWritten(err)
			n.dropMessage(p.msg.ID)
			n.pendingEvents = append(n.pendingEvents, logic.ClientGone{ID: p.msg.ID})
		default:
			answer = replyOK
		}
		if !n.isRepeatedPut(i) {
			n.metrics.told(p.msg.Class, answer)
		}
		p.reply <- answer
	}
	n.pendingPuts = nil
	for _, a := range actions {
		n.perform(work, a, answers, err == nil)
	}
	n.sendPendingCalls(work)
	n.updateGauges()
}

// repeats says whether the message of a put stands earlier among the puts of the step.
func (n *Node) isRepeatedPut(i int) bool {
	return slices.ContainsFunc(n.pendingPuts[:i], func(x putEvent) bool { return x.msg.ID == n.pendingPuts[i].msg.ID })
}

// show brings the operators' figures up to date.
func (n *Node) updateGauges() {
	n.metrics.open.Store(int64(n.openCount))
	n.metrics.entries.Store(int64(n.directory.listed()))
	n.metrics.avoided.Store(int64(n.sender.OutOfRotation()))
}

// answers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (n *Node) immediateReplies(actions []logic.Action) map[string]string {
	out := map[string]string{}
	if len(n.pendingPuts) == 0 {
		return out
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.isPendingPut(a.ID) {
				out[a.ID] = busyReply(a.RetryIn)
			}
		case logic.Fail:
			if n.isPendingPut(a.ID) {
				out[a.ID] = replyFailed
			}
		}
	}
	return out
}

func noticeFor(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Refuse:
		return Notice{ID: a.ID, State: noticeReturned, AfterMS: int64((a.RetryIn + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: noticeFailed}
	}
	return Notice{}
}

// drop forgets a message that was never taken on.
func (n *Node) dropMessage(id string) {
	if h := n.active[id]; h != nil && !h.ended {
		n.openCount--
		delete(n.active, id)
	}
}

func (n *Node) perform(work context.Context, a logic.Action, answers map[string]string, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.startAttempt(work, a, written)
	case logic.Cancel:
		if h := n.active[a.ID]; h != nil && h.cancel != nil && h.attempts-1 == a.Attempt {
			h.cancel()
		}
	case logic.Refuse, logic.Fail:
		x := noticeFor(a)
		if h := n.active[x.ID]; h != nil && !h.ended {
			n.logAttempts(h, x.State)
		}
		if answers[x.ID] != "" {
			n.dropMessage(x.ID)
			return
		}
		if h := n.active[x.ID]; h != nil && !h.ended {
			n.metrics.told(h.msg.Class, x.State)
			n.guard.checkEnd(h, x)
			n.endMessage(x.ID, h)
			n.say(x, h.msg.Deadline)
		}
	case logic.SetTimer:
		n.wakeTimer.Reset(toDuration(a.Wait)) // it goes off no later than the one before
		n.wakeToken = a.Token
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.caller.release(a.Endpoint)
	case logic.Listen:
		n.discovery.watch(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

// callOut makes an attempt. Without its record in the journal it is not made.
func (n *Node) startAttempt(work context.Context, a logic.CallOut, written bool) {
	h := n.active[a.ID]
	if h == nil { // never taken on; the module is still owed its one outcome
		n.pendingEvents = append(n.pendingEvents, logic.Reply{ID: a.ID, NoMore: true, Endpoint: a.Endpoint, Outcome: logic.Moot})
		return
	}
	permitted := !written || n.guard.allowSend(h, a.Endpoint)
	attempt := h.attempts
	h.attempts++
	h.log.addSend(a.Endpoint)
	to := n.directory.eps[a.Endpoint]
	in := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: to.addr, giveUp: toDuration(a.GiveUp), msg: h.msg, state: new(atomic.Int32), carries: 1}
	c := n.cfg.classOf(h.msg)
	in.fragile = c.Effect == logic.Unsafe
	if e := n.journal.Entry(a.ID); e != nil && e.MayRun && c.Effect == logic.Keyed { // a repeat: by the end of the window it must be written
		in.writeBy = n.clock.At(e.FirstMay).Add(toDuration(c.Window))
	}
	ctx, stop := context.WithCancel(work)
	n.attemptStarted(h, in, stop)
	var err error
	in.recorded = written
	if in.request, err = deliverRequest(h.msg, to.addr, in.giveUp); err != nil || !written || !permitted {
		if err != nil {
			n.log.Error("call", "err", err)
		}
		ev := attemptResultEvent{in, result{outcome: logic.Unsent}, 0}
		if written { // it will not work later either
			ev.result.outcome = logic.Moot
		}
		time.AfterFunc(jitter(attemptRetryDelay), func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	n.pendingCalls = append(n.pendingCalls, outgoing{ctx, in})
}

// launch makes the calls that the step has decided on. Those to one endpoint go as one, as far as its kind allows:
// so the module counts them, and so does the endpoint.
func (n *Node) sendPendingCalls(work context.Context) {
	var group []outgoing
	for rest := n.pendingCalls; len(rest) > 0; {
		group, rest = together(rest, n.batchSize(rest[0].ep))
		go n.sendCalls(work, group)
	}
	n.pendingCalls = nil
}

// batch is how many messages one call to ep may carry.
func (n *Node) batchSize(ep logic.EndpointID) int {
	kinds := n.cfg.Deploy.Settings.Kinds
	if kind := n.directory.eps[ep].kind; kind >= 0 && kind < len(kinds) {
		return kinds[kind].Batch
	}
	return 1
}

func (n *Node) sendCalls(work context.Context, group []outgoing) {
	at := time.Now()
	if len(group) > 1 {
		n.caller.doBulk(work, group, func(in *call, r result) { n.events <- attemptResultEvent{in, r, time.Since(at)} })
		return
	}
	r := n.caller.do(group[0].ctx, group[0].call)
	took := time.Since(at)
	if r.local {
		sleepContext(group[0].ctx, jitter(attemptRetryDelay)) // descriptors, say: room may come
	}
	n.events <- attemptResultEvent{group[0].call, r, took}
}

// hold keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) abortConnecting(match func(ep logic.EndpointID) bool) {
	for _, h := range n.inFlight {
		if match(h.call.ep) && h.call.state.CompareAndSwap(callConnecting, callHeld) {
			h.cancel()
		}
	}
}

// holdWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) abortForWait(ep logic.EndpointID) {
	to, apart := n.directory.eps[ep], n.directory.apart(ep)
	n.abortConnecting(func(x logic.EndpointID) bool { return x == ep || !apart && n.directory.eps[x].dest == to.dest })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.directory.eps[ep].addr
	go func() {
		out := logic.RefusedConn
		if req, err := probeRequest(addr); err == nil {
			out = n.caller.do(work, &call{ep: ep, addr: addr, giveUp: probeTime, request: req, state: new(atomic.Int32)}).outcome
		}
		n.events <- probeResultEvent{ep, out}
	}()
}

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

func (t *startupTimer) finishStage(name string) {
	now := time.Now()
	t.attrs = append(t.attrs, name, now.Sub(t.stageStart).Milliseconds())
	t.stageStart = now
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
	settings := cfg.Deploy.Settings
	sender, err := logic.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	startup := startupTimer{stageStart: startedAt}
	stateLock, err := tryLock(cfg.StateDir)
	if err != nil && !momentary(err) {
		return nil, err
	}
	startup.finishStage("lock")
	metrics := newFigures(cfg)
	// The module asks for the list only where it must, and anywhere after a failed call.
	n := &Node{cfg: cfg, log: log, stateLock: stateLock, watchFromStart: !settings.OnRequest, sender: sender, directory: NewDirectory(cfg), metrics: metrics,
		caller: newCaller(toDuration(cfg.Deploy.ConnectTimeout), toDuration(settings.ConnIdle), settings.Slots, newSocketBudget(cfg), &metrics.relayed),
		events: make(chan any, eventQueueSize), ready: make(chan net.Addr, 1), reloadRequested: make(chan struct{}, 1), startedAt: startedAt, moduleEpoch: time.Now(), startup: startup, wakeTimer: time.NewTimer(time.Hour), active: map[string]*activeMessage{}, inFlight: map[string]*activeMessage{}, recentIDs: map[string]int64{},
		clock: clock.New(), flushTimer: time.NewTimer(time.Hour), journalFailures: failures{log: log, what: "journal"}}
	n.guard = newProtocolGuard(n)
	n.caller.copies = cfg.Deploy.SecondCopies
	n.discovery = newDiscovery(cfg.Discovery, settings.Senders, log, n.events)
	n.discovery.pushed = !settings.OnRequest
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.clients = newClientServer(cfg, log, n.events, metrics)
	n.admin = newAdmin(log, n.clients, metrics)
	if stateLock != nil {
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
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	if n.cfg.Admin != "" {
		operatorsDone, err := n.serveOperators(workCtx)
		if err != nil {
			return err
		}
		defer func() { cancelWork(); <-operatorsDone }()
	}
	go n.reloads(workCtx)
	if err := n.takeOwnership(ctx); err != nil {
		if ctx.Err() != nil { // ended before it owned anything
			return nil
		}
		return err
	}
	defer n.stateLock.Close()
	defer n.journal.Close()
	if n.watchFromStart {
		n.discovery.watch(workCtx)
	}
	if n.wasStandby && n.predecessor == nil {
		n.awaitInitialList(workCtx)
	}
	n.step(workCtx) // what the journal holds comes first: its ends are due
	n.startup.finishStage("step")
	noticesCtx, stopNotices := context.WithCancel(workCtx)
	defer stopNotices()
	go n.notices.run(noticesCtx)
	if n.predecessor != nil {
		go n.predecessor.read(workCtx, n.events)
	}
	if err := n.listen(workCtx); err != nil {
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
		case <-workCtx.Done():
		}
	}()
	if n.loop(workCtx) {
		stopNotices()
		n.retire(workCtx)
	}
	return nil
}

// begin makes this process the owner of the journal and takes up what is owed: from the process before, if that hands
// over, or else from the journal alone.
func (n *Node) takeOwnership(ctx context.Context) error {
	var state *handover
	if n.stateLock == nil {
		var err error
		if state, err = n.claim(ctx); err != nil {
			return err
		}
	}
	if n.journal == nil {
		if err := Persist(ctx, n.log, "journal", n.openJournal); err != nil {
			return err
		}
		n.reloadAfterTakeover()
	}
	if state != nil {
		err := n.adopt(state)
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
func (n *Node) awaitInitialList(workCtx context.Context) {
	timeout := time.NewTimer(initialListTimeout)
	defer timeout.Stop()
	for n.watchFromStart && !n.discovery.heard {
		select {
		case ev := <-n.events:
			n.handleEvent(workCtx, ev)
		case <-timeout.C:
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
func (n *Node) shutDownClients(workCtx context.Context) (clientsClosed, timedOut <-chan struct{}) {
	closed, expired := make(chan struct{}), make(chan struct{})
	n.clients.stopReadingAt(n.shutdownAt.Add(shutdownReadTimeout))
	n.clients.setPhase(stopping)
	graceCtx, cancel := context.WithDeadline(workCtx, n.shutdownAt.Add(shutdownTimeout))
	listener := n.listener
	if listener == nil { // it never served
		close(n.clients.acceptDone)
	}
	go func() {
		defer cancel()
		sleepContext(graceCtx, closeIdleDelay)
		if listener != nil {
			listener.Close()
		}
		n.clients.awaitClosed(graceCtx)
		close(closed)
		<-graceCtx.Done()
		close(expired)
	}()
	return closed, expired
}

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
//
// It returns true when another process goes on.
func (n *Node) loop(workCtx context.Context) bool {
	tick := max(toDuration(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	defer n.wakeTimer.Stop()
	defer n.flushTimer.Stop()
	var clientsClosed, timedOut <-chan struct{} // while shutting down
	noClients := false                          // shutting down, and no client is left
	for {
		if noClients && n.openCount == 0 && len(n.journal.entries) == 0 && n.journal.Settled() {
			n.log.Info("stopped", "owed", 0)
			return false
		}
		select {
		case ev := <-n.events:
			n.handleEvent(workCtx, ev)
		case <-n.wakeTimer.C:
			n.pendingEvents = append(n.pendingEvents, logic.Due{Token: n.wakeToken})
		case <-n.flushTimer.C:
			n.record(nil)
		case <-sweepTicker.C:
			n.caller.sweep()
			if len(n.directory.gone) > 0 {
				n.directory.forget(time.Now(), n.calledEndpoints())
			}
			n.expireRecentIDs()
			n.guard.expireWaits()
			n.guard.checkOverdue()
			continue
		case <-clientsClosed:
			noClients, clientsClosed = true, nil
			continue
		case <-timedOut:
			// What is still out stays in the journal as it is.
			n.record(nil)
			n.log.Info("stopped", "owed", len(n.journal.entries))
			return false
		}
		for more := true; more; {
			select {
			case ev := <-n.events:
				n.handleEvent(workCtx, ev)
			default:
				more = false
			}
		}
		n.step(workCtx)
		for len(n.pendingEvents) > 0 {
			n.step(workCtx)
		}
		if !n.shutdownAt.IsZero() && timedOut == nil {
			if n.successor != nil {
				err := n.handOver()
				if err == nil {
					return true
				}
				n.log.Error("the handover failed: this process stays the owner until its end", "err", err)
			}
			clientsClosed, timedOut = n.shutDownClients(workCtx)
			n.pendingEvents = append(n.pendingEvents, logic.Closing{Left: toMicros(max(shutdownReadTimeout-time.Since(n.shutdownAt), 0))})
			n.step(workCtx)
		}
		tickTimer.Reset(tick)
		<-tickTimer.C
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
	notice := Notice{ID: e.ID, State: noticeReturned}
	if e.MayRun || e.Open {
		notice.State = noticeFailed
	}
	n.log.Warn("message of an unknown class", "id", e.ID, "class", e.Class, "end", notice.State)
	n.pendingRecords = append(n.pendingRecords, record{Op: opEnd, ID: e.ID, Notice: &notice})
	n.deferredNotices = append(n.deferredNotices, unsaid{notice, e.Deadline})
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
func (n *Node) handleEvent(workCtx context.Context, ev any) {
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
		n.moveTo(workCtx, ev.cfg)
	case shutdownEvent:
		n.shutdownAt = ev.at
	case listeningEvent:
		n.serve(workCtx, ev.ln)
	case remoteEvent:
		n.remote(ev)
	case successorEvent:
		n.standsBy(ev)
	}
}

func (n *Node) handlePut(ev putEvent) {
	id := ev.msg.ID
	_, recentlyEnded := n.recentIDs[id]
	if n.active[id] != nil || n.journal.Entry(id) != nil || recentlyEnded {
		if n.isPendingPut(id) {
			n.pendingPuts = append(n.pendingPuts, ev) // it gets the answer of the first
			return
		}
		ev.reply <- replyOK
		return
	}
	if reply := n.admissionReply(&ev.msg); reply != "" {
		n.guard.checkRefusal(id)
		n.metrics.told(ev.msg.Class, reply)
		ev.reply <- reply
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
	maxOpen := n.cfg.Deploy.Settings.MaxOpen
	switch {
	case !n.directory.serves(m.Dest) && n.discovery.heard:
		n.metrics.refused.add(string(refusedUnknown))
		return replyUnknownDestination
	case !n.directory.serves(m.Dest): // nobody has told yet what there is
		n.metrics.refused.add(string(refusedNoList))
		return busyReply(logic.Second)
	case maxOpen > 0 && n.openCount >= maxOpen:
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
		isReady, listed := ready[ep]
		return !isReady && (listed || ev.list.Reset)
	})
	for ep, isReady := range ready {
		if !isReady {
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
	endpoints := map[logic.EndpointID]bool{}
	for _, h := range n.inFlight {
		endpoints[h.call.ep] = true
	}
	return endpoints
}

// goesOut notes that an attempt is out, and how it is ended.
func (n *Node) attemptStarted(h *activeMessage, c *call, cancel context.CancelFunc) {
	h.call, h.cancel = c, cancel
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
	alreadyEnded := h.ended
	done := r.outcome == logic.Completed || r.over
	switch {
	case alreadyEnded:
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
	n.pendingEvents = append(n.pendingEvents, logic.Reply{ID: ev.call.id, NoMore: alreadyEnded || done, Endpoint: ev.call.ep,
		Attempt: ev.call.attempt, Outcome: r.outcome, Took: toMicros(ev.duration), Wait: toMicros(r.wait), Load: loadOf(r.load, n.cfg.Deploy.Reports)})
}

// badEnd logs the course of a message that was not delivered in the time wanted.
func (n *Node) logAttempts(h *activeMessage, outcome string) {
	n.log.Info("message", "id", h.msg.ID, "class", h.msg.Class, "dest", h.msg.Dest, "end", outcome, "ms", h.log.elapsedMS(),
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
func (n *Node) step(workCtx context.Context) {
	events := n.pendingEvents
	n.pendingEvents = nil
	n.stepTime = n.clock.Now()
	n.setCallTimes(events)
	actions := n.sender.Step(toMicros(time.Since(n.moduleEpoch)), events)
	replies := n.immediateReplies(actions)
	for i, p := range n.pendingPuts {
		if replies[p.msg.ID] == "" && !n.isRepeatedPut(i) {
			m := p.msg
			n.pendingRecords = append(n.pendingRecords, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			n.pendingRecords = append(n.pendingRecords, record{Op: opSend, ID: a.ID, At: n.stepTime, Zone: n.directory.eps[a.Endpoint].zone})
		case logic.Refuse, logic.Fail:
			notice := noticeFor(a)
			if replies[notice.ID] == "" && n.journal.Entry(notice.ID) != nil {
				n.pendingRecords = append(n.pendingRecords, record{Op: opEnd, ID: notice.ID, Notice: &notice})
			}
		}
	}
	records := n.pendingRecords
	n.pendingRecords = nil
	err := n.record(records)
	for i, p := range n.pendingPuts {
		reply := replies[p.msg.ID]
		switch {
		case reply != "":
			n.metrics.refused.add(string(refusedDecision))
			n.guard.checkRefusal(p.msg.ID)
		case err != nil: // not written, so not taken on
			n.metrics.refused.add(string(refusedWrite))
			reply = notWritten(err)
			n.dropMessage(p.msg.ID)
			n.pendingEvents = append(n.pendingEvents, logic.ClientGone{ID: p.msg.ID})
		default:
			reply = replyOK
		}
		if !n.isRepeatedPut(i) {
			n.metrics.told(p.msg.Class, reply)
		}
		p.reply <- reply
	}
	n.pendingPuts = nil
	for _, a := range actions {
		n.perform(workCtx, a, replies, err == nil)
	}
	n.sendPendingCalls(workCtx)
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
	replies := map[string]string{}
	if len(n.pendingPuts) == 0 {
		return replies
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.isPendingPut(a.ID) {
				replies[a.ID] = busyReply(a.RetryIn)
			}
		case logic.Fail:
			if n.isPendingPut(a.ID) {
				replies[a.ID] = replyFailed
			}
		}
	}
	return replies
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

func (n *Node) perform(workCtx context.Context, a logic.Action, replies map[string]string, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.startAttempt(workCtx, a, written)
	case logic.Cancel:
		if h := n.active[a.ID]; h != nil && h.cancel != nil && h.attempts-1 == a.Attempt {
			h.cancel()
		}
	case logic.Refuse, logic.Fail:
		notice := noticeFor(a)
		if h := n.active[notice.ID]; h != nil && !h.ended {
			n.logAttempts(h, notice.State)
		}
		if replies[notice.ID] != "" {
			n.dropMessage(notice.ID)
			return
		}
		if h := n.active[notice.ID]; h != nil && !h.ended {
			n.metrics.told(h.msg.Class, notice.State)
			n.guard.checkEnd(h, notice)
			n.endMessage(notice.ID, h)
			n.say(notice, h.msg.Deadline)
		}
	case logic.SetTimer:
		n.wakeTimer.Reset(toDuration(a.Wait)) // it goes off no later than the one before
		n.wakeToken = a.Token
	case logic.Probe:
		n.probe(workCtx, a.Endpoint)
	case logic.Release:
		n.caller.release(a.Endpoint)
	case logic.Listen:
		n.discovery.watch(workCtx)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

// callOut makes an attempt. Without its record in the journal it is not made.
func (n *Node) startAttempt(workCtx context.Context, a logic.CallOut, written bool) {
	h := n.active[a.ID]
	if h == nil { // never taken on; the module is still owed its one outcome
		n.pendingEvents = append(n.pendingEvents, logic.Reply{ID: a.ID, NoMore: true, Endpoint: a.Endpoint, Outcome: logic.Moot})
		return
	}
	permitted := !written || n.guard.allowSend(h, a.Endpoint)
	attempt := h.attempts
	h.attempts++
	h.log.addSend(a.Endpoint)
	target := n.directory.eps[a.Endpoint]
	c := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: target.addr, giveUp: toDuration(a.GiveUp), msg: h.msg, state: new(atomic.Int32), carries: 1}
	class := n.cfg.classOf(h.msg)
	c.fragile = class.Effect == logic.Unsafe
	if entry := n.journal.Entry(a.ID); entry != nil && entry.MayRun && class.Effect == logic.Keyed { // a repeat: by the end of the window it must be written
		c.writeBy = n.clock.At(entry.FirstMay).Add(toDuration(class.Window))
	}
	ctx, cancel := context.WithCancel(workCtx)
	n.attemptStarted(h, c, cancel)
	var err error
	c.recorded = written
	if c.request, err = deliverRequest(h.msg, target.addr, c.giveUp); err != nil || !written || !permitted {
		if err != nil {
			n.log.Error("call", "err", err)
		}
		ev := attemptResultEvent{c, result{outcome: logic.Unsent}, 0}
		if written { // it will not work later either
			ev.result.outcome = logic.Moot
		}
		time.AfterFunc(jitter(attemptRetryDelay), func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	n.pendingCalls = append(n.pendingCalls, outgoing{ctx, c})
}

// launch makes the calls that the step has decided on. Those to one endpoint go as one, as far as its kind allows:
// so the module counts them, and so does the endpoint.
func (n *Node) sendPendingCalls(workCtx context.Context) {
	var group []outgoing
	for remaining := n.pendingCalls; len(remaining) > 0; {
		group, remaining = together(remaining, n.batchSize(remaining[0].ep))
		go n.sendCalls(workCtx, group)
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

func (n *Node) sendCalls(workCtx context.Context, group []outgoing) {
	startedAt := time.Now()
	if len(group) > 1 {
		n.caller.doBulk(workCtx, group, func(c *call, r result) { n.events <- attemptResultEvent{c, r, time.Since(startedAt)} })
		return
	}
	r := n.caller.do(group[0].ctx, group[0].call)
	duration := time.Since(startedAt)
	if r.local {
		sleepContext(group[0].ctx, jitter(attemptRetryDelay)) // descriptors, say: room may come
	}
	n.events <- attemptResultEvent{group[0].call, r, duration}
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
	target, separateRoutes := n.directory.eps[ep], n.directory.apart(ep)
	n.abortConnecting(func(x logic.EndpointID) bool {
		return x == ep || !separateRoutes && n.directory.eps[x].dest == target.dest
	})
}

func (n *Node) probe(workCtx context.Context, ep logic.EndpointID) {
	addr := n.directory.eps[ep].addr
	go func() {
		outcome := logic.RefusedConn
		if req, err := probeRequest(addr); err == nil {
			outcome = n.caller.do(workCtx, &call{ep: ep, addr: addr, giveUp: probeTime, request: req, state: new(atomic.Int32)}).outcome
		}
		n.events <- probeResultEvent{ep, outcome}
	}()
}

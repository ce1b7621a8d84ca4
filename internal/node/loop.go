package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"rundeal/internal/clock"
	"rundeal/logic"
)

const (
	shutdownWorkTimeout = 3200 * time.Millisecond // after SIGTERM: sends end and requests are read by then
	shutdownTimeout     = 3400 * time.Millisecond // after SIGTERM: the process exits soon after this
	sweepInterval       = time.Second
	attemptRetryDelay   = 250 * time.Millisecond // before an attempt that failed locally is reported
	initialListTimeout  = 500 * time.Millisecond // for the endpoint list, after a takeover without a handover
	eventQueueSize      = 4096
)

// shutdownEvent starts the shutdown, or the handover to a successor. at is the time of SIGTERM.
type shutdownEvent struct{ at time.Time }

// activeMessage is a message that package logic knows and that has not ended, or whose last attempt is in flight.
type activeMessage struct {
	msg      *Message
	attempts int
	ended    bool  // the message has ended while an attempt is still in flight
	call     *call // the latest attempt, if it is in flight
	// abandoned is the attempt before call if it is in flight: its message stopped waiting, but its call goes on for others.
	abandoned *call
	log       attemptLog

	overdueReported bool // already reported as a violation
}

// startupTimer measures the stages of the startup for the "ready" log line.
type startupTimer struct {
	stageStart time.Time
	attrs      []any // log attributes: stage names and milliseconds
}

func (t *startupTimer) finishStage(name string) {
	now := time.Now()
	t.attrs = append(t.attrs, name, now.Sub(t.stageStart).Milliseconds())
	t.stageStart = now
}

// Node is one sender process. It connects package logic, which makes the decisions, with the clients, the journal, the
// endpoints, discovery and the platform.
type Node struct {
	cfg             *Config
	log             *slog.Logger
	journal         *Journal
	sender          *logic.Sender
	endpointClient  *endpointClient
	directory       *Directory
	discovery       *discoveryClient
	notices         *noticeQueue
	clients         *clientServer
	admin           *adminServer
	metrics         *metrics
	events          chan any
	ready           chan net.Addr // receives the listen address once clients are served
	reloadSignals   <-chan os.Signal
	loadConfig      func() (*Config, error)
	reloadRequested chan struct{} // holds one token while a reload without a signal is pending
	watchFromStart  bool          // watch discovery without waiting for package logic to ask
	wasStandby      bool          // another process owned the journal when this one started
	resumed         bool          // this process has continued from the journal, not from the state of another
	stateLock       *os.File      // lock on the state folder; nil while another process owns it
	listener        net.Listener  // for clients

	// The fields below are owned by the event loop.
	wakeTimer       *time.Timer // set by the SetTimer action
	wakeToken       uint64      // identifies that timer to package logic
	startedAt       time.Time   // start of the process
	logicEpoch      time.Time   // zero of the clock of package logic
	startup         startupTimer
	configReadAt    time.Time // when reading the configuration in use began; zero for the one of the start
	active          map[string]*activeMessage
	openCount       int                          // number of active messages that have not ended
	inFlight        map[*call]context.CancelFunc // attempts in flight, with what cancels them
	recentIDs       map[string]int64             // ended messages by id, with their deadlines on the persistent clock
	pendingEvents   []logic.Event                // for the next step
	shutdownAt      time.Time                    // time of SIGTERM; zero until then
	predecessor     *predecessor                 // nil if no process has handed over to this one, or it has ended
	successor       *successor                   // standby process that is ready to take over; nil if there is none
	pendingPuts     []putEvent                   // puts that the next step replies to
	pendingRecords  []record                     // journal records for the next step
	pendingCalls    []pendingCall                // calls decided in the current step
	clock           *clock.Persistent            // persistent clock, which continues across restarts
	stepTime        int64                        // start of the current step on the persistent clock
	guard           *protocolGuard
	delayedNotices  []delayedNotice // notices of ends that are not in the journal yet
	flushTimer      *time.Timer     // retries journal writes that failed
	journalFailures failureLog
}

// New creates a sender. It replays the journal unless another process owns it.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	settings := cfg.Deployment.Settings
	sender, err := logic.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	startup := startupTimer{stageStart: startedAt}
	stateLock, err := tryLock(cfg.StateDir)
	if err != nil && !isTransient(err) {
		return nil, err
	}
	startup.finishStage("lock")
	metrics := newMetrics(cfg)
	// Package logic asks for the endpoint list only in on-request mode; in either mode it asks again after a failed call.
	n := &Node{
		cfg:            cfg,
		log:            log,
		stateLock:      stateLock,
		watchFromStart: !settings.ListOnRequest,
		sender:         sender,
		directory:      NewDirectory(cfg),
		metrics:        metrics,
		endpointClient: newEndpointClient(
			toDuration(cfg.Deployment.ConnectTimeout),
			toDuration(settings.ConnIdleTimeout),
			settings.CallSlots,
			newSocketBudget(cfg),
			&metrics.messagesWritten,
		),
		events:          make(chan any, eventQueueSize),
		ready:           make(chan net.Addr, 1),
		reloadRequested: make(chan struct{}, 1),
		startedAt:       startedAt,
		logicEpoch:      time.Now(),
		startup:         startup,
		wakeTimer:       time.NewTimer(time.Hour),
		active:          map[string]*activeMessage{},
		inFlight:        map[*call]context.CancelFunc{},
		recentIDs:       map[string]int64{},
		clock:           clock.New(),
		flushTimer:      time.NewTimer(time.Hour),
		journalFailures: failureLog{log: log, operation: "journal"},
	}
	n.guard = newProtocolGuard(n)
	n.discovery = newDiscoveryClient(cfg.DiscoveryAddr, settings.Senders, log, n.events)
	n.discovery.pushed = !settings.ListOnRequest
	n.notices = newNoticeQueue(cfg.DiscoveryAddr, log, n.events)
	n.clients = newClientServer(cfg, log, n.events, metrics)
	n.admin = newAdminServer(log, n.clients, metrics)
	if stateLock != nil {
		if err := n.openJournal(); err != nil && !isTransient(err) {
			return nil, err
		}
	}
	return n, nil
}

func toDuration(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func toMicros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// openJournal opens and replays the journal. The caller must hold the state lock. A read error is returned, so that the
// caller can retry, until journalReadTimeout has passed since the start; after that the journal ends before the error.
func (n *Node) openJournal() error {
	lenient := time.Since(n.startedAt) > journalReadTimeout
	journal, err := OpenJournal(n.cfg.StateDir, int64(n.cfg.Limits.DiskMB*1e6), lenient)
	if err != nil {
		return err
	}
	if journal.skippedBytes > 0 {
		n.log.Warn("journal: the end cannot be read and is left out", "bytes", journal.skippedBytes,
			"kept", len(journal.entries), "aside", journalFile+damagedSuffix, "err", journal.saveDamagedErr)
	}
	n.journal = journal
	n.clock, n.clients.clock = journal.clock, journal.clock
	n.startup.finishStage("journal")
	return nil
}

// Run serves until ctx is cancelled. Then it hands over to a successor if there is one, or else shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	if n.cfg.AdminAddr != "" {
		operatorsDone, err := n.serveOperators(workCtx)
		if err != nil {
			return err
		}
		defer func() { cancelWork(); <-operatorsDone }()
	}
	go n.watchReloads(workCtx)
	if err := n.takeOwnership(ctx); err != nil {
		if ctx.Err() != nil { // cancelled before this process owned anything
			return nil
		}
		return err
	}
	defer n.stateLock.Close()
	defer n.journal.Close()
	takeover := n.resumed && n.wasStandby
	if takeover {
		n.discovery.noStartSpread = true
	}
	if n.watchFromStart || takeover {
		n.discovery.startWatch(workCtx)
	}
	if takeover || n.resumed && time.Since(n.startedAt) > n.maxStartWithoutList() {
		n.awaitInitialList(workCtx)
	}
	n.step(workCtx) // handle journaled messages before new ones: some may be due to end
	n.startup.finishStage("step")
	noticesCtx, stopNotices := context.WithCancel(workCtx)
	defer stopNotices()
	go n.notices.run(noticesCtx)
	if n.predecessor != nil {
		go n.predecessor.receive(workCtx, n.events)
	}
	if err := n.listenForClients(workCtx); err != nil {
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
		n.relayUntilIdle(workCtx)
	}
	return nil
}

// takeOwnership makes this process the owner of the journal and continues with the messages that have not ended: from
// the state of the predecessor if that hands over, or else from the journal alone.
func (n *Node) takeOwnership(ctx context.Context) error {
	var state *handoverState
	if n.stateLock == nil {
		var err error
		if state, err = n.acquireOwnership(ctx); err != nil {
			return err
		}
	}
	if n.journal == nil {
		if err := RetryTransient(ctx, n.log, "journal", n.openJournal); err != nil {
			return err
		}
		n.reloadAfterTakeover()
	}
	if state != nil {
		err := n.restoreHandover(state)
		if err == nil {
			return nil
		}
		n.log.Error("handed-over state does not match the journal; resuming from the journal alone", "err", err)
		if n.sender, err = logic.New(n.cfg.Deployment.Settings, n.cfg.Seed); err != nil {
			return err
		}
	}
	n.resumeFromJournal()
	return nil
}

// maxStartWithoutList is how long after its start a process may send by the list of its configuration. What the local
// discovery agent has counts as known from the start, and sends must end within the grace of a drain.
func (n *Node) maxStartWithoutList() time.Duration {
	return toDuration(n.cfg.Deployment.Settings.DrainGrace) / 2
}

// awaitInitialList waits up to initialListTimeout for the endpoint list if discovery is watched already. The list in the
// configuration may lack changes that count as known: after a long start, where a local agent has the list, and in a
// standby process, which replaces one that may have seen them.
func (n *Node) awaitInitialList(workCtx context.Context) {
	timeout := time.NewTimer(initialListTimeout)
	defer timeout.Stop()
	for n.discovery.watching && !n.discovery.receivedList {
		select {
		case ev := <-n.events:
			n.handleEvent(workCtx, ev)
		case <-timeout.C:
			return
		}
	}
}

// shutDownClients closes the clients' connections gracefully. clientsClosed is closed when none is left, timedOut when
// shutdownTimeout has passed since SIGTERM.
func (n *Node) shutDownClients(workCtx context.Context) (clientsClosed, timedOut <-chan struct{}) {
	closed, expired := make(chan struct{}), make(chan struct{})
	n.clients.stopReadingAt(n.shutdownAt.Add(shutdownWorkTimeout))
	n.clients.setPhase(stopping)
	graceCtx, cancel := context.WithDeadline(workCtx, n.shutdownAt.Add(shutdownTimeout))
	listener := n.listener
	if listener == nil { // clients were never served
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

// loop is the event loop. It owns the logic.Sender and all of the state: at most once per tick it takes the events that
// have arrived, steps the logic.Sender, writes the journal and performs the resulting actions.
//
// It returns true once a successor has taken over.
func (n *Node) loop(workCtx context.Context) bool {
	tick := max(toDuration(n.cfg.Deployment.Settings.Tick), time.Millisecond)
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	defer n.wakeTimer.Stop()
	defer n.flushTimer.Stop()
	var clientsClosed, timedOut <-chan struct{} // nil unless shutting down
	noClients := false                          // shutting down, and all clients' connections are closed
	for {
		if noClients && n.openCount == 0 && len(n.journal.entries) == 0 && n.journal.Flushed() {
			n.log.Info("stopped", "owed", 0)
			return false
		}
		select {
		case ev := <-n.events:
			n.handleEvent(workCtx, ev)
		case <-n.wakeTimer.C:
			n.pendingEvents = append(n.pendingEvents, logic.TimerFired{Token: n.wakeToken})
		case <-n.flushTimer.C:
			n.writeRecords(nil)
		case <-sweepTicker.C:
			n.endpointClient.closeUnusable()
			if len(n.directory.removedAt) > 0 {
				n.directory.purgeRemoved(time.Now(), n.calledEndpoints())
			}
			n.expireRecentIDs()
			n.guard.expireWaits()
			n.guard.checkOverdue()
			continue
		case <-clientsClosed:
			noClients, clientsClosed = true, nil
			continue
		case <-timedOut:
			// Messages with an attempt in flight stay in the journal as they are.
			n.writeRecords(nil)
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
			n.pendingEvents = append(n.pendingEvents, logic.Shutdown{
				TimeLeft: toMicros(max(shutdownWorkTimeout-time.Since(n.shutdownAt), 0)),
			})
			n.step(workCtx)
		}
		tickTimer.Reset(tick)
		<-tickTimer.C
	}
}

// resumeFromJournal passes the journaled messages to package logic, with the outcome of their attempts so far.
func (n *Node) resumeFromJournal() {
	n.resumed = true
	if n.cfg.KnownList.Generation != 0 || len(n.cfg.KnownList.Instances) > 0 {
		n.discovery.generation, n.discovery.hasList = n.cfg.KnownList.Generation, true
		n.pendingEvents = append(n.pendingEvents, logic.EndpointUpdate{
			Kind:    logic.UpdateCached,
			Entries: n.directory.Apply(n.cfg.KnownList, time.Now()),
		})
	}
	n.restoreHealth()
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
			continue
		}
		if _, known := n.cfg.Classes[e.Class]; !known {
			n.endUnknownClass(e)
			continue
		}
		n.active[e.ID] = &activeMessage{msg: e.Message, attempts: e.Attempts, log: attemptLog{receivedAt: time.Now()}}
		n.openCount++
		m := n.logicMessage(e.Message)
		m.History = logic.History{Accepted: true, Attempts: e.Attempts, MayHaveRun: e.MayHaveRun || e.InFlight}
		if m.History.MayHaveRun {
			m.History.Zone = e.FirstMayRunZone
		}
		if e.InFlight { // otherwise the outcome of a later attempt would be replayed as that of this one
			n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: e.ID, MayHaveRun: true})
		}
		n.pendingEvents = append(n.pendingEvents, m)
	}
}

// endUnknownClass ends a message whose class is no longer in the settings.
func (n *Node) endUnknownClass(e *Entry) {
	notice := Notice{ID: e.ID, State: noticeReturned}
	if e.MayHaveRun || e.InFlight {
		notice.State = noticeFailed
	}
	n.log.Warn("message of an unknown class", "id", e.ID, "class", e.Class, "end", notice.State)
	n.pendingRecords = append(n.pendingRecords, record{Op: opGiveUp, ID: e.ID, Notice: &notice})
	n.delayedNotices = append(n.delayedNotices, delayedNotice{notice, e.Deadline})
}

// logicMessage returns the event that passes a message to package logic. Its times are set at the step, by
// setMessageTimes.
func (n *Node) logicMessage(m *Message) logic.Message {
	event := logic.Message{
		ID:       m.ID,
		OrderKey: m.OrderKey,
		Dest:     m.Dest,
		Tenant:   -1,
		Class:    n.cfg.Classes[m.Class],
		Size:     bulkItemSize(m),
	}
	if t, ok := n.cfg.Tenants[m.Tenant]; ok && m.Tenant != "" {
		event.Tenant = t
	}
	return event
}

// handleEvent processes an event of the loop. Most become events of package logic for the next step.
func (n *Node) handleEvent(workCtx context.Context, ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.handlePut(ev)
	case attemptResultEvent:
		n.handleAttemptResult(ev)
	case probeResultEvent:
		n.pendingEvents = append(n.pendingEvents, logic.ProbeResult{Endpoint: ev.Endpoint, Outcome: ev.Outcome})
	case listEvent:
		n.handleList(ev)
	case noticesConfirmedEvent:
		for _, id := range ev.ids {
			n.pendingRecords = append(n.pendingRecords, record{Op: opNoticeConfirmed, ID: id})
		}
		records := n.pendingRecords
		n.pendingRecords = nil
		n.writeRecords(records) // immediately: entries that are removed make room in the journal
	case reloadEvent:
		n.applyReload(workCtx, ev)
	case shutdownEvent:
		n.shutdownAt = ev.at
	case listenerEvent:
		n.serveClients(workCtx, ev.ln)
	case predecessorEvent:
		n.handlePredecessor(ev)
	case successorEvent:
		n.updateSuccessor(ev)
	}
}

// handlePut queues a new message for the next step, rejects it, or confirms one that was accepted before.
func (n *Node) handlePut(ev putEvent) {
	id := ev.msg.ID
	_, recentlyEnded := n.recentIDs[id]
	if n.active[id] != nil || n.journal.Entry(id) != nil || recentlyEnded {
		if n.isPendingPut(id) {
			n.pendingPuts = append(n.pendingPuts, ev) // gets the same reply as the first put
			return
		}
		ev.reply <- replyOK
		return
	}
	if reply := n.admissionReply(ev.msg); reply != "" {
		n.guard.checkReject(id)
		n.metrics.countResult(ev.msg.Class, reply)
		ev.reply <- reply
		return
	}
	n.active[id] = &activeMessage{msg: ev.msg, log: attemptLog{receivedAt: time.Now()}}
	n.openCount++
	n.pendingPuts = append(n.pendingPuts, ev)
	n.pendingEvents = append(n.pendingEvents, n.logicMessage(ev.msg))
}

// admissionReply returns the reply to a message that is rejected without asking package logic, or "" to admit it.
func (n *Node) admissionReply(m *Message) string {
	maxOpen := n.cfg.Deployment.Settings.MaxOpen
	switch {
	case !n.directory.hasDest(m.Dest) && n.discovery.receivedList:
		n.metrics.rejected.inc(string(rejectedUnknownDest))
		return replyUnknownDestination
	case !n.directory.hasDest(m.Dest): // no list from discovery yet: the destination may exist
		n.metrics.rejected.inc(string(rejectedNoList))
		return busyReply(logic.Second)
	case maxOpen > 0 && n.openCount >= maxOpen:
		n.metrics.rejected.inc(string(rejectedTooManyOpen))
		return busyReply(0)
	case !n.journal.HasRoom(len(m.Body)):
		n.metrics.rejected.inc(string(rejectedJournalFull))
		return busyReply(0)
	}
	return ""
}

// isPendingPut reports whether the message arrived since the last step, so that its client still waits for the reply.
func (n *Node) isPendingPut(id string) bool {
	for _, p := range n.pendingPuts {
		if p.msg.ID == id {
			return true
		}
	}
	return false
}

// busyReply returns the -BUSY reply, with the time after which to retry if there is one, rounded up to milliseconds.
func busyReply(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

// handleList applies a response of discovery. Calls that are still connecting to endpoints which are no longer ready
// are aborted, and idle connections to those endpoints are closed.
func (n *Node) handleList(ev listEvent) {
	if !n.discovery.accept(ev) {
		return
	}
	if ev.err != nil {
		n.pendingEvents = append(n.pendingEvents, logic.EndpointUpdate{
			Kind:        logic.UpdateFailed,
			RequestTime: toMicros(ev.elapsed),
		})
		return
	}
	kind := logic.UpdateDelta
	if ev.list.Reset {
		kind = logic.UpdateFull
	}
	entries := n.directory.Apply(ev.list, time.Now())
	if ev.list.Reset || len(entries) > 0 { // not logged for watches that end without changes
		n.log.Info("list", "generation", ev.list.Generation, "whole", ev.list.Reset, "entries", len(ev.list.Instances))
	}
	ready := make(map[logic.EndpointID]bool, len(entries))
	for _, entry := range entries {
		ready[entry.Endpoint] = entry.State == logic.Ready
	}
	n.abortConnecting(func(ep logic.EndpointID) bool {
		isReady, listed := ready[ep]
		return !isReady && (listed || ev.list.Reset)
	})
	for ep, isReady := range ready {
		if !isReady {
			n.endpointClient.closeIdleTo(ep)
		}
	}
	if ev.list.Reset { // a full list omits removed endpoints, so they have no entry here
		for id := range n.directory.removedAt {
			n.endpointClient.closeIdleTo(id)
		}
	}
	n.pendingEvents = append(n.pendingEvents, logic.EndpointUpdate{Kind: kind, Entries: entries})
}

// jitter returns a random duration from d/2 to 3d/2, so that a failure that hits many senders at once is not retried by
// all of them at once.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }

// sleepContext waits for d or until ctx is done.
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

// endMessage ends a message. Its id is remembered until its deadline, to recognize repeated puts.
func (n *Node) endMessage(id string, m *activeMessage) {
	m.ended = true
	n.openCount--
	n.recentIDs[id] = m.msg.Deadline
	if !m.hasAttemptInFlight() {
		delete(n.active, id)
	}
}

// expireRecentIDs forgets the ids of ended messages whose deadline has passed.
func (n *Node) expireRecentIDs() {
	now := n.clock.Now()
	for id, until := range n.recentIDs {
		if now > until {
			delete(n.recentIDs, id)
		}
	}
}

// setMessageTimes sets the times of new messages relative to the current step, which is what package logic counts from.
// The messages may have waited for the step, for example for the endpoint list at startup.
func (n *Node) setMessageTimes(events []logic.Event) {
	for i, ev := range events {
		message, ok := ev.(logic.Message)
		if !ok {
			continue
		}
		if m := n.active[message.ID]; m != nil {
			message.TimeLeft = logic.Micros(m.msg.Deadline - n.stepTime)
		}
		if message.History.MayHaveRun {
			message.History.Age = logic.Micros(max(n.stepTime-n.journal.Entry(message.ID).FirstMayRunAt, 0))
		}
		events[i] = message
	}
}

// step lets package logic decide on the pending events, writes the journal, replies to clients and then performs the
// actions decided, in that order: nothing takes effect before it is in the journal.
func (n *Node) step(workCtx context.Context) {
	events := n.pendingEvents
	n.pendingEvents = nil
	n.stepTime = n.clock.Now()
	n.setMessageTimes(events)
	logicNow := toMicros(time.Since(n.logicEpoch))
	actions := n.sender.Step(logicNow, events)
	replies := n.immediateReplies(actions)
	for i, p := range n.pendingPuts {
		if replies[p.msg.ID] == "" && !n.isRepeatedPut(i) {
			n.pendingRecords = append(n.pendingRecords, record{Op: opAccept, Entry: &Entry{Message: p.msg}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Send:
			if m := n.active[a.ID]; m != nil && m.call != nil { // a second copy: the journal has the state of the latest attempt
				n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: a.ID, MayHaveRun: true})
			}
			n.pendingRecords = append(n.pendingRecords, record{
				Op:   opSend,
				ID:   a.ID,
				At:   n.stepTime,
				Zone: n.directory.endpoints[a.Endpoint].zone,
			})
		case logic.RecordHealth:
			n.recordHealth(a.Health, n.stepTime-int64(logicNow))
		case logic.Reject, logic.Fail:
			notice := noticeFor(a)
			if replies[notice.ID] == "" && n.journal.Entry(notice.ID) != nil {
				n.pendingRecords = append(n.pendingRecords, record{Op: opGiveUp, ID: notice.ID, Notice: &notice})
			}
		}
	}
	records := n.pendingRecords
	n.pendingRecords = nil
	err := n.writeRecords(records)
	for i, p := range n.pendingPuts {
		reply := replies[p.msg.ID]
		switch {
		case reply != "":
			n.metrics.rejected.inc(string(rejectedByLogic))
			n.guard.checkReject(p.msg.ID)
		case err != nil: // not in the journal, so not accepted
			n.metrics.rejected.inc(string(rejectedJournalFailed))
			reply = notJournaledReply(err)
			n.dropMessage(p.msg.ID)
			n.pendingEvents = append(n.pendingEvents, logic.ClientGone{ID: p.msg.ID})
		default:
			reply = replyOK
		}
		if !n.isRepeatedPut(i) {
			n.metrics.countResult(p.msg.Class, reply)
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

// isRepeatedPut reports whether an earlier pending put has the same message id as the i-th.
func (n *Node) isRepeatedPut(i int) bool {
	return slices.ContainsFunc(n.pendingPuts[:i], func(x putEvent) bool { return x.msg.ID == n.pendingPuts[i].msg.ID })
}

// updateGauges updates the gauges that operators read.
func (n *Node) updateGauges() {
	n.metrics.openMessages.Store(int64(n.openCount))
	n.metrics.listedEndpoints.Store(int64(n.directory.listedCount()))
	n.metrics.outOfRotation.Store(int64(n.sender.OutOfRotation()))
	n.metrics.knownOutages.Store(int64(len(n.journal.health)))
}

// immediateReplies returns the replies, by message id, to puts that package logic ends in the step in which they
// arrived. Their clients get the result as the reply to the put instead of a notice.
func (n *Node) immediateReplies(actions []logic.Action) map[string]string {
	replies := map[string]string{}
	if len(n.pendingPuts) == 0 {
		return replies
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Reject:
			if n.isPendingPut(a.ID) {
				replies[a.ID] = busyReply(a.RetryAfter)
			}
		case logic.Fail:
			if n.isPendingPut(a.ID) {
				replies[a.ID] = replyFailed
			}
		}
	}
	return replies
}

// noticeFor returns the notice for a Reject or Fail action.
func noticeFor(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Reject:
		return Notice{ID: a.ID, State: noticeReturned, AfterMS: int64((a.RetryAfter + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: noticeFailed}
	}
	return Notice{}
}

// dropMessage removes a message that was not accepted.
func (n *Node) dropMessage(id string) {
	if m := n.active[id]; m != nil && !m.ended {
		n.openCount--
		delete(n.active, id)
	}
}

// perform carries out an action decided by package logic. replies are those of immediateReplies; written tells whether
// the records of the step are in the journal.
func (n *Node) perform(workCtx context.Context, a logic.Action, replies map[string]string, written bool) {
	switch a := a.(type) {
	case logic.Send:
		n.startAttempt(workCtx, a, written)
	case logic.Cancel:
		if m := n.active[a.ID]; m != nil {
			n.cancelAttempt(m, a.Attempt, false)
		}
	case logic.Reject, logic.Fail:
		notice := noticeFor(a)
		if m := n.active[notice.ID]; m != nil && !m.ended {
			n.logAttempts(m, notice.State)
		}
		if replies[notice.ID] != "" {
			n.dropMessage(notice.ID)
			return
		}
		if m := n.active[notice.ID]; m != nil && !m.ended {
			n.metrics.countResult(m.msg.Class, notice.State)
			n.guard.checkEnd(m, notice)
			n.endMessage(notice.ID, m)
			n.queueNotice(notice, m.msg.Deadline)
		}
	case logic.SetTimer:
		n.wakeTimer.Reset(toDuration(a.Wait)) // replaces the previous timer, which was set for the same time or later
		n.wakeToken = a.Token
	case logic.Probe:
		n.probe(workCtx, a.Endpoint)
	case logic.ReleaseConns:
		n.endpointClient.closeIdleTo(a.Endpoint)
	case logic.Subscribe:
		n.discovery.startWatch(workCtx)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

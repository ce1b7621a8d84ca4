package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Options configures a run.
type Options struct {
	Program string // path of a sender built with package faultinject
	Dir     string // for the state folders and logs of the senders
}

// Result is the result of a run.
type Result struct {
	Scenario      *Scenario
	Counts        Counts
	Violations    []Violation
	MaxTimerDelay time.Duration // how late timers of this process fired at most, a measure of the machine's load
}

// run is a run in progress.
type run struct {
	scenario     *Scenario
	options      Options
	checker      *Checker
	registry     *registry
	initialList  listResponse
	destinations []*destination
	senders      []*sender

	mu            sync.Mutex
	endpoints     [][]*endpoint // by destination: those on the list that are not retired
	allEndpoints  []*endpoint
	err           error
	maxTimerDelay time.Duration
}

func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.Join(r.err, err)
}

// faultActive reports whether a fault of one of the kinds affects a sender now or did within the last second.
func (r *run) faultActive(sender int, kinds ...FaultKind) bool {
	now := r.checker.elapsed()
	return slices.ContainsFunc(r.scenario.Faults, func(fault Fault) bool {
		return slices.Contains(kinds, fault.Kind) && fault.Sender == sender &&
			fault.From <= now && now < fault.To+time.Second
	})
}

// Run runs a scenario to its end and checks the rules.
func Run(ctx context.Context, sc *Scenario, opt Options) (*Result, error) {
	r := &run{scenario: sc, options: opt, registry: newRegistry()}
	r.checker = newChecker(sc, time.Now())
	defer r.closeAll()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	r.checker.start = time.Now()
	for _, s := range r.senders {
		if err := s.writePlan(); err != nil {
			return nil, err
		}
	}
	trafficCtx, stopTraffic := context.WithTimeout(ctx, sc.Duration-r.checker.elapsed())
	defer stopTraffic()
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	var monitor sync.WaitGroup
	monitor.Go(func() { r.monitor(monitorCtx) })
	var activity sync.WaitGroup
	for _, s := range r.senders {
		c := newClients(s)
		activity.Go(func() {
			s.startFirst()
			c.run(trafficCtx)
		})
	}
	for _, fault := range sc.Faults {
		activity.Go(func() {
			if sleep(ctx, fault.From-r.checker.elapsed()) {
				r.applyFault(ctx, fault)
			}
		})
	}
	activity.Wait()
	sleep(ctx, r.finalWait())
	for _, s := range r.senders {
		if s.currentProcess() == nil { // it could not be started, which has been recorded as an error of the run
			continue
		}
		if violation := s.currentProcess().violations(); violation != "" {
			r.checker.report(RuleOwnCheck, s.number, "%s", strings.TrimSpace(violation))
		}
		s.stop(s.currentProcess(), false)
	}
	stopMonitor()
	monitor.Wait()
	r.scanLogs()
	counts, violations := r.checker.finish()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Result{sc, counts, violations, r.maxTimerDelay}, errors.Join(ctx.Err(), r.err)
}

// finalWait returns how long after the traffic ends the outcome of a message may still be due.
func (r *run) finalWait() (longest time.Duration) {
	for _, c := range r.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + outcomeSlack + 2*schedulingSlack
}

// setUp creates the simulated peers and the folders of the senders.
func (r *run) setUp() error {
	trafficPerDestination := r.scenario.Rate * float64(r.scenario.Senders) / float64(r.scenario.Destinations)
	for i := range r.scenario.Destinations {
		d := &destination{number: i, capacity: trafficPerDestination * r.scenario.Headroom,
			informed: map[int]bool{}, told: map[int]bool{}}
		r.destinations = append(r.destinations, d)
		r.endpoints = append(r.endpoints, nil)
		for range r.scenario.EndpointsPerDestination {
			if _, err := r.addEndpoint(d); err != nil {
				return err
			}
		}
	}
	r.registry.initial = len(r.registry.changes)
	r.initialList, _ = r.registry.changesSince(-1)
	for i := range r.scenario.Senders {
		listenAddr, err := freeAddress()
		if err != nil {
			return err
		}
		agent, err := newDiscoveryAgent(i, r.checker, r.registry)
		if err != nil {
			return err
		}
		s := &sender{
			number:     i,
			run:        r,
			dir:        filepath.Join(r.options.Dir, fmt.Sprint("n", i)),
			listenAddr: listenAddr,
			agent:      agent,
			started:    make(chan struct{}),
		}
		r.senders = append(r.senders, s)
		if err := s.prepare(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) addEndpoint(d *destination) (*endpoint, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := 0
	for _, e := range r.allEndpoints {
		if e.dest == d {
			number++
		}
	}
	e, err := newEndpoint(r.checker, d, number, r.scenario.Seed)
	if err != nil {
		return nil, err
	}
	r.allEndpoints = append(r.allEndpoints, e)
	r.endpoints[d.number] = append(r.endpoints[d.number], e)
	r.registry.add(listEntry(e))
	return e, nil
}

// closeAll kills all processes and closes all servers.
func (r *run) closeAll() {
	for _, s := range r.senders {
		if p := s.currentProcess(); p != nil {
			s.expectEnd(p)
			p.cmd.Process.Kill()
			<-p.done
		}
		s.agent.close()
	}
	for _, e := range r.allEndpoints {
		e.close()
	}
}

// monitor periodically records which retired endpoints each sender should know of, and measures how late timers fire.
func (r *run) monitor(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for {
		start := time.Now()
		if !sleep(ctx, interval) {
			return
		}
		delay := time.Since(start) - interval
		r.mu.Lock()
		r.maxTimerDelay = max(r.maxTimerDelay, delay)
		r.mu.Unlock()
		for _, s := range r.senders {
			s.mu.Lock()
			movedAt := s.discoveryMovedAt
			s.mu.Unlock()
			s.agent.recordOverdue(movedAt)
		}
	}
}

// applyFault applies a fault for its duration. Faults in system calls and clocks are not handled here: they are in the
// plans of the processes.
func (r *run) applyFault(ctx context.Context, fault Fault) {
	duration := fault.To - fault.From
	if slices.Contains(processFaults, fault.Kind) {
		s := r.senders[fault.Sender]
		if <-s.started; s.currentProcess() == nil {
			return
		}
	}
	switch fault.Kind {
	case Kill:
		r.senders[fault.Sender].restart(false)
	case KillTwice:
		r.senders[fault.Sender].restart(false)
		sleep(ctx, 200*time.Millisecond)
		r.senders[fault.Sender].restart(false)
	case Stop:
		r.senders[fault.Sender].restart(true)
	case SignalSeries:
		r.senders[fault.Sender].stopWithSignalSeries(ctx)
	case FleetKill:
		r.killFleet(r.scenario.Seed)
	case BusyConnections:
		c := newClients(r.senders[fault.Sender])
		c.prefix = "busy-"
		c.useConnections(ctx, time.Now().Add(duration))
	case ClientCrowd:
		crowdCtx, stop := context.WithTimeout(ctx, duration)
		defer stop()
		newClients(r.senders[fault.Sender]).crowd(crowdCtx)
	case Upgrade:
		r.senders[fault.Sender].upgrade()
	case Reload:
		r.senders[fault.Sender].reload()
	case OperatorDrain:
		r.senders[fault.Sender].drain(duration)
	case ConnectionsRefused, Unresponsive, Unavailable, ServerErrors:
		r.takeDown(ctx, fault)
	case ConnectionResets, MalformedResponses, RetryAfterResponses, SlowResponses, EarlyIdleClose:
		if e := r.faultEndpoint(fault); e != nil {
			e.setFault(fault.Kind)
			sleep(ctx, duration)
			e.setFault("")
		}
	case SilentEndpoint:
		if e := r.faultEndpoint(fault); e != nil {
			e.setFault(Unresponsive)
			sleep(ctx, duration)
			e.setFault("")
		}
	case LargeBursts, OrderedPairs:
		r.submitExtra(ctx, fault)
	case EndpointDrain, EndpointReplacement:
		r.replaceEndpoint(ctx, fault)
	case DiscoveryDown, DiscoverySlow:
		agent := r.senders[fault.Sender].agent
		agent.setFault(fault.Kind)
		sleep(ctx, duration)
		agent.setFault("")
	case IncompleteRequests, CommandFloods:
		c := newClients(r.senders[fault.Sender])
		var requests sync.WaitGroup
		for range 5 {
			if fault.Kind == CommandFloods {
				requests.Go(c.flood)
			} else {
				requests.Go(c.sendIncompleteRequest)
			}
			sleep(ctx, duration/5)
		}
		requests.Wait()
	}
}

// submitExtra submits the messages of LargeBursts or OrderedPairs until the end of the fault.
func (r *run) submitExtra(ctx context.Context, fault Fault) {
	const interval = 250 * time.Millisecond
	c := newClients(r.senders[fault.Sender])
	c.prefix = fmt.Sprintf("%s-%d-", fault.Kind, fault.From.Milliseconds())
	for end := time.Now().Add(fault.To - fault.From); time.Now().Before(end); {
		if fault.Kind == LargeBursts {
			c.submitLargeBurst()
		} else {
			c.submitOrderedPair()
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// faultEndpoint returns the endpoint that a fault affects, or nil if its destination has none.
func (r *run) faultEndpoint(fault Fault) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := r.endpoints[fault.Destination]
	if len(listed) == 0 {
		return nil
	}
	return listed[fault.Endpoint%len(listed)]
}

// takeDown applies a fault to all endpoints of a destination for a while.
func (r *run) takeDown(ctx context.Context, fault Fault) {
	d := r.destinations[fault.Destination]
	r.mu.Lock()
	listed := slices.Clone(r.endpoints[fault.Destination])
	r.mu.Unlock()
	d.beginOutage()
	for _, e := range listed {
		e.setFault(fault.Kind)
	}
	sleep(ctx, fault.To-fault.From)
	if fault.Kind == ConnectionsRefused { // failed connection attempts are not recorded: assume that every sender had one
		d.mu.Lock()
		for i := range r.senders {
			d.informed[i] = true
		}
		d.mu.Unlock()
	}
	d.endOutage(r.checker)
	for _, e := range listed {
		e.setFault("")
	}
}

// replaceEndpoint adds a new endpoint to the list and removes an old one, which drains first if the fault is
// EndpointDrain.
func (r *run) replaceEndpoint(ctx context.Context, fault Fault) {
	old := r.faultEndpoint(fault)
	if old == nil {
		return
	}
	if _, err := r.addEndpoint(old.dest); err != nil {
		r.addError(err)
		return
	}
	sleep(ctx, 300*time.Millisecond)
	r.mu.Lock()
	r.endpoints[fault.Destination] = slices.DeleteFunc(r.endpoints[fault.Destination], func(e *endpoint) bool {
		return e == old
	})
	r.mu.Unlock()
	if fault.Kind == EndpointDrain {
		r.registry.retire(old, "draining")
		sleep(ctx, fault.To-fault.From)
	}
	r.registry.retire(old, "removed")
}

// scanLogs reports violations of the senders' internal checks that are in their logs.
func (r *run) scanLogs() {
	for _, s := range r.senders {
		text, err := os.ReadFile(filepath.Join(s.dir, "log"))
		if err != nil {
			r.addError(err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "msg=violation") {
				r.checker.report(RuleOwnCheck, s.number, "%s", strings.TrimSpace(line))
			}
		}
	}
}

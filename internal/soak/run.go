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

// Options say how to play a scenario.
type Options struct {
	Program string // a sender built with package faultinject
	Dir     string // for state and logs
}

// Result is what a run came to.
type Result struct {
	Scenario      *Scenario
	Counts        Counts
	Violations    []Violation
	MaxTimerDelay time.Duration // the longest that a timer of this side was late
}

// run is a scenario under way.
type run struct {
	scenario     *Scenario
	options      Options
	checker      *Checker
	registry     *registry
	initialList  hostList
	destinations []*destination
	senders      []*sender

	mu            sync.Mutex
	endpoints     [][]*endpoint // by destination: those on the list
	allEndpoints  []*endpoint
	err           error
	maxTimerDelay time.Duration
}

func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.Join(r.err, err)
}

// troubled says whether a trouble of one of the kinds touches a sender now or did just before.
func (r *run) faultActive(sender int, kinds ...FaultKind) bool {
	now := r.checker.elapsed()
	return slices.ContainsFunc(r.scenario.Faults, func(t Fault) bool {
		return slices.Contains(kinds, t.Kind) && t.Sender == sender && t.From <= now && now < t.To+time.Second
	})
}

// Play plays a scenario to its end.
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
	traffic, stop := context.WithTimeout(ctx, sc.Duration-r.checker.elapsed())
	defer stop()
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	var monitor sync.WaitGroup
	monitor.Go(func() { r.monitor(monitorCtx) })
	var activity sync.WaitGroup
	for _, s := range r.senders {
		c := newClients(s)
		activity.Go(func() {
			s.startFirst()
			c.run(traffic)
		})
	}
	for _, t := range sc.Faults {
		activity.Go(func() {
			if sleep(ctx, t.From-r.checker.elapsed()) {
				r.applyFault(ctx, t)
			}
		})
	}
	activity.Wait()
	sleep(ctx, r.finalWait())
	for _, s := range r.senders {
		if s.currentProcess() == nil { // it could not be started, which is an error of the run
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

// drainTime is how long messages may still be owed their end.
func (r *run) finalWait() (longest time.Duration) {
	for _, c := range r.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + outcomeSlack + 2*schedulingSlack
}

// open makes the peers and the folders of the senders.
func (r *run) setUp() error {
	trafficPerDestination := r.scenario.Rate * float64(r.scenario.Senders) / float64(r.scenario.Destinations)
	for i := range r.scenario.Destinations {
		d := &destination{number: i, capacity: trafficPerDestination * r.scenario.Headroom, informed: map[int]bool{}}
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
		s := &sender{number: i, run: r, dir: filepath.Join(r.options.Dir, fmt.Sprint("n", i)), listenAddr: listenAddr, agent: agent, started: make(chan struct{})}
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

// closeAll ends what is left of a run.
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

// watch has what counts as told noted in time, and sees how late this side's timers are.
func (r *run) monitor(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for {
		at := time.Now()
		if !sleep(ctx, interval) {
			return
		}
		delay := time.Since(at) - interval
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

// happen plays a trouble. Those of the system calls are in the plans of the processes.
func (r *run) applyFault(ctx context.Context, t Fault) {
	duration := t.To - t.From
	if slices.Contains(processFaults, t.Kind) {
		s := r.senders[t.Sender]
		if <-s.started; s.currentProcess() == nil {
			return
		}
	}
	switch t.Kind {
	case Kill:
		r.senders[t.Sender].restart(false)
	case KillTwice:
		r.senders[t.Sender].restart(false)
		sleep(ctx, 200*time.Millisecond)
		r.senders[t.Sender].restart(false)
	case Stop:
		r.senders[t.Sender].restart(true)
	case Upgrade:
		r.senders[t.Sender].upgrade()
	case Reload:
		r.senders[t.Sender].reload()
	case OperatorDrain:
		r.senders[t.Sender].drain(duration)
	case ConnectionsRefused, Unresponsive, Unavailable, ServerErrors:
		r.takeDown(ctx, t)
	case ConnectionResets, MalformedResponses, RetryAfter, SlowResponses, EarlyIdleClose:
		if e := r.faultEndpoint(t); e != nil {
			e.setFault(t.Kind)
			sleep(ctx, duration)
			e.setFault("")
		}
	case EndpointDrain, EndpointReplacement:
		r.replaceEndpoint(ctx, t)
	case DiscoveryDown, DiscoverySlow:
		agent := r.senders[t.Sender].agent
		agent.setFault(t.Kind)
		sleep(ctx, duration)
		agent.setFault("")
	case IncompleteRequests, CommandFloods:
		c := newClients(r.senders[t.Sender])
		var requests sync.WaitGroup
		for range 5 {
			if t.Kind == CommandFloods {
				requests.Go(c.flood)
			} else {
				requests.Go(c.sendIncompleteRequest)
			}
			sleep(ctx, duration/5)
		}
		requests.Wait()
	}
}

// endpoint is the one that a trouble names, of those on the list.
func (r *run) faultEndpoint(t Fault) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := r.endpoints[t.Destination]
	if len(listed) == 0 {
		return nil
	}
	return listed[t.Endpoint%len(listed)]
}

// fails takes a whole destination out for a while.
func (r *run) takeDown(ctx context.Context, t Fault) {
	d := r.destinations[t.Destination]
	r.mu.Lock()
	listed := slices.Clone(r.endpoints[t.Destination])
	r.mu.Unlock()
	d.beginOutage()
	for _, e := range listed {
		e.setFault(t.Kind)
	}
	sleep(ctx, t.To-t.From)
	if t.Kind == ConnectionsRefused { // calls that find no listener tell nothing here
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

// replace puts a new endpoint on the list and lets an old one go: it drains first, or is taken off at once.
func (r *run) replaceEndpoint(ctx context.Context, t Fault) {
	old := r.faultEndpoint(t)
	if old == nil {
		return
	}
	if _, err := r.addEndpoint(old.dest); err != nil {
		r.addError(err)
		return
	}
	sleep(ctx, 300*time.Millisecond)
	r.mu.Lock()
	r.endpoints[t.Destination] = slices.DeleteFunc(r.endpoints[t.Destination], func(e *endpoint) bool { return e == old })
	r.mu.Unlock()
	if t.Kind == EndpointDrain {
		r.registry.retire(old, "draining")
		sleep(ctx, t.To-t.From)
	}
	r.registry.retire(old, "removed")
}

// scanLogs looks for what a sender says of its own checks.
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

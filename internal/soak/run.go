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
	Scenario   *Scenario
	Counts     Counts
	Violations []Violation
	Lateness   time.Duration // the longest that a timer of this side was late
}

// run is a scenario under way.
type run struct {
	sc           *Scenario
	opt          Options
	ledger       *Ledger
	registry     *registry
	known        hostList
	destinations []*destination
	senders      []*sender

	mu        sync.Mutex
	endpoints [][]*endpoint // by destination: those on the list
	all       []*endpoint
	err       error
	lateness  time.Duration
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.Join(r.err, err)
}

// troubled says whether a trouble of one of the kinds touches a sender now or did just before.
func (r *run) troubled(sender int, kinds ...Kind) bool {
	now := r.ledger.now()
	return slices.ContainsFunc(r.sc.Troubles, func(t Trouble) bool {
		return slices.Contains(kinds, t.Kind) && t.Sender == sender && t.From <= now && now < t.To+time.Second
	})
}

// Play plays a scenario to its end.
func Play(ctx context.Context, sc *Scenario, opt Options) (*Result, error) {
	r := &run{sc: sc, opt: opt, registry: newRegistry()}
	r.ledger = newLedger(sc, time.Now())
	defer r.closeAll()
	if err := r.open(); err != nil {
		return nil, err
	}
	r.ledger.began = time.Now()
	for _, s := range r.senders {
		if err := s.writePlan(); err != nil {
			return nil, err
		}
	}
	traffic, stop := context.WithTimeout(ctx, sc.Length-r.ledger.now())
	defer stop()
	watch, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var all sync.WaitGroup
	all.Go(func() { r.watch(watch) })
	var busy sync.WaitGroup
	for _, s := range r.senders {
		c := newClients(s)
		busy.Go(func() {
			s.begin()
			c.play(traffic)
		})
	}
	for _, t := range sc.Troubles {
		busy.Go(func() {
			if rest(ctx, t.From-r.ledger.now()) {
				r.happen(ctx, t)
			}
		})
	}
	busy.Wait()
	rest(ctx, r.drainTime())
	for _, s := range r.senders {
		if s.process() == nil { // it could not be started, which is an error of the run
			continue
		}
		if said := s.process().violations(); said != "" {
			r.ledger.broken(RuleInside, s.number, "%s", strings.TrimSpace(said))
		}
		s.end(s.process(), false)
	}
	unwatch()
	all.Wait()
	r.scanLogs()
	counts, violations := r.ledger.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Result{sc, counts, violations, r.lateness}, errors.Join(ctx.Err(), r.err)
}

// drainTime is how long messages may still be owed their end.
func (r *run) drainTime() (span time.Duration) {
	for _, c := range r.sc.Classes {
		span = max(span, c.Deadline)
	}
	return span + answerSlack + 2*machineSlack
}

// open makes the peers and the folders of the senders.
func (r *run) open() error {
	share := r.sc.Rate * float64(r.sc.Senders) / float64(r.sc.Destinations)
	for i := range r.sc.Destinations {
		d := &destination{number: i, capacity: share * r.sc.Headroom, knew: map[int]bool{}}
		r.destinations = append(r.destinations, d)
		r.endpoints = append(r.endpoints, nil)
		for range r.sc.Endpoints {
			if _, err := r.addEndpoint(d); err != nil {
				return err
			}
		}
	}
	r.registry.first = len(r.registry.changes)
	r.known, _ = r.registry.since(-1)
	for i := range r.sc.Senders {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		a, err := newAgent(i, r.ledger, r.registry)
		if err != nil {
			return err
		}
		s := &sender{number: i, run: r, dir: filepath.Join(r.opt.Dir, fmt.Sprint("n", i)), listen: listen, agent: a, begun: make(chan struct{})}
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
	for _, e := range r.all {
		if e.dest == d {
			number++
		}
	}
	e, err := newEndpoint(r.ledger, d, number, r.sc.Seed)
	if err != nil {
		return nil, err
	}
	r.all = append(r.all, e)
	r.endpoints[d.number] = append(r.endpoints[d.number], e)
	r.registry.add(lineOf(e))
	return e, nil
}

// closeAll ends what is left of a run.
func (r *run) closeAll() {
	for _, s := range r.senders {
		if p := s.process(); p != nil {
			s.want(p)
			p.cmd.Process.Kill()
			<-p.done
		}
		s.agent.close()
	}
	for _, e := range r.all {
		e.close()
	}
}

// watch has what counts as told noted in time, and sees how late this side's timers are.
func (r *run) watch(ctx context.Context) {
	const every = 50 * time.Millisecond
	for {
		at := time.Now()
		if !rest(ctx, every) {
			return
		}
		late := time.Since(at) - every
		r.mu.Lock()
		r.lateness = max(r.lateness, late)
		r.mu.Unlock()
		for _, s := range r.senders {
			s.mu.Lock()
			moved := s.moved
			s.mu.Unlock()
			s.agent.counts(moved)
		}
	}
}

// happen plays a trouble. Those of the system calls are in the plans of the processes.
func (r *run) happen(ctx context.Context, t Trouble) {
	span := t.To - t.From
	if slices.Contains(processKinds, t.Kind) {
		s := r.senders[t.Sender]
		if <-s.begun; s.process() == nil {
			return
		}
	}
	switch t.Kind {
	case Kill:
		r.senders[t.Sender].restart(false)
	case KillTwice:
		r.senders[t.Sender].restart(false)
		rest(ctx, 200*time.Millisecond)
		r.senders[t.Sender].restart(false)
	case Stop:
		r.senders[t.Sender].restart(true)
	case Upgrade:
		r.senders[t.Sender].upgrade()
	case Reload:
		r.senders[t.Sender].reload()
	case DrainAdmin:
		r.senders[t.Sender].drain(span)
	case Refusing, Silent, Shut, Failing:
		r.fails(ctx, t)
	case Resets, Spoilt, Waits, Slow, IdleClose:
		if e := r.endpoint(t); e != nil {
			e.turn(t.Kind)
			rest(ctx, span)
			e.turn("")
		}
	case Drain, Replace:
		r.replace(ctx, t)
	case DiscoveryDown, DiscoverySlow:
		a := r.senders[t.Sender].agent
		a.turn(t.Kind)
		rest(ctx, span)
		a.turn("")
	case HalfRequests, Floods:
		c := newClients(r.senders[t.Sender])
		var all sync.WaitGroup
		for range 5 {
			if t.Kind == Floods {
				all.Go(c.flood)
			} else {
				all.Go(c.halfRequest)
			}
			rest(ctx, span/5)
		}
		all.Wait()
	}
}

// endpoint is the one that a trouble names, of those on the list.
func (r *run) endpoint(t Trouble) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.endpoints[t.Destination]
	if len(list) == 0 {
		return nil
	}
	return list[t.Endpoint%len(list)]
}

// fails takes a whole destination out for a while.
func (r *run) fails(ctx context.Context, t Trouble) {
	d := r.destinations[t.Destination]
	r.mu.Lock()
	list := slices.Clone(r.endpoints[t.Destination])
	r.mu.Unlock()
	d.fails()
	for _, e := range list {
		e.turn(t.Kind)
	}
	rest(ctx, t.To-t.From)
	if t.Kind == Refusing { // calls that find no listener tell nothing here
		d.mu.Lock()
		for i := range r.senders {
			d.knew[i] = true
		}
		d.mu.Unlock()
	}
	d.recovers(r.ledger)
	for _, e := range list {
		e.turn("")
	}
}

// replace puts a new endpoint on the list and lets an old one go: it drains first, or is taken off at once.
func (r *run) replace(ctx context.Context, t Trouble) {
	old := r.endpoint(t)
	if old == nil {
		return
	}
	if _, err := r.addEndpoint(old.dest); err != nil {
		r.fail(err)
		return
	}
	rest(ctx, 300*time.Millisecond)
	r.mu.Lock()
	r.endpoints[t.Destination] = slices.DeleteFunc(r.endpoints[t.Destination], func(e *endpoint) bool { return e == old })
	r.mu.Unlock()
	if t.Kind == Drain {
		r.registry.retire(old, "draining")
		rest(ctx, t.To-t.From)
	}
	r.registry.retire(old, "removed")
}

// scanLogs looks for what a sender says of its own checks.
func (r *run) scanLogs() {
	for _, s := range r.senders {
		text, err := os.ReadFile(filepath.Join(s.dir, "log"))
		if err != nil {
			r.fail(err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "msg=violation") {
				r.ledger.broken(RuleInside, s.number, "%s", strings.TrimSpace(line))
			}
		}
	}
}

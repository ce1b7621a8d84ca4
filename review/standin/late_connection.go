package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The case of the connections that come up late after a restart. Each play uses a new sender.
const (
	lateRounds         = 8 // one after the other
	latePlaysAtOnce    = 3
	lateEndpoints      = 10 // each the only one of its destination; their connections come up late
	promptEndpoints    = 22 // likewise, but their connections come up at once
	messagesInCall     = 10
	bodyBytes          = 4000
	killDelay          = 150 * time.Millisecond            // from the first request to SIGKILL, if all are answered
	firstLifetime      = killDelay + 1612*time.Millisecond // d of a destination's first message
	lifetimeStep       = 8 * time.Millisecond              // from one message of a destination to the next
	promptLifetime     = 8 * time.Second
	openDelay          = 300 * time.Millisecond // from the restart to the end of the shortage of connections
	playAfterOpenDelay = 2500 * time.Millisecond
)

// latePlay is one play of the case.
type latePlay struct {
	env       *environment
	name      string
	late      []*endpoint
	prompt    []*endpoint
	list      hostList
	mu        sync.Mutex
	handedIn  map[string]*message
	broken    []string
	connected int // messages that reached an endpoint
}

// playLateConnection plays all rounds.
func playLateConnection(env *environment) (broken []string, err error) {
	for round := range lateRounds {
		var wg sync.WaitGroup
		plays, errs := make([]*latePlay, latePlaysAtOnce), make([]error, latePlaysAtOnce)
		for i := range plays {
			wg.Go(func() {
				plays[i] = &latePlay{env: env, name: fmt.Sprintf("%d%d", round, i), handedIn: map[string]*message{}}
				errs[i] = plays[i].play()
			})
		}
		wg.Wait()
		for i, p := range plays {
			if errs[i] != nil {
				return broken, errs[i]
			}
			env.record.line("play %s: %d messages reached an endpoint, %d of them changed", p.name, p.connected, len(p.broken))
			broken = append(broken, p.broken...)
		}
	}
	return broken, nil
}

// serve delivers a call. A message has to have the id, the body and the destination with which it was handed in.
func (p *latePlay) serve(c *call) bool {
	p.mu.Lock()
	for _, it := range c.items {
		m := p.handedIn[it.ID]
		p.connected++
		if m == nil || m.body != string(it.Body) || m.dest != c.endpoint.dest {
			p.broken = append(p.broken, fmt.Sprintf("endpoint %s got message %s with a body of %d bytes, %q, which no client handed in",
				c.endpoint.name, it.ID, len(it.Body), shortened(it.Body)))
		}
	}
	p.mu.Unlock()
	return c.deliver()
}

func (p *latePlay) newMessage(class string, dest, number int, lifetime time.Duration) *message {
	id := fmt.Sprintf("%s%06x%08x", p.name, dest, number)
	m := &message{id: id, class: class, dest: dest, lifetime: lifetime,
		body: "body of " + id + strings.Repeat(".", bodyBytes)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedIn[id] = m
	return m
}

func (p *latePlay) openEndpoints() error {
	p.list = hostList{Generation: 1, Reset: true}
	for dest := range lateEndpoints + promptEndpoints {
		name, backlog := fmt.Sprintf("s-%s-%d", p.name, dest), 0
		if dest >= lateEndpoints {
			backlog = 64
		}
		e, err := newEndpoint(p.env.record, name, dest, backlog, p.serve)
		if err != nil {
			return err
		}
		p.list.Instances = append(p.list.Instances, e.host("bulk"))
		if dest >= lateEndpoints {
			p.prompt = append(p.prompt, e)
			go e.run()
		} else {
			p.late = append(p.late, e)
		}
	}
	return nil
}

// beginShortage lets connections to the late endpoints come up only after endShortage, or at once without the trouble.
func (p *latePlay) beginShortage() error {
	for _, e := range p.late {
		if !p.env.trouble {
			go e.run()
		} else if err := e.fillQueue(1); err != nil {
			return err
		}
	}
	return nil
}

func (p *latePlay) endShortage() {
	for _, e := range p.late {
		go e.run()
	}
}

// handInAll hands in messages for each late endpoint and one for each prompt endpoint, at once.
func (p *latePlay) handInAll(addr string, forLate bool, number int) error {
	var batches [][]*message
	for _, e := range p.late {
		var batch []*message
		for i := range messagesInCall {
			if forLate { // half of the destinations lie half a step later
				lifetime := firstLifetime + time.Duration(2*i+e.dest%2)*lifetimeStep/2
				batch = append(batch, p.newMessage("status", e.dest, number+i, lifetime))
			}
		}
		batches = append(batches, batch)
	}
	for _, e := range p.prompt {
		batches = append(batches, []*message{p.newMessage("charge", e.dest, number, promptLifetime)})
	}
	errs := make([]error, len(batches))
	var wg sync.WaitGroup
	for i, batch := range batches {
		wg.Go(func() { errs[i] = handIn(p.env.record, addr, batch) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *latePlay) play() error {
	defer func() {
		for _, e := range append(p.late, p.prompt...) {
			e.ln.Close()
		}
	}()
	if err := p.openEndpoints(); err != nil {
		return err
	}
	a, err := newAgent(p.env.record, p.list)
	if err != nil {
		return err
	}
	defer a.server.Close()
	o := options{
		classes: []class{
			{name: "status", effect: "retryable", deadlineS: 8, windowS: 5},
			{name: "charge", effect: "fragile", deadlineS: 16, windowS: 5},
		},
		batch: messagesInCall, slots: 26, maxOpen: 416, mayCancel: true, secondCopies: true,
	}
	dir := filepath.Join(p.env.dir, p.name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	s, err := newSender(p.env.record, p.env.root, p.env.command, dir, a.addr, o.settings(), p.list)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	if err := p.beginShortage(); err != nil {
		return err
	}
	firstRequest := time.Now()
	if err := p.handInAll(s.listen, true, 0); err != nil {
		return err
	}
	if p.env.trouble {
		if err := p.restart(s, firstRequest); err != nil {
			return err
		}
	}
	if err := p.handInAll(s.listen, false, messagesInCall); err != nil {
		return err
	}
	if p.env.trouble {
		time.Sleep(openDelay)
		p.endShortage()
	}
	time.Sleep(playAfterOpenDelay)
	return nil
}

// restart kills the sender behind its replies and starts it again with the same folder.
func (p *latePlay) restart(s *sender, firstRequest time.Time) error {
	time.Sleep(time.Until(firstRequest.Add(killDelay)))
	if err := s.kill(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if err := s.start(); err != nil {
		return err
	}
	return s.awaitReady()
}

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The case of the connections that come up late after a restart. Each play uses a new sender. A connection that comes up
// late does so when the system repeats its first packet, 1.0 s after the call was decided; the messages run out of time
// one after the other around that moment.
const (
	lateRounds       = 8 // one after the other
	latePlaysAtOnce  = 3
	lateEndpoints    = 10 // each the only one of its destination; their connections come up late
	promptEndpoints  = 22 // likewise, but their connections come up at once
	messagesInCall   = 10
	bodyBytes        = 4000
	killDelay        = 150 * time.Millisecond            // from the first request to SIGKILL, if all are answered
	firstLifetime    = killDelay + 1612*time.Millisecond // d of a destination's first message
	lifetimeStep     = 8 * time.Millisecond              // from one message of a destination to the next
	lifetimeShift    = 20 * time.Millisecond             // added in the second of three rounds, twice in the third
	promptLifetime   = 8 * time.Second
	openDelay        = 300 * time.Millisecond  // from the restart to the end of the shortage of connections
	waitAfterOpening = 2500 * time.Millisecond // for all messages to end
)

// latePlay is one play of the case.
type latePlay struct {
	env      *environment
	name     string
	shift    time.Duration // of the lifetimes
	late     []*endpoint
	prompt   []*endpoint
	list     hostList
	mu       sync.Mutex
	handedIn map[string]*message
	reached  int // messages that reached an endpoint
	broken   []string
}

// playLateConnection plays all rounds. A play that could not run, for example because the machine was too busy for the
// clients' replies, is left out; the case has not run if half of the plays could not.
func playLateConnection(env *environment) (broken []string, err error) {
	var failed []error
	for round := range lateRounds {
		var wg sync.WaitGroup
		plays, errs := make([]*latePlay, latePlaysAtOnce), make([]error, latePlaysAtOnce)
		for i := range plays {
			plays[i] = &latePlay{
				env:      env,
				name:     fmt.Sprintf("%d%d", round, i),
				shift:    time.Duration(round%3) * lifetimeShift,
				handedIn: map[string]*message{},
			}
			wg.Go(func() { errs[i] = plays[i].play() })
		}
		wg.Wait()
		for i, p := range plays {
			if errs[i] != nil {
				env.record.line("play %s could not run: %v", p.name, errs[i])
				failed = append(failed, errs[i])
				continue
			}
			env.record.line("play %s: %d messages reached an endpoint, %d of them changed", p.name, p.reached, len(p.broken))
			broken = append(broken, p.broken...)
		}
	}
	if len(failed) >= lateRounds*latePlaysAtOnce/2 {
		return nil, errors.Join(failed...)
	}
	return broken, nil
}

// play starts a sender, restarts it while connections are short, and checks what reaches the endpoints.
func (p *latePlay) play() error {
	defer p.closeEndpoints()
	if err := p.openEndpoints(); err != nil {
		return err
	}
	a, err := newAgent(p.env.record, p.list)
	if err != nil {
		return err
	}
	defer a.server.Close()
	dir := filepath.Join(p.env.dir, p.name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	s, err := startSender(p.env, dir, a.addr, options{batch: messagesInCall, slots: 26}, p.list)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := p.beginShortage(); err != nil {
		return err
	}
	firstRequest := time.Now()
	if err := p.handInAll(s.listen, 0); err != nil {
		return err
	}
	if p.env.trouble {
		time.Sleep(time.Until(firstRequest.Add(killDelay)))
		if err := s.restart(); err != nil {
			return err
		}
	}
	if err := p.handInPrompt(s.listen, 1); err != nil {
		return err
	}
	if p.env.trouble {
		time.Sleep(openDelay)
		p.endShortage()
	}
	time.Sleep(waitAfterOpening)
	return nil
}

func (p *latePlay) openEndpoints() error {
	p.list = hostList{Generation: 1, Reset: true}
	for dest := range lateEndpoints + promptEndpoints {
		backlog := 0 // one connection fills the queue
		if dest >= lateEndpoints {
			backlog = ordinaryBacklog
		}
		e, err := newEndpoint(p.env.record, fmt.Sprintf("s-%s-%d", p.name, dest), dest, backlog, p.serve)
		if err != nil {
			return err
		}
		p.list.Instances = append(p.list.Instances, e.host())
		if dest < lateEndpoints {
			p.late = append(p.late, e)
			continue
		}
		p.prompt = append(p.prompt, e)
		go e.run()
	}
	return nil
}

func (p *latePlay) closeEndpoints() {
	for _, e := range append(p.late, p.prompt...) {
		e.ln.Close()
	}
}

// beginShortage lets connections to the late endpoints come up only after endShortage; without the trouble, at once.
func (p *latePlay) beginShortage() error {
	for _, e := range p.late {
		if !p.env.trouble {
			go e.run()
		} else if err := e.fillQueue(); err != nil {
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

// serve delivers a call. A message has to have the id, the body and the destination with which it was handed in.
func (p *latePlay) serve(c *call) bool {
	p.mu.Lock()
	for _, it := range c.items {
		m := p.handedIn[it.ID]
		p.reached++
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

// handInAll hands in a call's worth of messages for each late endpoint, and one message for each prompt endpoint.
func (p *latePlay) handInAll(addr string, number int) error {
	var batches [][]*message
	for _, e := range p.late {
		var batch []*message
		for i := range messagesInCall { // half of the destinations lie half a step later
			lifetime := firstLifetime + p.shift + time.Duration(2*i+e.dest%2)*lifetimeStep/2
			batch = append(batch, p.newMessage("status", e.dest, number+i, lifetime))
		}
		batches = append(batches, batch)
	}
	if err := handInAtOnce(p.env.record, addr, batches); err != nil {
		return err
	}
	return p.handInPrompt(addr, number)
}

func (p *latePlay) handInPrompt(addr string, number int) error {
	var batches [][]*message
	for _, e := range p.prompt {
		batches = append(batches, []*message{p.newMessage("charge", e.dest, number, promptLifetime)})
	}
	return handInAtOnce(p.env.record, addr, batches)
}

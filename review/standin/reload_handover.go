package main

import (
	"fmt"
	"os/exec"
	"syscall"
	"time"
)

// The case of a new configuration while one process replaces the other.
const (
	oldProcessAge    = 1500 * time.Millisecond // of the old process when the new one is started
	newReadyTimeout  = 6 * time.Second         // for the new process to say yes
	readyPoll        = 5 * time.Millisecond
	reloadDelay      = 100 * time.Millisecond  // from SIGTERM to the new configuration and SIGHUP
	oldAddressEnd    = 1500 * time.Millisecond // from SIGHUP to the end of the old address's open connections
	termToKill       = 3700 * time.Millisecond
	handInInterval   = 100 * time.Millisecond
	shortLifetime    = time.Second             // d of each message
	judgedFrom       = 4500 * time.Millisecond // from SIGTERM; messages handed in later are judged
	handInEnd        = 8 * time.Second         // from SIGTERM
	noticeSlack      = 350 * time.Millisecond  // from the end of a message's time to its notice: 300 ms and 50 ms
	waitAfterHandIns = 4 * time.Second         // for notices that come too late
	longLifetime     = 8 * time.Second         // d of the message whose call keeps the old process until its end
)

// reloadPlay is one play of the case.
type reloadPlay struct {
	env      *environment
	old, new *agent // before and after the new configuration
	sender   *sender
	sigterm  time.Time
	messages []*message
}

// openPartners opens two destinations with one endpoint each. The first one is shut: it turns all calls away, so each
// message for it needs a notice. The second one hangs through the whole replacement.
func (p *reloadPlay) openPartners() (list hostList, close func(), err error) {
	list = hostList{Generation: 1, Reset: true}
	shut := func(c *call) bool { return c.answer("503 Service Unavailable", "", "") }
	hang := func(c *call) bool {
		c.in.Peek(1) // returns when the sender gives the call up
		return false
	}
	var opened []*endpoint
	for dest, serve := range []func(*call) bool{shut, hang} {
		e, err := newEndpoint(p.env.record, fmt.Sprintf("s-%d", dest), dest, ordinaryBacklog, serve)
		if err != nil {
			return list, nil, err
		}
		opened = append(opened, e)
		list.Instances = append(list.Instances, e.host())
		go e.run()
	}
	return list, func() {
		for _, e := range opened {
			e.ln.Close()
		}
	}, nil
}

// replace starts a new process, waits for its yes and sends SIGTERM to the old one, which it returns.
func (p *reloadPlay) replace() (*exec.Cmd, error) {
	s := p.sender
	oldProcess := s.process
	if err := s.start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(newReadyTimeout); ; time.Sleep(readyPoll) {
		if reply, err := callOperator(s.admin, "ready"); err == nil && reply == "+OK" {
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the new process did not say yes within %v", newReadyTimeout)
		}
	}
	p.env.record.line("platform: the new process %d says yes; SIGTERM to process %d", s.process.Process.Pid, oldProcess.Process.Pid)
	p.sigterm = time.Now()
	return oldProcess, oldProcess.Process.Signal(syscall.SIGTERM)
}

// reconfigure replaces the configuration file, which now names the new address, and sends SIGHUP to a process.
func (p *reloadPlay) reconfigure(process *exec.Cmd) error {
	p.sender.config["discovery"] = p.new.addr
	if err := p.sender.writeConfig(); err != nil {
		return err
	}
	p.env.record.line("platform: new configuration, discovery moves from %s to %s; SIGHUP to process %d",
		p.old.addr, p.new.addr, process.Process.Pid)
	p.old.endIn(oldAddressEnd)
	return process.Process.Signal(syscall.SIGHUP)
}

// handInUntil hands in messages, each on a connection of its own, until the given time.
func (p *reloadPlay) handInUntil(end time.Time) {
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", len(p.messages)+1)
		m := &message{id: id, class: "status", dest: 0, lifetime: shortLifetime, body: "body of " + id}
		p.messages = append(p.messages, m)
		if err := handIn(p.env.record, p.sender.listen, []*message{m}); err != nil {
			p.env.record.line("client: %s: %v", id, err)
		}
		time.Sleep(handInInterval)
	}
}

// notice returns the first notice about a message at either address.
func (p *reloadPlay) notice(id string) (notice, bool) {
	if n, ok := p.old.noticeOf(id); ok {
		return n, true
	}
	return p.new.noticeOf(id)
}

// check returns how messages that were taken on ended against the rule.
func (p *reloadPlay) check() (broken []string) {
	judged := 0
	for _, m := range p.messages {
		if !m.taken() || m.sentAt.Before(p.sigterm.Add(judgedFrom)) {
			continue
		}
		judged++
		limit := m.sentAt.Add(m.lifetime + noticeSlack)
		if n, ok := p.notice(m.id); !ok {
			broken = append(broken, fmt.Sprintf("%s was taken on %.1f s after SIGTERM and has neither been delivered nor ended by a notice %.1f s after its time was up",
				m.id, m.sentAt.Sub(p.sigterm).Seconds(), time.Since(m.sentAt.Add(m.lifetime)).Seconds()))
		} else if n.at.After(limit) {
			broken = append(broken, fmt.Sprintf("%s got its notice %v too late", m.id, n.at.Sub(limit)))
		}
	}
	p.env.record.line("check: %d messages judged, %d lost", judged, len(broken))
	return broken
}

func playReload(env *environment) (broken []string, err error) {
	p := &reloadPlay{env: env}
	list, closePartners, err := p.openPartners()
	if err != nil {
		return nil, err
	}
	defer closePartners()
	for _, a := range []**agent{&p.old, &p.new} {
		if *a, err = newAgent(env.record, list); err != nil {
			return nil, err
		}
		defer (*a).server.Close()
	}
	if p.sender, err = startSender(env, env.dir, p.old.addr, options{batch: 1, slots: 13}, list); err != nil {
		return nil, err
	}
	defer p.sender.stop()
	p.handInUntil(time.Now().Add(oldProcessAge))
	held := &message{id: "00000000000fffff", class: "status", dest: 1, lifetime: longLifetime, body: "held"}
	if err := handIn(env.record, p.sender.listen, []*message{held}); err != nil {
		return nil, err
	}
	oldProcess, err := p.replace()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(termToKill, func() { oldProcess.Process.Kill() }) // an error means that it has ended
	if env.trouble {
		time.Sleep(reloadDelay)
		if err := p.reconfigure(oldProcess); err != nil {
			return nil, err
		}
	}
	p.handInUntil(p.sigterm.Add(handInEnd))
	time.Sleep(waitAfterHandIns)
	return p.check(), nil
}

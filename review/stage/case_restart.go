package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["restart-drain"] = playRestartDrain }

const (
	sendersPerCore   = 5
	killedInTen      = 7          // of ten senders, at once
	restartFillBytes = 16_000_000 // that each folder holds before the kill, of 40 MB
	slowDest         = 2          // takes slowTime for a call
	slowTime         = 3 * time.Second
	owedMessages     = 40                     // handed in to each sender just before the kill
	removedAfter     = 200 * time.Millisecond // after the kill an endpoint is removed from the list
	drainGrace       = time.Second
	drainMargin      = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
	restartSettle    = 5 * time.Second
)

// removedEndpoint records the calls that reach an endpoint after its removal from the list.
type removedEndpoint struct {
	record *recorder

	mu     sync.Mutex
	toldAt map[string]time.Duration // by sender: the start of its new process
	late   int
}

func (e *removedEndpoint) handle(c *inboundCall) answer {
	sender := senderOf(c.ids[0])
	e.mu.Lock()
	if told, ok := e.toldAt[sender]; ok && c.begun > told+drainGrace+drainMargin {
		e.late++
		e.record.printf("drain broken: %s gets %s %.3f s after the start of %s, when its removal counted as told",
			c.endpoint.name, strings.Join(c.ids, " "), (c.begun - told).Seconds(), sender)
	}
	e.mu.Unlock()
	c.sleep(slowTime)
	return answerDelivered
}

// playRestartDrain kills seven in ten senders at once, which have run for a while, and starts them again after an endpoint
// was removed from the list.
func playRestartDrain(s *stage) (bool, error) {
	quick, err := newEndpoint(s.record, "s-1", fillDest, kindBulk, func(*inboundCall) answer { return answerDelivered })
	if err != nil {
		return false, err
	}
	gone := &removedEndpoint{record: s.record, toldAt: map[string]time.Duration{}}
	removed, err := newEndpoint(s.record, "s-removed", slowDest, kindGeneral, gone.handle)
	if err != nil {
		return false, err
	}
	kept, err := newEndpoint(s.record, "s-kept", slowDest, kindGeneral, func(c *inboundCall) answer {
		c.sleep(slowTime)
		return answerDelivered
	})
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, []instance{quick.entry("up"), removed.entry("up"), kept.entry("up")}); err != nil {
		return false, err
	}
	config := newDeployment()
	config.senders = sendersPerCore * sharedCores()
	machine := upgradeLimits
	machine.Cores = 1.0 / sendersPerCore
	pools, err := s.startSenders(config, machine)
	if err != nil {
		return false, err
	}
	pools = pools[:len(pools)*killedInTen/10] // the others get no messages
	if err := fillAll(pools, restartFillBytes); err != nil {
		return false, err
	}
	time.Sleep(quietTime)
	var work sync.WaitGroup
	for _, pool := range pools {
		for i := range owedMessages {
			m := &message{
				id: fmt.Sprintf("%s-owed-%d", pool.sender.name, i), class: chargeClass.name, dest: slowDest, body: "update",
				lifetime: time.Duration(chargeClass.deadline * float64(time.Second)),
			}
			work.Go(func() { pool.put(m) })
		}
	}
	work.Wait()
	if s.trouble {
		for _, pool := range pools {
			pool.sender.processes[0].cmd.Process.Kill()
		}
		s.record.printf("%d of %d senders killed", len(pools), config.senders)
	}
	time.Sleep(removedAfter)
	s.agent.change(removed.entry("removed"))
	toldAt := s.record.elapsed()
	time.Sleep(restartDelay - removedAfter)
	for _, pool := range pools {
		at := toldAt
		if s.trouble {
			at = s.record.elapsed()
			if _, err := pool.sender.start(); err != nil {
				return false, err
			}
		}
		gone.mu.Lock()
		gone.toldAt[pool.sender.name] = at
		gone.mu.Unlock()
	}
	time.Sleep(restartSettle)
	gone.mu.Lock()
	defer gone.mu.Unlock()
	s.record.printf("%d calls came too late", gone.late)
	return gone.late > 0, nil
}

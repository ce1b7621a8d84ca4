package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["handover-late"] = playHandoverLate }

const (
	upgradesPerCore = 2                     // senders whose processes are replaced at once, for each core
	fillBytes       = 16_200_000            // that each folder holds before the upgrade, of 40 MB
	fillPause       = 30 * time.Millisecond // of a client after a refusal
	fillPipelined   = 16                    // messages handed in with one write
	fillClients     = 8
	fillTime        = 60 * time.Second // at most
	fillDest        = 1
	quietTime       = time.Second // without new messages before the upgrade
	silentDest      = 2
	expiring        = 200                     // messages of each sender whose time is up around the upgrade
	expiryInterval  = 5 * time.Millisecond    // between their deadlines
	expiryTime      = 2500 * time.Millisecond // of the first of them
	startLead       = 200 * time.Millisecond  // of the start of the new processes before the first deadline
	lostAfter       = 550 * time.Millisecond  // after its time a message without an end is lost: 0.5 s, and 50 ms on sockets
)

const maxSharedCores = 32 // keeps the number of processes below a few hundred

// sharedCores returns the number of cores that the senders of a case share.
func sharedCores() int { return min(runtime.GOMAXPROCS(0), maxSharedCores) }

var upgradeLimits = limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 40}

// fill hands in messages over several connections until the folder that lasts holds target bytes. It returns how many were
// taken on.
func fill(x *sender, target int64) (int64, error) {
	var taken atomic.Int64
	var clients sync.WaitGroup
	errs := make(chan error, fillClients)
	end := time.Now().Add(fillTime)
	for client := range fillClients {
		clients.Go(func() { errs <- x.fillFrom(client, end, target, &taken) })
	}
	clients.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return 0, err
		}
	}
	return taken.Load(), nil
}

// fillAll fills the folders of all senders.
func fillAll(pools []*clientPool, target int64) error {
	var work sync.WaitGroup
	errs := make(chan error, len(pools))
	for _, pool := range pools {
		work.Go(func() {
			taken, err := fill(pool.sender, target)
			pool.sender.stage.record.printf("%s: %d messages taken on; its folder holds %d bytes",
				pool.sender.name, taken, pool.sender.heldBytes())
			errs <- err
		})
	}
	work.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// fillFrom is one client of fill. After a refusal it pauses.
func (x *sender) fillFrom(client int, end time.Time, target int64, taken *atomic.Int64) error {
	conn, err := net.Dial("tcp", x.listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for number := 0; time.Now().Before(end) && x.heldBytes() < target; number += fillPipelined {
		var b strings.Builder
		for i := range fillPipelined {
			m := message{
				id: fmt.Sprintf("%x%06x", client, number+i), class: chargeClass.name, dest: fillDest,
				body: "receipt", lifetime: time.Duration(chargeClass.deadline * float64(time.Second)),
			}
			b.WriteString(m.command())
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return err
		}
		refused := false
		for range fillPipelined {
			line, err := r.ReadString('\n')
			if err != nil {
				return err
			}
			if strings.HasPrefix(line, "+") {
				taken.Add(1)
			} else {
				refused = true
			}
		}
		if refused {
			time.Sleep(fillPause)
		}
	}
	return nil
}

// heldBytes returns how much the folder that lasts holds.
func (x *sender) heldBytes() (total int64) {
	entries, _ := os.ReadDir(x.path("state"))
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// expiringMessage is a message whose time is up around the upgrade.
type expiringMessage struct {
	id string
	result
}

// handInExpiring hands in messages to each sender whose time is up from expiryTime on, and returns those taken on.
func handInExpiring(pools []*clientPool) (taken []expiringMessage) {
	var mu sync.Mutex
	var answers sync.WaitGroup
	for _, pool := range pools {
		for i := range expiring {
			m := &message{
				id: fmt.Sprintf("%s-e%03d", pool.sender.name, i), class: statusClass.name, dest: silentDest, body: "update",
				lifetime: expiryTime + time.Duration(i)*expiryInterval,
			}
			answers.Go(func() {
				if r := pool.put(m); r.accepted() {
					mu.Lock()
					taken = append(taken, expiringMessage{m.id, r})
					mu.Unlock()
				}
			})
		}
	}
	answers.Wait()
	return taken
}

// upgrade starts a second process of a sender, and ends the first one as the platform does: SIGTERM when the second one
// answers that it is ready, SIGKILL later.
func (x *sender) upgrade() error {
	old := x.processes[len(x.processes)-1]
	next, err := x.start()
	if err != nil {
		return err
	}
	if err := next.awaitYes(); err != nil {
		return err
	}
	x.stage.record.printf("%s: the new process says yes; SIGTERM to the old one", x.name)
	old.signal(syscall.SIGTERM)
	time.Sleep(killDelay)
	old.end()
	return nil
}

// upgradeAll replaces the processes of all senders.
func upgradeAll(pools []*clientPool) error {
	errs := make(chan error, len(pools))
	for _, pool := range pools {
		go func() { errs <- pool.sender.upgrade() }()
	}
	var first error
	for range pools {
		if err := <-errs; err != nil {
			first = err
		}
	}
	return first
}

// playHandoverLate replaces the processes of senders that have run for a while, with messages whose time is up just then.
func playHandoverLate(s *stage) (bool, error) {
	quick, err := newEndpoint(s.record, "s-1", fillDest, kindBulk, func(*inboundCall) answer { return answerDelivered })
	if err != nil {
		return false, err
	}
	silent, err := newEndpoint(s.record, "s-2", silentDest, kindGeneral, func(c *inboundCall) answer {
		<-c.closed
		return answer{}
	})
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, []instance{quick.entry("up"), silent.entry("up")}); err != nil {
		return false, err
	}
	config := newDeployment()
	config.senders = upgradesPerCore * sharedCores()
	machine := upgradeLimits
	machine.Cores = 0.5 / upgradesPerCore // doubled while there are two processes
	pools, err := s.startSenders(config, machine)
	if err != nil {
		return false, err
	}
	if err := fillAll(pools, fillBytes); err != nil {
		return false, err
	}
	time.Sleep(quietTime)
	handedIn := time.Now()
	taken := handInExpiring(pools)
	time.Sleep(expiryTime - startLead - time.Since(handedIn))
	if s.trouble {
		if err := upgradeAll(pools); err != nil {
			return false, err
		}
	} else {
		time.Sleep(killDelay)
	}
	time.Sleep(time.Second)
	return s.countLost(taken) > 0, nil
}

// countLost records the messages that got no notice in time and returns their number.
func (s *stage) countLost(taken []expiringMessage) (lost int) {
	worst := time.Duration(0)
	for _, m := range taken {
		n, ok := s.agent.noticeOf(m.id)
		worst = max(worst, n.at-m.deadline)
		if !ok || n.at > m.deadline+lostAfter {
			lost++
			s.record.printf("lost: %s, its time was up at %.3f s, its notice came at %.3f s, %.0f ms later",
				m.id, m.deadline.Seconds(), n.at.Seconds(), (n.at-m.deadline).Seconds()*1000)
		}
	}
	s.record.printf("%d of %d messages lost; the latest notice came %.0f ms after the time of its message",
		lost, len(taken), worst.Seconds()*1000)
	return lost
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["handover-late"] = playHandoverLate }

const (
	fillBytes      = 16_200_000            // that the folder holds before the upgrade, of 40 MB
	fillPause      = 30 * time.Millisecond // of a client after a refusal
	fillPipelined  = 16                    // handed in with one write
	fillClients    = 8
	fillTime       = 60 * time.Second // at most
	fillDest       = 1
	fillLimit      = 2000        // calls a second that the destination takes
	refusedShare   = 0.6         // of its calls, for lack of a connection
	quietTime      = time.Second // without new messages before the upgrade
	silentDest     = 2
	expiring       = 200                     // messages whose time is up around the upgrade
	expiryInterval = 5 * time.Millisecond    // between their deadlines
	expiryTime     = 1500 * time.Millisecond // of the first of them
	expiryLead     = 100 * time.Millisecond  // of the first deadline before SIGTERM
	lostAfter      = 550 * time.Millisecond  // after its time a message without an end is lost: 0.5 s, and 50 ms on sockets
)

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
				id: fmt.Sprintf("%s-f%d-%07d", x.name, client, number+i), class: chargeClass.name, dest: fillDest,
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

// answerScarce answers as an endpoint that often has no connection free. Such an answer carries no load report.
func answerScarce(*inboundCall) answer {
	if rand.Float64() < refusedShare {
		return answerFull
	}
	return answer{status: answerDelivered.status, report: fmt.Sprintf("x0=0.5,x1=%d", fillLimit)}
}

// playHandoverLate replaces the process of a sender that has run for a while, with messages whose time is up just then.
func playHandoverLate(s *stage) (bool, error) {
	quick, err := newEndpoint(s.record, "s-1", fillDest, kindBulk, answerScarce)
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
	config.senders, config.reports = 1, true
	x, err := s.newSender(0, config.settings(0), upgradeLimits)
	if err != nil {
		return false, err
	}
	old, err := x.startReady()
	if err != nil {
		return false, err
	}
	taken, err := fill(x, fillBytes)
	if err != nil {
		return false, err
	}
	s.record.printf("%d messages taken on; the folder holds %d bytes", taken, x.heldBytes())
	time.Sleep(quietTime)
	next := old
	if s.trouble {
		if next, err = x.start(); err != nil {
			return false, err
		}
		if err := next.awaitYes(); err != nil {
			return false, err
		}
	}
	pool := &clientPool{sender: x}
	results := make([]result, expiring)
	var answers sync.WaitGroup
	handedIn := time.Now()
	for i := range expiring {
		m := &message{
			id: fmt.Sprintf("n0-e-%03d", i), class: statusClass.name, dest: silentDest, body: "update",
			lifetime: expiryTime + time.Duration(i)*expiryInterval,
		}
		answers.Go(func() { results[i] = pool.put(m) })
	}
	answers.Wait()
	time.Sleep(expiryTime + expiryLead - time.Since(handedIn))
	if s.trouble {
		s.record.printf("SIGTERM to the old process")
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(killDelay)
	if s.trouble {
		old.end()
	}
	time.Sleep(time.Second)
	if !next.running() {
		s.record.printf("the process ended")
		return true, nil
	}
	lost := 0
	for i, r := range results {
		if !r.accepted() {
			continue
		}
		n, ok := s.agent.noticeOf(fmt.Sprintf("n0-e-%03d", i))
		if !ok || n.at > r.deadline+lostAfter {
			lost++
			s.record.printf("lost: n0-e-%03d, its time was up at %.3f s, its notice came at %.3f s, %.0f ms later",
				i, r.deadline.Seconds(), n.at.Seconds(), (n.at-r.deadline).Seconds()*1000)
		}
	}
	worst := time.Duration(0)
	for i, r := range results {
		if n, ok := s.agent.noticeOf(fmt.Sprintf("n0-e-%03d", i)); ok && r.accepted() {
			worst = max(worst, n.at-r.deadline)
		}
	}
	s.record.printf("%d messages lost; the latest notice came %.0f ms after the time of its message", lost, worst.Seconds()*1000)
	return lost > 0, nil
}

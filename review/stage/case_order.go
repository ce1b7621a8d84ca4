package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["order-bulk"] = playOrderBulk }

const (
	orderDest      = 1
	orderPairs     = 8                      // keys, each with an earlier and a later message
	orderInterval  = 30 * time.Millisecond  // between two pairs
	orderLearn     = 5 * time.Second        // ordinary traffic first
	orderRate      = 8.0                    // messages a second of it
	silentTime     = 10 * time.Second       // of one endpoint
	laterAfter     = 200 * time.Millisecond // the later message of a key is handed in so long after the earlier one
	orderSettle    = 3 * time.Second        // after the silence
	orderOthers    = 14                     // destinations besides, which get over 70% of the traffic
	keyQuietTime   = time.Second
	arrivalMargin  = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
	firstKeyNumber = 0xa1
)

// run is a call with a message at an endpoint.
type run struct {
	endpoint   string
	arrived    time.Duration
	ended      time.Duration // when the endpoint answered or the sender ended the call; 0 while it is out
	executedAt time.Duration // 0 if it was not executed
}

// orderedDestination has two endpoints, one of which falls silent for a time. A call that it holds is executed when the
// silence ends, unless the sender has given it up.
type orderedDestination struct {
	record *recorder

	mu        sync.Mutex
	silent    map[string]chan struct{} // by endpoint, closed at the end of its silence
	runs      map[string][]*run        // by message id
	earlierOf map[string]string        // the earlier message of the same key, by id
	broken    bool
}

func (d *orderedDestination) setSilent(endpoint string) (end func()) {
	over := make(chan struct{})
	d.mu.Lock()
	d.silent[endpoint] = over
	d.mu.Unlock()
	d.record.printf("%s falls silent", endpoint)
	return func() {
		d.mu.Lock()
		delete(d.silent, endpoint)
		d.mu.Unlock()
		d.record.printf("%s works on", endpoint)
		close(over)
	}
}

func (d *orderedDestination) handle(c *inboundCall) answer {
	var runs []*run
	d.mu.Lock()
	for _, id := range c.ids {
		d.checkArrival(id, c)
		r := &run{endpoint: c.endpoint.name, arrived: c.at}
		d.runs[id] = append(d.runs[id], r)
		runs = append(runs, r)
	}
	silence := d.silent[c.endpoint.name]
	d.mu.Unlock()
	d.record.printf("%s: call with %s, expires in %s ms", c.endpoint.name, strings.Join(c.ids, " "), c.expires)
	given := false
	if silence != nil {
		select {
		case <-silence:
		case <-c.closed:
			given = true
		}
	}
	if !given {
		given = !c.sleep(serviceTime)
	}
	now := d.record.elapsed()
	d.mu.Lock()
	for _, r := range runs {
		r.ended = now
		if !given {
			r.executedAt = now
		}
	}
	d.mu.Unlock()
	if given {
		d.record.printf("%s: given up: %s", c.endpoint.name, strings.Join(c.ids, " "))
		return answer{}
	}
	d.record.printf("%s: executed: %s", c.endpoint.name, strings.Join(c.ids, " "))
	return answerDelivered
}

// checkArrival checks that no call with the earlier message of the same key is out when a message arrives. The lock must
// be held.
func (d *orderedDestination) checkArrival(id string, c *inboundCall) {
	for _, r := range d.runs[d.earlierOf[id]] {
		if r.ended == 0 && c.at > r.arrived+arrivalMargin {
			d.broken = true
			d.record.printf("order broken: %s arrives at %s while %s, which was taken on before it, is out at %s since %.3f s "+
				"on a connection that is still open", id, c.endpoint.name, d.earlierOf[id], r.endpoint, r.arrived.Seconds())
		}
	}
}

// reportInversions records the keys whose earlier message was executed after the later one.
func (d *orderedDestination) reportInversions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for later, earlier := range d.earlierOf {
		for _, l := range d.runs[later] {
			for _, e := range d.runs[earlier] {
				if l.executedAt != 0 && e.executedAt > l.executedAt {
					d.record.printf("%s was executed at %.3f s, after %s at %.3f s",
						earlier, e.executedAt.Seconds(), later, l.executedAt.Seconds())
				}
			}
		}
	}
}

// playOrderBulk lets an endpoint fall silent with bulk calls that hold messages of a class in order, each with a message
// that may not be repeated.
func playOrderBulk(s *stage) (bool, error) {
	d := &orderedDestination{
		record: s.record, silent: map[string]chan struct{}{}, runs: map[string][]*run{}, earlierOf: map[string]string{},
	}
	first, err := newEndpoint(s.record, "s-1", orderDest, kindBulk, d.handle)
	if err != nil {
		return false, err
	}
	second, err := newEndpoint(s.record, "s-2", orderDest, kindBulk, d.handle)
	if err != nil {
		return false, err
	}
	otherDests, list, err := s.otherDestinations(orderOthers)
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, append(list, first.entry("up"), second.entry("up"))); err != nil {
		return false, err
	}
	config := newDeployment()
	config.senders = 1
	config.keyQuiet = keyQuietTime.Seconds()
	ordered := statusClass
	ordered.keepOrder = true
	config.classes = []class{ordered, chargeClass}
	pools, err := s.startSenders(config, smallLimits)
	if err != nil {
		return false, err
	}
	defer runOthers(pools, otherDests, orderLearn+silentTime+orderSettle)()
	t := &traffic{pools: pools, dest: orderDest, rate: orderRate, bodySize: ordinaryBody}
	t.run(orderLearn)
	time.Sleep(time.Second) // until all of that is answered
	end := func() {}
	if s.trouble {
		end = d.setSilent(first.name)
	}
	var clients sync.WaitGroup
	errs := make(chan error, orderPairs)
	for i := range orderPairs {
		clients.Go(func() { errs <- d.handInPair(pools[0], i) })
		time.Sleep(orderInterval)
	}
	time.Sleep(silentTime)
	end()
	time.Sleep(orderSettle)
	clients.Wait()
	for range orderPairs {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	d.reportInversions()
	return d.broken, nil
}

// handInPair hands in the earlier message of a key together with a message that may not be repeated, with one write on
// one connection, and the later message of the key after the answers.
func (d *orderedDestination) handInPair(pool *clientPool, i int) error {
	newMessage := func(name string, c class, key string) *message {
		return &message{
			id: fmt.Sprintf("n0-%s-%d", name, i), class: c.name, dest: orderDest, key: key, body: name,
			lifetime: time.Duration(c.deadline * float64(time.Second)),
		}
	}
	key := fmt.Sprintf("%016x", firstKeyNumber+i)
	earlier, other := newMessage("earlier", statusClass, key), newMessage("charge", chargeClass, "")
	later := newMessage("later", statusClass, key)
	conn, err := net.Dial("tcp", pool.sender.listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(conn, earlier.command()+other.command()); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	taken := true
	for _, m := range []*message{earlier, other} {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		d.record.printf("client: %s: %s", m.id, strings.TrimSpace(line))
		taken = taken && strings.HasPrefix(line, "+")
	}
	if taken {
		d.mu.Lock()
		d.earlierOf[later.id] = earlier.id
		d.mu.Unlock()
	}
	time.Sleep(laterAfter)
	pool.put(later)
	return nil
}

package hollow

import (
	"slices"

	"rundeal/logic"
)

// call is one attempt at an endpoint, as the sender and the endpoint have it.
type call struct {
	sender         *sender
	message        *message
	endpointID     logic.EndpointID
	endpoint       *endpoint
	attempt        int
	startedAt      logic.Micros
	conn           *conn
	requestSent    bool // its last byte is on the way
	ended          bool // for the sender
	sentIntoOutage bool // made while the destination was down
}

// call makes an attempt.
func (s *sender) startCall(a logic.CallOut) {
	f, m := s.fleet, s.messages[a.ID]
	c := &call{sender: s, message: m, endpointID: a.Endpoint, endpoint: f.endpointsByAddr[s.directory.Addr(a.Endpoint)], attempt: m.attempts, startedAt: f.now}
	m.call = c
	m.attempts++
	if !m.mayHaveRun {
		m.firstMayHaveRunAt, m.firstMayHaveRunZone = f.now, c.endpoint.machine.zone
	}
	s.inFlight = append(s.inFlight, c)
	f.stats.Calls++
	f.traceEvent(traceCall, s.number, int(m.number), c.endpoint.number)
	s.recordOutageSend(c)
	f.scheduleAfter(a.GiveUp, func() { c.cancel(logic.Overdue) })
	if c.conn = s.takeIdleConn(a.Endpoint); c.conn != nil {
		c.sendRequest()
		return
	}
	c.connect()
}

// sendsInto notes a call that is made while its endpoint serves nothing.
func (s *sender) recordOutageSend(c *call) {
	o := c.endpoint.currentOutage()
	if o == nil {
		return
	}
	s.fleet.stats.IntoOutages++
	c.sentIntoOutage = o == c.endpoint.destination.outage
	n := s.detections[o]
	if n == nil {
		n = &detection{outage: o, firstSentAt: s.fleet.now}
		s.detections[o] = n
		s.undetected = append(s.undetected, n)
	}
	if !slices.Contains(n.endpoints, c.endpointID) {
		n.endpoints = append(n.endpoints, c.endpointID)
	}
}

// kept takes the idle connection that was used last, if one is good.
func (s *sender) takeIdleConn(id logic.EndpointID) *conn {
	list := s.idleConns[id]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		s.idleConns[id] = list
		if c.usable(s.fleet.now, s.fleet.scenario.Destinations.ConnIdleTimeout.Micros) {
			return c
		}
	}
	return nil
}

// reaches says whether what is sent between the two ends now arrives.
func (c *call) linkUp() bool {
	return c.sender.fleet.topology.reachable(c.sender.machine.zone, c.endpoint.machine.zone, c.sender.fleet.now)
}

func (c *call) networkDelay() logic.Micros {
	return c.sender.fleet.topology.delay(c.sender.machine.zone, c.endpoint.machine.zone, c.sender.networkRand)
}

// connect opens a connection: a round trip, and what the handshake takes.
func (c *call) connect() {
	f := c.sender.fleet
	f.scheduleAfter(f.scenario.Destinations.ConnectTimeout.Micros, func() {
		if !c.requestSent {
			c.finish(logic.RefusedConn, 0, nil)
		}
	})
	if !c.linkUp() {
		return
	}
	f.scheduleAfter(c.networkDelay(), func() {
		if c.ended || c.endpoint.silent() {
			return
		}
		back := c.networkDelay()
		if c.endpoint.refusesConns() {
			f.scheduleAfter(back, func() { c.finish(logic.RefusedConn, 0, nil) })
			return
		}
		if most := f.scenario.Destinations.MaxConnections; most > 0 && c.endpoint.connCount >= most {
			f.stats.ConnsRejected++
			f.scheduleAfter(back+f.scenario.Destinations.HandshakeTime.Micros, func() { c.finish(logic.Full, 0, nil) })
			return
		}
		c.endpoint.connCount++
		f.stats.Connections++
		c.conn = &conn{endpoint: c.endpoint, epoch: c.endpoint.epoch}
		f.scheduleAfter(back+f.scenario.Destinations.HandshakeTime.Micros, func() {
			if !c.ended {
				c.sendRequest()
			}
		})
	})
}

// write sends the request over the connection.
func (c *call) sendRequest() {
	c.requestSent = true
	if c.linkUp() {
		c.sender.fleet.scheduleAfter(c.networkDelay(), c.handleRequest)
	}
}

// arrive is where the endpoint has the whole request.
func (c *call) handleRequest() {
	f, d := c.sender.fleet, c.endpoint.destination
	set := &f.scenario.Destinations
	switch {
	case c.endpoint.silent():
	case c.conn.epoch != c.endpoint.epoch || c.endpoint.refusesConns():
		c.respond(logic.Severed, 0, nil)
	case d.outage != nil: // a refusal without a report would mean that there is no place for the connection
		c.respond(logic.Full, 0, d.loadReport(f.now))
	case d.recordArrival(f.now, c.sender.number):
		f.stats.Relapses++
		if d.mostlyInformed() {
			f.stats.InformedRelapses++
		}
		f.startOutage(d, outageRefused, f.scenario.Recovery.RelapseDuration.Micros)
		c.respond(logic.Severed, 0, nil)
	case !d.admit(f.now):
		f.stats.OverLimit++
		wait := logic.Micros(0)
		if set.RefusalStatus == "429" {
			wait = set.RetryAfter.Micros
		}
		c.respond(logic.Full, wait, d.loadReport(f.now))
	default:
		c.endpoint.serving = append(c.endpoint.serving, c)
		epoch := c.endpoint.epoch
		f.scheduleAfter(d.drawServiceTime(), func() {
			i := slices.Index(c.endpoint.serving, c)
			if i < 0 || c.endpoint.epoch != epoch {
				return // cut off
			}
			c.endpoint.serving = slices.Delete(c.endpoint.serving, i, i+1)
			if c.endpoint.silent() {
				return
			}
			if c.message.executions++; c.message.executions > 1 {
				f.stats.Repeats++
			}
			c.respond(logic.Completed, 0, d.loadReport(f.now))
		})
	}
}

// answer sends an outcome back.
func (c *call) respond(o logic.Outcome, wait logic.Micros, load []float64) {
	if c.linkUp() {
		c.sender.fleet.scheduleAfter(c.networkDelay(), func() { c.finish(o, wait, load) })
	}
}

// giveUp ends the call from the sender's side. One that was still connecting has surely not run.
func (c *call) cancel(o logic.Outcome) {
	if !c.requestSent {
		o = logic.RefusedConn
	}
	c.finish(o, 0, nil)
}

// end is the one outcome that the sender has of the call.
func (c *call) finish(o logic.Outcome, wait logic.Micros, load []float64) {
	if c.ended {
		return
	}
	c.ended = true
	f, s, m := c.sender.fleet, c.sender, c.message
	if c.sentIntoOutage && o != logic.Completed && o != logic.Moot {
		c.endpoint.destination.informed[s.number] = true
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *call) bool { return x == c })
	m.call = nil
	if o != logic.Full && o != logic.RefusedConn && o != logic.Moot {
		m.mayHaveRun = true
	}
	if c.conn != nil {
		if answered := o == logic.Completed || o == logic.Full; answered && c.requestSent {
			s.keepIdleConn(c.endpointID, c.conn)
		} else {
			c.conn.close()
		}
	}
	f.traceEvent(traceOutcome, s.number, int(m.number), int(o))
	ended := m.closed
	if !ended && o == logic.Completed {
		f.endMessage(m.clientMessage, delivered)
		s.closeMessage(m)
	} else if ended {
		delete(s.messages, m.id)
	}
	if wait > 0 { // the destination's other endpoints too: they share its limit
		s.abortConnecting(func(x *call) bool { return x.endpoint.destination == c.endpoint.destination })
	}
	s.enqueue(logic.Reply{ID: m.id, NoMore: m.closed, Endpoint: c.endpointID, Attempt: c.attempt, Outcome: o, Took: f.now - c.startedAt, Wait: wait, Load: load})
}

// keep puts a connection aside for the next call; it closes after its time.
func (s *sender) keepIdleConn(id logic.EndpointID, c *conn) {
	c.idleSince = s.fleet.now
	s.idleConns[id] = append(s.idleConns[id], c)
	idle := s.fleet.scenario.Destinations.ConnIdleTimeout.Micros
	s.scheduleWhileUp(c.idleSince+idle, func() {
		if i := slices.Index(s.idleConns[id], c); i >= 0 && s.fleet.now >= c.idleSince+idle {
			c.close()
			if s.idleConns[id] = slices.Delete(s.idleConns[id], i, i+1); len(s.idleConns[id]) == 0 {
				delete(s.idleConns, id)
			}
		}
	})
}

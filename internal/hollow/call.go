package hollow

import (
	"slices"

	"rundeal/logic"
)

// call is one delivery attempt, shared by the sender and the endpoint.
type call struct {
	sender         *sender
	message        *message
	endpointID     logic.EndpointID
	endpoint       *endpoint
	attempt        int
	startedAt      logic.Micros
	conn           *conn
	requestSent    bool // the whole request was written
	ended          bool // the sender has its outcome
	sentIntoOutage bool // started during an outage of the destination
}

// startCall starts the attempt that the module asked for.
func (s *sender) startCall(a logic.Send) {
	f, m := s.fleet, s.messages[a.ID]
	c := &call{
		sender:     s,
		message:    m,
		endpointID: a.Endpoint,
		endpoint:   f.endpointsByAddr[s.directory.Addr(a.Endpoint)],
		attempt:    m.attempts,
		startedAt:  f.now,
	}
	m.call = c
	m.attempts++
	if !m.mayHaveRun {
		m.firstMayHaveRunAt, m.firstMayHaveRunZone = f.now, c.endpoint.machine.zone
	}
	s.inFlight = append(s.inFlight, c)
	f.stats.Calls++
	f.traceEvent(traceCall, s.number, int(m.number), c.endpoint.number)
	s.recordOutageSend(c)
	f.scheduleAfter(a.Timeout, func() { c.cancel(logic.TimedOut) })
	if c.conn = s.takeIdleConn(a.Endpoint); c.conn != nil {
		c.sendRequest()
		return
	}
	c.connect()
}

// recordOutageSend counts a call whose endpoint is in an outage. With the first call into an outage it starts to
// measure how long the sender takes to detect it.
func (s *sender) recordOutageSend(c *call) {
	o := c.endpoint.currentOutage()
	if o == nil {
		return
	}
	s.fleet.stats.IntoOutages++
	c.sentIntoOutage = o == c.endpoint.destination.outage
	d := s.detections[o]
	if d == nil {
		d = &detection{outage: o, firstSentAt: s.fleet.now}
		s.detections[o] = d
		s.undetected = append(s.undetected, d)
	}
	if !slices.Contains(d.endpoints, c.endpointID) {
		d.endpoints = append(d.endpoints, c.endpointID)
	}
}

// takeIdleConn removes and returns the most recently used idle connection that is still usable; nil if there is none.
func (s *sender) takeIdleConn(id logic.EndpointID) *conn {
	conns := s.idleConns[id]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		s.idleConns[id] = conns
		if c.usable(s.fleet.now, s.fleet.scenario.Destinations.ConnIdleTimeout.Micros) {
			return c
		}
	}
	return nil
}

// linkUp reports whether data sent now between the sender and the endpoint arrives.
func (c *call) linkUp() bool {
	return c.sender.fleet.topology.reachable(c.sender.machine.zone, c.endpoint.machine.zone, c.sender.fleet.now)
}

func (c *call) networkDelay() logic.Micros {
	return c.sender.fleet.topology.delay(c.sender.machine.zone, c.endpoint.machine.zone, c.sender.networkRand)
}

// connect opens a connection, which costs one round trip plus the handshake time.
func (c *call) connect() {
	f := c.sender.fleet
	f.scheduleAfter(f.scenario.Destinations.ConnectTimeout.Micros, func() {
		if !c.requestSent {
			c.finish(logic.ConnRefused, 0, nil)
		}
	})
	if !c.linkUp() {
		return
	}
	f.scheduleAfter(c.networkDelay(), func() {
		if c.ended || c.endpoint.unresponsive() {
			return
		}
		returnDelay := c.networkDelay()
		if c.endpoint.refusesConns() {
			f.scheduleAfter(returnDelay, func() { c.finish(logic.ConnRefused, 0, nil) })
			return
		}
		if limit := f.scenario.Destinations.MaxConnections; limit > 0 && c.endpoint.connCount >= limit {
			f.stats.OverConnLimit++
			f.scheduleAfter(returnDelay+f.scenario.Destinations.HandshakeTime.Micros, func() {
				c.finish(logic.Refused, 0, nil)
			})
			return
		}
		c.endpoint.connCount++
		f.stats.Connections++
		c.conn = &conn{endpoint: c.endpoint, epoch: c.endpoint.epoch}
		f.scheduleAfter(returnDelay+f.scenario.Destinations.HandshakeTime.Micros, func() {
			if !c.ended {
				c.sendRequest()
			}
		})
	})
}

// sendRequest writes the request to the connection.
func (c *call) sendRequest() {
	c.requestSent = true
	if c.linkUp() {
		c.sender.fleet.scheduleAfter(c.networkDelay(), c.handleRequest)
	}
}

// handleRequest runs at the endpoint once it has received the whole request.
func (c *call) handleRequest() {
	f, d := c.sender.fleet, c.endpoint.destination
	config := &f.scenario.Destinations
	switch {
	case c.endpoint.unresponsive():
	case c.conn.epoch != c.endpoint.epoch || c.endpoint.refusesConns():
		c.respond(logic.ConnLost, 0, nil)
	case d.outage != nil:
		// Without a load report the answer would mean that the connection limit is reached.
		c.respond(logic.Refused, 0, d.loadReport(f.now))
	case d.recordArrival(f.now, c.sender.number):
		f.stats.Relapses++
		if d.mostlyInformed() {
			f.stats.InformedRelapses++
		}
		f.startOutage(d, outageRefused, f.scenario.Recovery.RelapseDuration.Micros)
		c.respond(logic.ConnLost, 0, nil)
	case !d.admit(f.now):
		f.stats.OverLimit++
		retryAfter := logic.Micros(0)
		if config.RefusalStatus == "429" {
			retryAfter = config.RetryAfter.Micros
		}
		c.respond(logic.Refused, retryAfter, d.loadReport(f.now))
	default:
		c.endpoint.serving = append(c.endpoint.serving, c)
		epoch := c.endpoint.epoch
		f.scheduleAfter(d.drawServiceTime(), func() {
			i := slices.Index(c.endpoint.serving, c)
			if i < 0 || c.endpoint.epoch != epoch {
				return // the connection was reset meanwhile
			}
			c.endpoint.serving = slices.Delete(c.endpoint.serving, i, i+1)
			if c.endpoint.unresponsive() {
				return
			}
			if c.message.executions++; c.message.executions > 1 {
				f.stats.RepeatedExecutions++
			}
			c.respond(logic.Delivered, 0, d.loadReport(f.now))
		})
	}
}

// respond sends the outcome back to the sender.
func (c *call) respond(outcome logic.Outcome, retryAfter logic.Micros, load []float64) {
	if c.linkUp() {
		c.sender.fleet.scheduleAfter(c.networkDelay(), func() { c.finish(outcome, retryAfter, load) })
	}
}

// cancel ends the call from the sender's side. A call that was still connecting cannot have run, so its
// outcome is that of a refused connection.
func (c *call) cancel(outcome logic.Outcome) {
	if !c.requestSent {
		outcome = logic.ConnRefused
	}
	c.finish(outcome, 0, nil)
}

// finish records the outcome of the call at the sender. Only the first outcome counts.
func (c *call) finish(outcome logic.Outcome, retryAfter logic.Micros, load []float64) {
	if c.ended {
		return
	}
	c.ended = true
	f, s, m := c.sender.fleet, c.sender, c.message
	if c.sentIntoOutage && outcome != logic.Delivered && outcome != logic.Skipped {
		c.endpoint.destination.informed[s.number] = true
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *call) bool { return x == c })
	m.call = nil
	if outcome != logic.Refused && outcome != logic.ConnRefused && outcome != logic.Skipped {
		m.mayHaveRun = true
	}
	if c.conn != nil {
		if answered := outcome == logic.Delivered || outcome == logic.Refused; answered && c.requestSent {
			s.keepIdleConn(c.endpointID, c.conn)
		} else {
			c.conn.close()
		}
	}
	f.traceEvent(traceOutcome, s.number, int(m.number), int(outcome))
	messageClosed := m.closed
	if !messageClosed && outcome == logic.Delivered {
		f.endMessage(m.clientMessage, delivered)
		s.closeMessage(m)
	} else if messageClosed {
		delete(s.messages, m.id)
	}
	if retryAfter > 0 { // the wait is for all endpoints of the destination, which share one limit
		s.abortConnecting(func(x *call) bool { return x.endpoint.destination == c.endpoint.destination })
	}
	s.enqueue(logic.AttemptResult{
		ID:         m.id,
		Final:      m.closed,
		Endpoint:   c.endpointID,
		Attempt:    c.attempt,
		Outcome:    outcome,
		Latency:    f.now - c.startedAt,
		RetryAfter: retryAfter,
		Load:       load,
	})
}

// keepIdleConn keeps a connection for later calls and closes it after the idle timeout.
func (s *sender) keepIdleConn(id logic.EndpointID, c *conn) {
	c.idleSince = s.fleet.now
	s.idleConns[id] = append(s.idleConns[id], c)
	timeout := s.fleet.scenario.Destinations.ConnIdleTimeout.Micros
	s.scheduleWhileUp(c.idleSince+timeout, func() {
		if i := slices.Index(s.idleConns[id], c); i >= 0 && s.fleet.now >= c.idleSince+timeout {
			c.close()
			if s.idleConns[id] = slices.Delete(s.idleConns[id], i, i+1); len(s.idleConns[id]) == 0 {
				delete(s.idleConns, id)
			}
		}
	})
}

package hollow

import (
	"slices"

	"rundeal/logic"
)

// call is one attempt at an endpoint, as the sender and the endpoint have it.
type call struct {
	s       *sender
	m       *message
	id      logic.EndpointID
	ep      *endpoint
	attempt int
	at      logic.Micros
	conn    *conn
	written bool // its last byte is on the way
	over    bool // for the sender
	into    bool // made while the destination was down
}

// call makes an attempt.
func (s *sender) call(a logic.Send) {
	f, m := s.f, s.held[a.ID]
	c := &call{s: s, m: m, id: a.Endpoint, ep: f.byAddr[s.dir.Addr(a.Endpoint)], attempt: m.tries, at: f.now}
	m.call = c
	m.tries++
	if !m.mayRun {
		m.firstMay, m.zone = f.now, c.ep.machine.zone
	}
	s.flying = append(s.flying, c)
	f.rec.Calls++
	f.traceEvent(traceCall, s.number, int(m.number), c.ep.number)
	s.sendsInto(c)
	f.after(a.Timeout, func() { c.giveUp(logic.TimedOut) })
	if c.conn = s.kept(a.Endpoint); c.conn != nil {
		c.write()
		return
	}
	c.connect()
}

// sendsInto notes a call that is made while its endpoint serves nothing.
func (s *sender) sendsInto(c *call) {
	o := c.ep.out()
	if o == nil {
		return
	}
	s.f.rec.IntoOutages++
	c.into = o == c.ep.dest.down
	n := s.noticed[o]
	if n == nil {
		n = &noting{out: o, from: s.f.now}
		s.noticed[o] = n
		s.unseen = append(s.unseen, n)
	}
	if !slices.Contains(n.eps, c.id) {
		n.eps = append(n.eps, c.id)
	}
}

// kept takes the idle connection that was used last, if one is good.
func (s *sender) kept(id logic.EndpointID) *conn {
	list := s.idle[id]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		s.idle[id] = list
		if c.good(s.f.now, s.f.sc.Destinations.ConnIdle.Micros) {
			return c
		}
	}
	return nil
}

// reaches says whether what is sent between the two ends now arrives.
func (c *call) reaches() bool {
	return c.s.f.top.open(c.s.machine.zone, c.ep.machine.zone, c.s.f.now)
}

func (c *call) delay() logic.Micros {
	return c.s.f.top.delay(c.s.machine.zone, c.ep.machine.zone, c.s.network)
}

// connect opens a connection: a round trip, and what the handshake takes.
func (c *call) connect() {
	f := c.s.f
	f.after(f.sc.Destinations.ConnTimeout.Micros, func() {
		if !c.written {
			c.end(logic.ConnRefused, 0, nil)
		}
	})
	if !c.reaches() {
		return
	}
	f.after(c.delay(), func() {
		if c.over || c.ep.silent() {
			return
		}
		back := c.delay()
		if c.ep.refuses() {
			f.after(back, func() { c.end(logic.ConnRefused, 0, nil) })
			return
		}
		if most := f.sc.Destinations.Connections; most > 0 && c.ep.conns >= most {
			f.rec.NoPlace++
			f.after(back+f.sc.Destinations.Handshake.Micros, func() { c.end(logic.Refused, 0, nil) })
			return
		}
		c.ep.conns++
		f.rec.Connections++
		c.conn = &conn{ep: c.ep, epoch: c.ep.epoch}
		f.after(back+f.sc.Destinations.Handshake.Micros, func() {
			if !c.over {
				c.write()
			}
		})
	})
}

// write sends the request over the connection.
func (c *call) write() {
	c.written = true
	if c.reaches() {
		c.s.f.after(c.delay(), c.arrive)
	}
}

// arrive is where the endpoint has the whole request.
func (c *call) arrive() {
	f, d := c.s.f, c.ep.dest
	set := &f.sc.Destinations
	switch {
	case c.ep.silent():
	case c.conn.epoch != c.ep.epoch || c.ep.refuses():
		c.answer(logic.ConnLost, 0, nil)
	case d.down != nil: // a refusal without a report would mean that there is no place for the connection
		c.answer(logic.Refused, 0, d.report(f.now))
	case d.arrives(f.now, c.s.number):
		f.rec.Falls++
		if d.blamed() {
			f.rec.Blamed++
		}
		f.startOutage(d, downRefused, f.sc.Cold.FallFor.Micros)
		c.answer(logic.ConnLost, 0, nil)
	case !d.admits(f.now):
		f.rec.OverLimit++
		wait := logic.Micros(0)
		if set.Refuse == "429" {
			wait = set.ComeBack.Micros
		}
		c.answer(logic.Refused, wait, d.report(f.now))
	default:
		c.ep.serving = append(c.ep.serving, c)
		epoch := c.ep.epoch
		f.after(d.takes(), func() {
			i := slices.Index(c.ep.serving, c)
			if i < 0 || c.ep.epoch != epoch {
				return // cut off
			}
			c.ep.serving = slices.Delete(c.ep.serving, i, i+1)
			if c.ep.silent() {
				return
			}
			if c.m.runs++; c.m.runs > 1 {
				f.rec.Repeats++
			}
			c.answer(logic.Delivered, 0, d.report(f.now))
		})
	}
}

// answer sends an outcome back.
func (c *call) answer(o logic.Outcome, wait logic.Micros, load []float64) {
	if c.reaches() {
		c.s.f.after(c.delay(), func() { c.end(o, wait, load) })
	}
}

// giveUp ends the call from the sender's side. One that was still connecting has surely not run.
func (c *call) giveUp(o logic.Outcome) {
	if !c.written {
		o = logic.ConnRefused
	}
	c.end(o, 0, nil)
}

// end is the one outcome that the sender has of the call.
func (c *call) end(o logic.Outcome, wait logic.Micros, load []float64) {
	if c.over {
		return
	}
	c.over = true
	f, s, m := c.s.f, c.s, c.m
	if c.into && o != logic.Delivered && o != logic.Skipped {
		c.ep.dest.told[s.number] = true
	}
	s.flying = slices.DeleteFunc(s.flying, func(x *call) bool { return x == c })
	m.call = nil
	if o != logic.Refused && o != logic.ConnRefused && o != logic.Skipped {
		m.mayRun = true
	}
	if c.conn != nil {
		if answered := o == logic.Delivered || o == logic.Refused; answered && c.written {
			s.keep(c.id, c.conn)
		} else {
			c.conn.close()
		}
	}
	f.traceEvent(traceReply, s.number, int(m.number), int(o))
	ended := m.over
	if !ended && o == logic.Delivered {
		f.end(m.offer, delivered)
		s.drop(m)
	} else if ended {
		delete(s.held, m.id)
	}
	if wait > 0 { // the destination's other endpoints too: they share its limit
		s.hold(func(x *call) bool { return x.ep.dest == c.ep.dest })
	}
	s.hear(logic.AttemptResult{ID: m.id, Final: m.over, Endpoint: c.id, Attempt: c.attempt, Outcome: o, Latency: f.now - c.at, RetryAfter: wait, Load: load})
}

// keep puts a connection aside for the next call; it closes after its time.
func (s *sender) keep(id logic.EndpointID, c *conn) {
	c.since = s.f.now
	s.idle[id] = append(s.idle[id], c)
	idle := s.f.sc.Destinations.ConnIdle.Micros
	s.whileUp(c.since+idle, func() {
		if i := slices.Index(s.idle[id], c); i >= 0 && s.f.now >= c.since+idle {
			c.close()
			if s.idle[id] = slices.Delete(s.idle[id], i, i+1); len(s.idle[id]) == 0 {
				delete(s.idle, id)
			}
		}
	})
}

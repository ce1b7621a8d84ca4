package hollow

import (
	"rundeal/logic"
)

// inject begins a fault of the timeline.
func (f *fleet) injectFault(x FaultConfig) {
	lasts := x.Duration.Micros
	switch x.Kind {
	case faultOutage:
		for _, d := range f.destinations[x.First : x.First+x.Count] {
			f.startOutage(d, x.OutageMode, lasts)
		}
	case faultLimit:
		for _, d := range f.destinations[x.First : x.First+x.Count] {
			d.limitFactor *= x.Factor
			f.scheduleAfter(lasts, func() { d.limitFactor /= x.Factor })
		}
	case faultRestart:
		for _, s := range f.senders[x.First : x.First+x.Count] {
			f.restartSender(s)
		}
	case faultLoss:
		for _, s := range f.senders[x.First : x.First+x.Count] {
			f.failMachines([]*machine{s.machine}, max(lasts, f.scenario.Fleet.RestartTime.Micros))
		}
	case faultRack:
		f.failMachines(f.matchingMachines(func(m *machine) bool { return m.rack == x.First }), lasts)
	case faultZone:
		f.failMachines(f.matchingMachines(func(m *machine) bool { return m.zone == x.First }), lasts)
	case faultLink:
		f.topology.cutUntil[linkKey(x.First, x.Other)] = max(f.topology.cutUntil[linkKey(x.First, x.Other)], f.now+lasts)
	}
}

func (f *fleet) matchingMachines(match func(*machine) bool) (list []*machine) {
	for _, s := range f.senders {
		if match(s.machine) {
			list = append(list, s.machine)
		}
	}
	for _, e := range f.endpoints {
		if !e.closed && match(e.machine) {
			list = append(list, e.machine)
		}
	}
	return list
}

// restart kills a sender's process; it starts again with its journal.
func (f *fleet) restartSender(s *sender) {
	if !s.up {
		return
	}
	f.stats.Restarts++
	s.kill(false)
	life := s.incarnation
	f.scheduleAfter(f.scenario.Fleet.RestartTime.Micros, func() {
		if !s.up && s.incarnation == life && s.machine.outage == nil {
			s.start()
		}
	})
}

// failMachines takes machines away for a while. Senders come back with nothing, endpoints with no connections.
func (f *fleet) failMachines(list []*machine, lasts logic.Micros) {
	o := &outage{mode: outageSilent, startedAt: f.now}
	struck := map[*machine]bool{}
	for _, m := range list {
		m.outageEnd = max(m.outageEnd, f.now+lasts)
		if m.outage == nil {
			m.outage = o
			struck[m] = true
		}
	}
	for _, s := range f.senders {
		if struck[s.machine] {
			f.stats.Losses++
			s.kill(true)
			f.scheduleAfter(lasts, func() { f.recoverSender(s) })
		}
	}
	for _, e := range f.endpoints {
		if struck[e.machine] {
			e.serving = nil // these never run
			f.scheduleAfter(lasts, func() { f.recoverEndpoint(e, o) })
		}
	}
}

// senderBack starts a sender on a machine with nothing, once no failure holds it.
func (f *fleet) recoverSender(s *sender) {
	if f.now < s.machine.outageEnd {
		f.scheduleAt(s.machine.outageEnd, func() { f.recoverSender(s) })
		return
	}
	s.machine.outage = nil
	f.discovery.sendFullList(s)
	s.start()
}

func (f *fleet) recoverEndpoint(e *endpoint, o *outage) {
	if f.now < e.machine.outageEnd {
		f.scheduleAt(e.machine.outageEnd, func() { f.recoverEndpoint(e, o) })
		return
	}
	e.machine.outage = nil
	f.resetConnections(e)
	f.forgetOutage(o)
}

// reset ends all connections to an endpoint; calls under way are cut off.
func (f *fleet) resetConnections(e *endpoint) {
	e.epoch++
	e.connCount = 0
	cut := e.serving
	e.serving = nil
	for _, c := range cut {
		c.respond(logic.Severed, 0, nil)
	}
}

// startOutage takes a destination down. If it is down already, the later end counts.
func (f *fleet) startOutage(d *destination, how string, lasts logic.Micros) {
	d.outageEnd = max(d.outageEnd, f.now+lasts)
	if d.outage != nil {
		return
	}
	f.traceEvent(traceOutageStart, d.id, int(lasts), 0)
	f.stats.Outages++
	d.outage, d.informed = &outage{mode: how, startedAt: f.now}, map[int]bool{}
	f.stats.recordColdWindow(d.worstWindow)
	d.worstWindow = ColdWindow{}
	if how == outageRefused {
		for _, e := range d.endpoints {
			f.resetConnections(e)
		}
	}
	f.scheduleAt(d.outageEnd, func() { f.endOutage(d) })
}

// endOutage brings a destination back, cold, once its time is up.
func (f *fleet) endOutage(d *destination) {
	if f.now < d.outageEnd {
		f.scheduleAt(d.outageEnd, func() { f.endOutage(d) })
		return
	}
	f.traceEvent(traceOutageEnd, d.id, 0, 0)
	o := d.outage
	d.outage, d.recoveredAt, d.recentArrivals = nil, f.now, nil
	d.bucket.tokens, d.bucket.refilledAt = 0, f.now
	if o.mode == outageSilent { // kept connections lead nowhere
		for _, e := range d.endpoints {
			f.resetConnections(e)
		}
	}
	f.forgetOutage(o)
}

// forgetOutage drops what senders make of an outage that has ended.
func (f *fleet) forgetOutage(o *outage) {
	for _, s := range f.senders {
		if s.detections[o] == nil {
			continue
		}
		delete(s.detections, o)
		for i, n := range s.undetected {
			if n.outage == o {
				f.stats.Undetected++
				s.undetected = append(s.undetected[:i], s.undetected[i+1:]...)
				break
			}
		}
	}
}

// randomOutages takes a destination down and up at random, so that the share that is down holds from the start.
func (f *fleet) randomOutages(d *destination) {
	set := &f.scenario.Destinations
	if set.DownShare == 0 {
		return
	}
	r := newRand(f.scenario.Seed, "outages", d.id)
	mean := float64(set.MeanOutage.Micros)
	var down func()
	down = func() {
		how := set.OutageMode
		if how == "mixed" {
			how = outageModes[r.IntN(len(outageModes))]
		}
		lasts := mean * r.ExpFloat64()
		f.startOutage(d, how, clampDelay(lasts))
		f.scheduleAfter(clampDelay(lasts+mean*(1-set.DownShare)/set.DownShare*r.ExpFloat64()), down)
	}
	if r.Float64() < set.DownShare {
		down()
		return
	}
	f.scheduleAfter(clampDelay(mean*(1-set.DownShare)/set.DownShare*r.ExpFloat64()), down)
}

package hollow

import (
	"rundeal/logic"
)

// injectFault starts a fault of the scenario's timeline.
func (f *fleet) injectFault(fault FaultConfig) {
	duration := fault.Duration.Micros
	switch fault.Kind {
	case faultOutage:
		for _, d := range f.destinations[fault.First : fault.First+fault.Count] {
			f.startOutage(d, fault.OutageMode, duration)
		}
	case faultLimit:
		for _, d := range f.destinations[fault.First : fault.First+fault.Count] {
			d.limitFactor *= fault.Factor
			f.scheduleAfter(duration, func() { d.limitFactor /= fault.Factor })
		}
	case faultRestart:
		for _, s := range f.senders[fault.First : fault.First+fault.Count] {
			f.restartSender(s)
		}
	case faultLoss:
		for _, s := range f.senders[fault.First : fault.First+fault.Count] {
			f.failMachines([]*machine{s.machine}, max(duration, f.scenario.Fleet.RestartTime.Micros))
		}
	case faultRack:
		f.failMachines(f.matchingMachines(func(m *machine) bool { return m.rack == fault.First }), duration)
	case faultZone:
		f.failMachines(f.matchingMachines(func(m *machine) bool { return m.zone == fault.First }), duration)
	case faultLink:
		f.topology.cutUntil[linkKey(fault.First, fault.OtherRegion)] = max(
			f.topology.cutUntil[linkKey(fault.First, fault.OtherRegion)], f.now+duration)
	}
}

func (f *fleet) matchingMachines(match func(*machine) bool) (matches []*machine) {
	for _, s := range f.senders {
		if match(s.machine) {
			matches = append(matches, s.machine)
		}
	}
	for _, e := range f.endpoints {
		if !e.closed && match(e.machine) {
			matches = append(matches, e.machine)
		}
	}
	return matches
}

// restartSender kills a sender's process, which starts again with its journal after the restart time.
func (f *fleet) restartSender(s *sender) {
	if !s.up {
		return
	}
	f.stats.Restarts++
	s.kill(false)
	incarnation := s.incarnation
	f.scheduleAfter(f.scenario.Fleet.RestartTime.Micros, func() {
		if !s.up && s.incarnation == incarnation && s.machine.outage == nil {
			s.start()
		}
	})
}

// failMachines makes machines unreachable for a time. Senders then restart without a journal, endpoints without
// connections.
func (f *fleet) failMachines(machines []*machine, duration logic.Micros) {
	o := &outage{mode: outageUnresponsive, startedAt: f.now}
	affected := map[*machine]bool{}
	for _, m := range machines {
		m.outageEnd = max(m.outageEnd, f.now+duration)
		if m.outage == nil {
			m.outage = o
			affected[m] = true
		}
	}
	for _, s := range f.senders {
		if affected[s.machine] {
			f.stats.Losses++
			s.kill(true)
			f.scheduleAfter(duration, func() { f.recoverSender(s) })
		}
	}
	for _, e := range f.endpoints {
		if affected[e.machine] {
			e.serving = nil // calls in progress never complete
			f.scheduleAfter(duration, func() { f.recoverEndpoint(e, o) })
		}
	}
}

// recoverSender starts a sender on an empty machine, once no failure of the machine is in effect.
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

// resetConnections breaks all connections to an endpoint, also those with calls in progress.
func (f *fleet) resetConnections(e *endpoint) {
	e.epoch++
	e.connCount = 0
	interrupted := e.serving
	e.serving = nil
	for _, c := range interrupted {
		c.respond(logic.ConnLost, 0, nil)
	}
}

// startOutage takes a destination down. If it is down already, it stays so until the later of the two ends.
func (f *fleet) startOutage(d *destination, mode string, duration logic.Micros) {
	d.outageEnd = max(d.outageEnd, f.now+duration)
	if d.outage != nil {
		return
	}
	f.traceEvent(traceOutageStart, d.id, int(duration), 0)
	f.stats.Outages++
	d.outage, d.informed = &outage{mode: mode, startedAt: f.now}, map[int]bool{}
	f.stats.recordColdWindow(d.worstWindow)
	d.worstWindow = ColdWindow{}
	if mode == outageRefused {
		for _, e := range d.endpoints {
			f.resetConnections(e)
		}
	}
	f.scheduleAt(d.outageEnd, func() { f.endOutage(d) })
}

// endOutage brings a destination back once the outage has ended. It is cold at first.
func (f *fleet) endOutage(d *destination) {
	if f.now < d.outageEnd {
		f.scheduleAt(d.outageEnd, func() { f.endOutage(d) })
		return
	}
	f.traceEvent(traceOutageEnd, d.id, 0, 0)
	o := d.outage
	d.outage, d.recoveredAt, d.recentArrivals = nil, f.now, nil
	d.bucket.tokens, d.bucket.refilledAt = 0, f.now
	if o.mode == outageUnresponsive { // the senders' idle connections are broken
		for _, e := range d.endpoints {
			f.resetConnections(e)
		}
	}
	f.forgetOutage(o)
}

// forgetOutage drops the senders' detection state of an outage that has ended and counts those who never detected it.
func (f *fleet) forgetOutage(o *outage) {
	for _, s := range f.senders {
		if s.detections[o] == nil {
			continue
		}
		delete(s.detections, o)
		for i, d := range s.undetected {
			if d.outage == o {
				f.stats.Undetected++
				s.undetected = append(s.undetected[:i], s.undetected[i+1:]...)
				break
			}
		}
	}
}

// randomOutages schedules random outages of a destination. The first one may start at once, so that the configured share
// of destinations is down from the start of the run.
func (f *fleet) randomOutages(d *destination) {
	config := &f.scenario.Destinations
	if config.DownShare == 0 {
		return
	}
	rng := newRand(f.scenario.Seed, "outages", d.id)
	mean := float64(config.MeanOutage.Micros)
	var startNext func()
	startNext = func() {
		mode := config.OutageMode
		if mode == "mixed" {
			mode = outageModes[rng.IntN(len(outageModes))]
		}
		duration := mean * rng.ExpFloat64()
		f.startOutage(d, mode, clampDelay(duration))
		f.scheduleAfter(clampDelay(duration+mean*(1-config.DownShare)/config.DownShare*rng.ExpFloat64()), startNext)
	}
	if rng.Float64() < config.DownShare {
		startNext()
		return
	}
	f.scheduleAfter(clampDelay(mean*(1-config.DownShare)/config.DownShare*rng.ExpFloat64()), startNext)
}

package hollow

import (
	"rundeal/logic"
)

// inject begins a fault of the timeline.
func (f *fleet) inject(x FaultPart) {
	lasts := x.For.Micros
	switch x.What {
	case faultOutage:
		for _, d := range f.dests[x.Number : x.Number+x.Count] {
			f.startOutage(d, x.How, lasts)
		}
	case faultLimit:
		for _, d := range f.dests[x.Number : x.Number+x.Count] {
			d.factor *= x.Factor
			f.after(lasts, func() { d.factor /= x.Factor })
		}
	case faultRestart:
		for _, s := range f.senders[x.Number : x.Number+x.Count] {
			f.restart(s)
		}
	case faultLoss:
		for _, s := range f.senders[x.Number : x.Number+x.Count] {
			f.failMachines([]*machine{s.machine}, max(lasts, f.sc.Fleet.Start.Micros))
		}
	case faultRack:
		f.failMachines(f.machines(func(m *machine) bool { return m.rack == x.Number }), lasts)
	case faultZone:
		f.failMachines(f.machines(func(m *machine) bool { return m.zone == x.Number }), lasts)
	case faultLink:
		f.top.cut[link(x.Number, x.Other)] = max(f.top.cut[link(x.Number, x.Other)], f.now+lasts)
	}
}

func (f *fleet) machines(match func(*machine) bool) (list []*machine) {
	for _, s := range f.senders {
		if match(s.machine) {
			list = append(list, s.machine)
		}
	}
	for _, e := range f.eps {
		if !e.closed && match(e.machine) {
			list = append(list, e.machine)
		}
	}
	return list
}

// restart kills a sender's process; it starts again with its journal.
func (f *fleet) restart(s *sender) {
	if !s.up {
		return
	}
	f.rec.Restarts++
	s.kill(false)
	life := s.life
	f.after(f.sc.Fleet.Start.Micros, func() {
		if !s.up && s.life == life && s.machine.gone == nil {
			s.start()
		}
	})
}

// failMachines takes machines away for a while. Senders come back with nothing, endpoints with no connections.
func (f *fleet) failMachines(list []*machine, lasts logic.Micros) {
	o := &outage{how: downSilent, from: f.now}
	struck := map[*machine]bool{}
	for _, m := range list {
		m.until = max(m.until, f.now+lasts)
		if m.gone == nil {
			m.gone = o
			struck[m] = true
		}
	}
	for _, s := range f.senders {
		if struck[s.machine] {
			f.rec.Losses++
			s.kill(true)
			f.after(lasts, func() { f.senderBack(s) })
		}
	}
	for _, e := range f.eps {
		if struck[e.machine] {
			e.serving = nil // these never run
			f.after(lasts, func() { f.endpointBack(e, o) })
		}
	}
}

// senderBack starts a sender on a machine with nothing, once no failure holds it.
func (f *fleet) senderBack(s *sender) {
	if f.now < s.machine.until {
		f.at(s.machine.until, func() { f.senderBack(s) })
		return
	}
	s.machine.gone = nil
	f.disc.ask(s)
	s.start()
}

func (f *fleet) endpointBack(e *endpoint, o *outage) {
	if f.now < e.machine.until {
		f.at(e.machine.until, func() { f.endpointBack(e, o) })
		return
	}
	e.machine.gone = nil
	f.reset(e)
	f.forgetOutage(o)
}

// reset ends all connections to an endpoint; calls under way are cut off.
func (f *fleet) reset(e *endpoint) {
	e.epoch++
	e.conns = 0
	cut := e.serving
	e.serving = nil
	for _, c := range cut {
		c.answer(logic.ConnLost, 0, nil)
	}
}

// startOutage takes a destination down. If it is down already, the later end counts.
func (f *fleet) startOutage(d *destination, how string, lasts logic.Micros) {
	d.until = max(d.until, f.now+lasts)
	if d.down != nil {
		return
	}
	f.traceEvent(traceDown, d.id, int(lasts), 0)
	f.rec.Outages++
	d.down, d.told = &outage{how: how, from: f.now}, map[int]bool{}
	f.rec.window(d.worst)
	d.worst = ColdWindow{}
	if how == downRefused {
		for _, e := range d.eps {
			f.reset(e)
		}
	}
	f.at(d.until, func() { f.endOutage(d) })
}

// endOutage brings a destination back, cold, once its time is up.
func (f *fleet) endOutage(d *destination) {
	if f.now < d.until {
		f.at(d.until, func() { f.endOutage(d) })
		return
	}
	f.traceEvent(traceUp, d.id, 0, 0)
	o := d.down
	d.down, d.backAt, d.lately = nil, f.now, nil
	d.limit.tokens, d.limit.filled = 0, f.now
	if o.how == downSilent { // kept connections lead nowhere
		for _, e := range d.eps {
			f.reset(e)
		}
	}
	f.forgetOutage(o)
}

// forgetOutage drops what senders make of an outage that has ended.
func (f *fleet) forgetOutage(o *outage) {
	for _, s := range f.senders {
		if s.noticed[o] == nil {
			continue
		}
		delete(s.noticed, o)
		for i, n := range s.unseen {
			if n.out == o {
				f.rec.Unnoticed++
				s.unseen = append(s.unseen[:i], s.unseen[i+1:]...)
				break
			}
		}
	}
}

// randomOutages takes a destination down and up at random, so that the share that is down holds from the start.
func (f *fleet) randomOutages(d *destination) {
	set := &f.sc.Destinations
	if set.DownShare == 0 {
		return
	}
	r := stream(f.sc.Seed, "outages", d.id)
	mean := float64(set.DownFor.Micros)
	var down func()
	down = func() {
		how := set.DownHow
		if how == "mixed" {
			how = outageNames[r.IntN(len(outageNames))]
		}
		lasts := mean * r.ExpFloat64()
		f.startOutage(d, how, span(lasts))
		f.after(span(lasts+mean*(1-set.DownShare)/set.DownShare*r.ExpFloat64()), down)
	}
	if r.Float64() < set.DownShare {
		down()
		return
	}
	f.after(span(mean*(1-set.DownShare)/set.DownShare*r.ExpFloat64()), down)
}

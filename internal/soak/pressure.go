package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Kinds of fault that put a fleet under pressure. They are drawn apart from the others, so that those of a seed stay the
// same.
const (
	// SignalSeries is a stop in which several signals follow each other: SIGHUP with a new configuration, SIGTERM, and both
	// again.
	SignalSeries FaultKind = "signal-series"
	// BusyConnections are clients that use their open connections without a pause for as long as those stay open.
	BusyConnections FaultKind = "busy-connections"
	// ClientCrowd are idle clients that fill the descriptors of a sender.
	ClientCrowd FaultKind = "client-crowd"
	// FleetKill kills most senders at once, near the end of an outage of a destination.
	FleetKill FaultKind = "fleet-kill"
)

const (
	activeShare       = 0.125 // share of the senders that get most of the traffic in a skewed fleet
	activeTraffic     = 0.9   // share of the traffic that these get
	fleetKillShare    = 0.7
	maxKillOffset     = 3 * time.Second // from the end of the outage to a FleetKill, or the other way round
	pressureOutage    = 5 * time.Second
	busyConnections   = 6
	busyPause         = 20 * time.Millisecond // between two requests on one of them
	busyTime          = 6 * time.Second
	busyLead          = 700 * time.Millisecond // from the start of BusyConnections to the signals
	crowdSize         = 300
	crowdTime         = 4 * time.Second
	signalSeriesPause = 250 * time.Millisecond // longest time between two signals of a series
)

// addPressure skews the traffic and adds the kinds of fault above. Each is part of some runs only.
func (sc *Scenario) addPressure(rng *rand.Rand, only []FaultKind) {
	sc.Skewed = rng.IntN(3) == 0
	start := func(length time.Duration) time.Duration {
		return time.Duration(rng.Float64() * float64(max(sc.Duration-length, 0)))
	}
	add := func(kind FaultKind, from, length time.Duration, sender int) {
		if allowsKind(only, kind) {
			sc.Faults = append(sc.Faults, Fault{Kind: kind, From: from, To: from + length, Sender: sender, Destination: -1})
		}
	}
	if rng.IntN(3) == 0 {
		add(ClientCrowd, start(crowdTime), crowdTime, rng.IntN(sc.Senders))
	}
	if rng.IntN(2) == 0 {
		from, sender := start(busyTime), rng.IntN(sc.Senders)
		add(BusyConnections, from, busyTime, sender)
		add(SignalSeries, from+busyLead, time.Second, sender)
	}
	if rng.IntN(2) == 0 {
		kinds := []FaultKind{ConnectionsRefused, Unresponsive, Unavailable, ServerErrors}
		outage := Fault{Kind: kinds[rng.IntN(len(kinds))], Sender: -1, Destination: rng.IntN(sc.Destinations)}
		outage.From = 2*time.Second + start(pressureOutage+2*maxKillOffset)
		outage.To = outage.From + pressureOutage
		if allowsKind(only, FleetKill) {
			sc.Faults = append(sc.Faults, outage)
		}
		offset := time.Duration((2*rng.Float64() - 1) * float64(maxKillOffset))
		add(FleetKill, outage.To+offset, time.Second, -1)
	}
}

// rateOf returns the messages per second that clients submit to a sender.
func (sc *Scenario) rateOf(sender int) float64 {
	if !sc.Skewed {
		return sc.Rate
	}
	active := max(int(activeShare*float64(sc.Senders)), 1)
	total := sc.Rate * float64(sc.Senders)
	switch {
	case active == sc.Senders:
		return sc.Rate
	case sender < active:
		return total * activeTraffic / float64(active)
	}
	return total * (1 - activeTraffic) / float64(sc.Senders-active)
}

// killFleet kills most senders at once and starts them again.
func (r *run) killFleet(seed uint64) {
	order := rand.New(rand.NewPCG(seed, 37)).Perm(len(r.senders))
	var restarts sync.WaitGroup
	for _, number := range order[:max(int(fleetKillShare*float64(len(order))), 1)] {
		s := r.senders[number]
		restarts.Go(func() {
			if <-s.started; s.currentProcess() != nil {
				s.restart(false)
			}
		})
	}
	restarts.Wait()
}

// useConnections submits messages on open connections without a pause until the end of a fault, or until the sender has
// closed them.
func (c *clients) useConnections(ctx context.Context, end time.Time) {
	var users sync.WaitGroup
	defer users.Wait()
	for range busyConnections {
		conn, err := c.acquire(true)
		if err != nil {
			continue
		}
		users.Go(func() {
			for time.Now().Before(end) {
				c.mu.Lock()
				m := c.newMessage()
				c.mu.Unlock()
				unanswered, err := c.exchange(conn, []*message{m}, false)
				if err != nil {
					if errors.Is(err, errClosedUnanswered) {
						c.submitAgain(unanswered)
					}
					return
				}
				if !sleep(ctx, busyPause) {
					return
				}
			}
			conn.Close()
		})
	}
}

// crowd keeps idle connections open until ctx is done.
func (c *clients) crowd(ctx context.Context) {
	var conns []net.Conn
	for range crowdSize {
		conn, err := net.DialTimeout("tcp", c.sender.listenAddr, clientTimeout)
		if err == nil {
			conns = append(conns, conn)
		}
	}
	<-ctx.Done()
	for _, conn := range conns {
		conn.Close()
	}
}

// wasTold reports whether a sender had a call fail during the outage, and the response or the end of its connection has
// told it so.
func (d *destination) wasTold(sender int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[sender]
}

// tell records that a sender has been told of the outage.
func (d *destination) tell(sender int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told[sender] = true
}

// destinationsKnown returns the destinations of whose outages a sender has been told.
func (s *sender) destinationsKnown() (known []*destination) {
	for _, d := range s.run.destinations {
		if d.wasTold(s.number) {
			known = append(known, d)
		}
	}
	return known
}

// forgetOutages records that a process has ended which knew of the outages of these destinations. What it was told is
// kept for the next one; of the others the next one knows nothing.
func (s *sender) forgetOutages(known []*destination) {
	for _, d := range s.run.destinations {
		if !slices.Contains(known, d) {
			d.forgetSender(s.number)
		}
	}
}

package hollow

import (
	"math"
	"testing"

	"rundeal/logic"
)

func micros(s float64) logic.Micros { return seconds(s).Micros }

// Capacity 3 and two tokens per second: 3 calls at once, one more every half second, and never more than 3 tokens in
// the bucket.
func TestTokenBucket(t *testing.T) {
	b := tokenBucket{capacity: 3, tokens: 3}
	for i, tc := range []struct {
		at float64
		ok bool
	}{{0, true}, {0, true}, {0, true}, {0, false}, {0.4, false}, {0.5, true}, {0.9, false}, {1, true},
		{10, true}, {10, true}, {10, true}, {10, false}, {10.5, true}, {10.5, false}} {
		if ok := b.take(micros(tc.at), 2); ok != tc.ok {
			t.Errorf("call %d at %v s: %v", i, tc.at, ok)
		}
	}
}

// newColdDestination returns a destination with a limit of 40 calls per second that recovered at 100 s with a quarter of
// that limit and reaches all of it after 10 s.
func newColdDestination() *destination {
	sc := Default()
	sc.Destinations.Rate = 40
	sc.Recovery = RecoveryConfig{
		ColdCapacity:     0.25,
		WarmupTime:       seconds(10),
		OverloadMultiple: 1.25,
		OverloadWindow:   seconds(2),
		RelapseDuration:  seconds(5),
	}
	d := newDestination(0, &sc)
	d.recoveredAt, d.informed = micros(100), map[int]bool{1: true}
	return d
}

func TestColdDestinationWarmsLinearly(t *testing.T) {
	d := newColdDestination()
	for _, tc := range []struct{ at, rate float64 }{{100, 10}, {105, 25}, {109, 37}, {110, 40}, {500, 40}} {
		if got := d.rate(micros(tc.at)); math.Abs(got-tc.rate) > 1e-9 {
			t.Errorf("at %v s: %v calls per second, want %v", tc.at, got, tc.rate)
		}
	}
}

// At its recovery the destination allows 1.25 x 10 calls per second x 2 s = 25 calls, and 25 + 2 x 5 + 2 = 37 with the
// margin for random variation.
func TestColdDestinationRelapses(t *testing.T) {
	if got := maxWindowCalls(25); got != 37 {
		t.Fatalf("bound for 25 calls: %v", got)
	}
	if got := maxWindowCalls(100); got != 122 {
		t.Fatalf("bound for 100 calls: %v", got)
	}
	d := newColdDestination()
	for i := range 37 {
		if d.recordArrival(micros(100), 0) {
			t.Fatalf("relapses at call %d", i+1)
		}
	}
	if !d.recordArrival(micros(100), 0) {
		t.Error("does not relapse at call 38")
	}
	if d.worstWindow.Calls != 38 || d.worstWindow.Allowed != 37 {
		t.Errorf("worst window %+v", d.worstWindow)
	}
	// Two seconds later the first calls have left the window. Now 1.25 x 16 x 2 = 40 are allowed, 54.6 with the margin.
	d = newColdDestination()
	for range 37 {
		d.recordArrival(micros(100), 0)
	}
	for i := range 54 {
		if d.recordArrival(micros(102), 0) {
			t.Fatalf("relapses at call %d in the second window", i+1)
		}
	}
	if !d.recordArrival(micros(102), 0) {
		t.Error("does not relapse at call 55 in the second window")
	}
	// Six, then seven of ten calls come from senders that knew of the outage; seven are over two thirds.
	d = newColdDestination()
	for i := range 10 {
		d.recordArrival(micros(100), min(i/4, 1))
	}
	if d.mostlyInformed() {
		t.Error("mostly informed with six of ten")
	}
	d.recentArrivals[0].informed = true
	if !d.mostlyInformed() {
		t.Error("not mostly informed with seven of ten")
	}
	for range 1000 { // warm
		if d.recordArrival(micros(110), 0) {
			t.Fatal("a warm destination relapses")
		}
	}
}

// newSingleSenderFleet returns a fleet of one sender and one destination with one endpoint, run up to 1 s. Without
// jitter a round trip takes 1 ms.
func newSingleSenderFleet(t *testing.T) (*fleet, *sender) {
	t.Helper()
	sc := Default()
	sc.Fleet.Senders, sc.Destinations.Count, sc.Destinations.Endpoints, sc.Classes = 1, 1, 1, []ClassConfig{defaultClass}
	sc.Destinations.ReportsLoad, sc.Destinations.Sigma, sc.Network.Jitter = true, 0, 0
	sc.Destinations.RefusalStatus, sc.Destinations.RetryAfter = "429", seconds(0.3)
	f := newFleet(&sc)
	f.discovery.sendFullList(f.senders[0])
	f.senders[0].appliedGeneration = f.senders[0].agentGeneration
	f.senders[0].start()
	for f.runNext(logic.Second) {
	}
	return f, f.senders[0]
}

// firstResult submits a message and returns the first outcome that the sender's module gets for it.
func firstResult(t *testing.T, f *fleet, s *sender, during func()) logic.AttemptResult {
	t.Helper()
	f.messageCount++
	f.stats.Offered++
	f.submit(s, &clientMessage{number: f.messageCount, createdAt: f.now})
	for f.runNext(f.now + 20*logic.Second) {
		if during != nil && len(f.endpoints[0].serving) > 0 {
			during()
			during = nil
		}
		for _, ev := range s.pendingEvents {
			if r, ok := ev.(logic.AttemptResult); ok {
				return r
			}
		}
	}
	t.Fatal("no outcome")
	return logic.AttemptResult{}
}

// The outcomes match the table in section "Senders to endpoints" of the protocol document.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		outageMode string // empty for no outage
		idleConn   bool   // the call reuses an idle connection
		setup      func(*fleet)
		during     func(*fleet) // runs while the endpoint processes the call
		want       logic.Outcome
		took       logic.Micros // -1 if it is not checked
		retryAfter logic.Micros
		load       int // number of load figures
	}{
		// Connecting takes 1 + 5 ms, the round trip 1 ms and the service 40 ms.
		{name: "served", want: logic.Delivered, took: 47_000, load: 2},
		{name: "served, idle connection", idleConn: true, want: logic.Delivered, took: 41_000, load: 2},
		{name: "refused", outageMode: outageRefused, want: logic.ConnRefused, took: 1000},
		{name: "503", outageMode: outageUnavailable, want: logic.Refused, took: 7000, load: 2},
		{name: "503, idle connection", outageMode: outageUnavailable, idleConn: true,
			want: logic.Refused, took: 1000, load: 2},
		{name: "unresponsive", outageMode: outageUnresponsive, want: logic.ConnRefused, took: 1500_000},
		{name: "unresponsive, idle connection", outageMode: outageUnresponsive, idleConn: true,
			want: logic.Cancelled, took: -1},
		{name: "over the limit", setup: func(f *fleet) {
			f.destinations[0].bucket = tokenBucket{capacity: 1, refilledAt: f.now}
			f.destinations[0].limitFactor = 1e-3
		},
			want: logic.Refused, took: 7000, retryAfter: 300_000, load: 2},
		{name: "connection limit", setup: func(f *fleet) {
			f.scenario.Destinations.MaxConnections, f.endpoints[0].connCount = 1, 1
		}, want: logic.Refused, took: 6000},
		{name: "process killed during the call", during: func(f *fleet) {
			f.startOutage(f.destinations[0], outageRefused, logic.Second)
		}, want: logic.ConnLost, took: 7000},
		{name: "machine lost during the call", during: func(f *fleet) {
			f.failMachines([]*machine{f.endpoints[0].machine}, 30*logic.Second)
		}, want: logic.Cancelled, took: -1},
	} {
		f, s := newSingleSenderFleet(t)
		if tc.idleConn {
			firstResult(t, f, s, nil)
			for f.runNext(f.now + logic.Second) {
			}
		}
		if tc.setup != nil {
			tc.setup(f)
		}
		if tc.outageMode != "" {
			f.startOutage(f.destinations[0], tc.outageMode, 60*logic.Second)
		}
		during := func() {}
		if tc.during != nil {
			during = func() { tc.during(f) }
		}
		r := firstResult(t, f, s, during)
		if r.Outcome != tc.want || r.RetryAfter != tc.retryAfter || len(r.Load) != tc.load ||
			tc.took >= 0 && r.Latency != tc.took {
			t.Errorf("%s: %+v, want outcome %d after %d with a requested wait of %d",
				tc.name, r, tc.want, tc.took, tc.retryAfter)
		}
	}
}

// Eight zones are assigned to three regions in order.
func TestTopology(t *testing.T) {
	sc := Default()
	sc.Fleet.Zones, sc.Fleet.Regions, sc.Network.Jitter = 8, 3, 0
	top := newTopology(&sc)
	for zone, want := range []int{0, 0, 0, 1, 1, 1, 2, 2} {
		if got := top.region(zone); got != want {
			t.Errorf("zone %d lies in region %d, want %d", zone, got, want)
		}
	}
	r := newRand(1, "test", 0)
	for _, tc := range []struct {
		a, b int
		want logic.Micros
	}{{1, 1, 500}, {0, 2, 1000}, {2, 3, 40_000}} {
		if got := top.delay(tc.a, tc.b, r); got != tc.want {
			t.Errorf("from zone %d to %d: %d us, want %d", tc.a, tc.b, got, tc.want)
		}
	}
	top.cutUntil[linkKey(2, 0)] = 50
	if top.reachable(7, 0, 49) || top.reachable(0, 7, 49) || !top.reachable(0, 7, 50) ||
		!top.reachable(0, 3, 49) || !top.reachable(6, 7, 49) {
		t.Error("the cut does not affect exactly its two regions, or does not end on time")
	}
}

// The list sizes are those of the JSON in the protocol document.
func TestListBytes(t *testing.T) {
	f, s := newSingleSenderFleet(t)
	const full = `{"generation":1,"reset":true,"instances":[{"instanceId":"s-00000000","hostPort":"10.0.0.0:6379","zone":"z0",` +
		`"machineType":"hollow","cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}]}`
	if s.listBytes.Full != int64(len(full)) {
		t.Errorf("full list of %d bytes, want %d", s.listBytes.Full, len(full))
	}
	for f.runNext(13 * logic.Second) { // three watches of 4 s have ended
	}
	if want := 3 * len(`{"generation":1,"reset":false,"instances":[]}`); s.listBytes.Empty != int64(want) {
		t.Errorf("%d bytes of answers without changes, want %d", s.listBytes.Empty, want)
	}
	f.discovery.replaceEndpoint()
	for f.runNext(20 * logic.Second) {
	}
	const change = `{"generation":2,"reset":false,"instances":[{"instanceId":"s-00000000","hostPort":"10.0.0.0:6379","zone":"z0",` +
		`"machineType":"hollow","cell":0,"lifecycle":"draining","weight":1,"startedAtMs":0},` +
		`{"instanceId":"s-00000001","hostPort":"10.0.0.1:6379","zone":"z0",` +
		`"machineType":"hollow","cell":0,"lifecycle":"up","weight":1,"startedAtMs":13000}]}`
	if s.listBytes.Changes != int64(len(change)) {
		t.Errorf("changes of %d bytes, want %d", s.listBytes.Changes, len(change))
	}
	if r := firstResult(t, f, s, nil); r.Outcome != logic.Delivered || s.directory.Addr(r.Endpoint) != "10.0.0.1:6379" {
		t.Errorf("after the change: %+v", r)
	}
	for f.runNext(40 * logic.Second) {
	}
	// Each change is applied after the network delay, the spread (2 s at most) and the rest of a tick (5 ms at most).
	if p := f.discovery.propagation(); p.Changes != 2 || p.Pending != 0 || p.Max <= 0 || p.Max > 2.006 {
		t.Errorf("propagation: %+v", p)
	}
}

// The messages of clients do not change when other components of the model, such as faults, are removed.
func TestRandomStreamsAreIndependent(t *testing.T) {
	a, sc := mustRun(t, smallScenario()), smallScenario()
	sc.Faults, sc.Fleet.RestartsPerDay, sc.Fleet.LossesPerDay, sc.Discovery.ChangesPerDay, sc.Destinations.DownShare =
		nil, 0, 0, 0, 0
	b := mustRun(t, sc)
	if a.Offered != b.Offered {
		t.Errorf("%d messages offered with faults, %d without", a.Offered, b.Offered)
	}
	// Poisson with 60 per second for 20 s; the tolerance is five standard deviations.
	if x := math.Abs(float64(b.Offered) - 1200); x > 5*math.Sqrt(1200) {
		t.Errorf("%d messages offered, want about 1200", b.Offered)
	}
	if b.IntoOutages != 0 || b.Outages != b.Relapses || b.ListBytes.Changes != 0 {
		t.Errorf("faults in a scenario without faults: %+v", b)
	}
}

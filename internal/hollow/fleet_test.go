package hollow

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"rundeal/logic"
)

// smallScenario is a short scenario with restarts, lost machines, all outage modes, list changes, a failed zone and
// a cut link between regions.
func smallScenario() *Scenario {
	sc := Default()
	sc.Duration, sc.Drain, sc.Day = seconds(20), seconds(16), seconds(20)
	sc.Fleet.Senders, sc.Fleet.Regions, sc.Fleet.Zones, sc.Fleet.RestartsPerDay, sc.Fleet.LossesPerDay = 6, 2, 3, 8, 3
	sc.Traffic.Rate, sc.Traffic.Popularity = 60, "zipf"
	sc.Classes = []ClassConfig{
		defaultClass,
		{
			Name:          "keyed",
			Share:         0.5,
			TargetLatency: seconds(1),
			Deadline:      seconds(8),
			Value:         1,
			Idempotency:   "keyed",
			DedupWindow:   seconds(6),
		},
		{
			Name:          "unsafe",
			Share:         0.5,
			TargetLatency: seconds(1),
			Deadline:      seconds(8),
			Value:         1,
			Idempotency:   "unsafe",
		},
	}
	sc.Destinations.Count, sc.Destinations.Rate, sc.Destinations.ReportsLoad, sc.Destinations.DownShare = 6, 20, true, 0.1
	sc.Destinations.RefusalStatus, sc.Destinations.RetryAfter, sc.Destinations.OutageMode = "429", seconds(0.3), "mixed"
	sc.Destinations.MaxConnections, sc.Destinations.MeanOutage = 8, seconds(3)
	sc.Discovery.ChangesPerDay, sc.Discovery.DrainTime = 10, seconds(3)
	sc.Faults = []FaultConfig{{Kind: faultZone, At: seconds(8), Duration: seconds(3), First: 1, Count: 1},
		{Kind: faultLink, At: seconds(12), Duration: seconds(4), OtherRegion: 1, Count: 1}}
	return &sc
}

func mustRun(t interface{ Fatal(...any) }, sc *Scenario) *Report {
	report, err := Run(context.Background(), sc, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestSameSeedSameRun(t *testing.T) {
	a, b := mustRun(t, smallScenario()), mustRun(t, smallScenario())
	a.Host, b.Host = HostUsage{}, HostUsage{}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", a, b)
	}
	if a.Delivered == 0 || a.Restarts == 0 || a.Losses == 0 || a.IntoOutages == 0 || a.Propagation.Changes == 0 {
		t.Errorf("the run lacks one of deliveries, restarts, losses, calls into outages and list changes: %+v", a)
	}
	sc := smallScenario()
	sc.Seed++
	if c := mustRun(t, sc); c.Digest == a.Digest {
		t.Errorf("same digest %s for two seeds", c.Digest)
	}
}

// Whatever fails, each message ends exactly once or is still held, and none is held once the longest deadline has
// passed. A message that ends twice makes the run return an error.
func TestEachMessageEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := smallScenario()
		sc.Seed = rapid.Uint64().Draw(t, "seed")
		sc.Duration, sc.Day = seconds(6), seconds(6)
		withoutDrain := rapid.Bool().Draw(t, "without drain")
		if withoutDrain {
			sc.Drain = Duration{}
		}
		sc.Fleet.Senders = rapid.IntRange(1, 20).Draw(t, "senders")
		sc.Fleet.MaxOpen = rapid.SampledFrom([]int{0, 5, 2000}).Draw(t, "max_open")
		sc.Fleet.RestartsPerDay = rapid.Float64Range(0, 30).Draw(t, "restarts")
		sc.Fleet.LossesPerDay = rapid.Float64Range(0, 10).Draw(t, "losses")
		sc.Destinations.Rate = rapid.Float64Range(2, 60).Draw(t, "rate")
		sc.Destinations.MaxConnections = rapid.IntRange(0, 8).Draw(t, "connections")
		sc.Destinations.DownShare = rapid.Float64Range(0, 0.5).Draw(t, "down")
		sc.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) FaultConfig {
			fault := FaultConfig{Kind: rapid.SampledFrom(faultKinds).Draw(t, "what"),
				At:       Duration{logic.Micros(rapid.IntRange(0, 6e6).Draw(t, "at"))},
				Duration: Duration{logic.Micros(rapid.IntRange(1, 4e6).Draw(t, "for"))}, Count: 1, Factor: 0.2}
			fault.OutageMode = rapid.SampledFrom(outageModes).Draw(t, "how")
			if fault.Kind == faultLink {
				fault.OtherRegion = 1
			}
			return fault
		}), 0, 4).Draw(t, "faults")
		r := mustRun(t, sc)
		if sum := r.Delivered + r.Returned + r.Failed + r.Held; sum != r.Offered {
			t.Fatalf("%d messages offered, %d accounted for: %+v", r.Offered, sum, r.Counts)
		}
		if !withoutDrain && r.Held != 0 {
			t.Fatalf("%d messages held after the longest deadline", r.Held)
		}
	})
}

// A killed process leaves its journal, so that after the restart its messages are sent again and an attempt whose
// outcome is unknown still counts as one that may have run. A message not yet in the journal goes back to its client.
func TestRestartKeepsJournal(t *testing.T) {
	sc := Default()
	sc.Fleet.Senders, sc.Destinations.Count, sc.Classes = 1, 1, []ClassConfig{defaultClass}
	f := newFleet(&sc)
	s := f.senders[0]
	f.discovery.sendFullList(s)
	s.appliedGeneration = s.agentGeneration
	s.start()
	for f.runNext(logic.Second) {
	}
	f.stats.Offered = 2
	first := &clientMessage{number: 1, createdAt: f.now}
	f.submit(s, first)
	f.runNext(f.now) // runs the step
	m := s.messages["1-0"]
	if m == nil || m.call == nil {
		t.Fatal("the message has no call in progress")
	}
	second := &clientMessage{number: 2, createdAt: f.now}
	f.submit(s, second)
	f.restartSender(s)
	if s.up || m.call != nil || !m.mayHaveRun || s.messages["1-0"] != m {
		t.Errorf("after the kill: up %v, %+v", s.up, m)
	}
	if s.messages["2-0"] != nil || f.stats.withClients != 1 {
		t.Error("the message that was not accepted is not with its client")
	}
	for f.runNext(5 * logic.Second) {
	}
	if !first.ended || !second.ended || f.stats.Delivered != 2 {
		t.Errorf("%d delivered of 2", f.stats.Delivered)
	}
}

func TestInterruptedRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := Run(ctx, smallScenario(), Options{})
	if err != nil || !r.Interrupted || r.Offered != r.Delivered+r.Returned+r.Failed+r.Held {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestMemoryLimit(t *testing.T) {
	sc := Default()
	sc.Fleet.Senders, sc.Destinations.Count, sc.Classes = 580, 35_000, []ClassConfig{defaultClass}
	if _, err := Run(context.Background(), &sc, Options{MemoryMB: 12_000}); err == nil {
		t.Error("a run with an estimate of 70 GB was accepted with a limit of 12 GB")
	}
	sc.Fleet.Senders = -1
	var fieldErr *FieldError
	if _, err := Run(context.Background(), &sc, Options{}); !errors.As(err, &fieldErr) ||
		fieldErr.Field != "fleet.senders" {
		t.Errorf("error %v", err)
	}
}

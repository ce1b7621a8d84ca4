package logic

import (
	"fmt"
	"slices"
	"testing"
)

// deploymentVariants are different deployments; each must keep the rules for sending under random outcomes. The names
// "ordered" and "batches" are part of file names in testdata.
func deploymentVariants() map[string]Settings {
	vary := func(f func(*Settings)) Settings { s := baseSettings(); f(&s); return s }
	return map[string]Settings{
		"plain":     baseSettings(),
		"one class": vary(func(s *Settings) { s.Classes = s.Classes[2:] }),
		"tenants": vary(func(s *Settings) {
			s.Tenants = []Tenant{{"x", 2}, {"y", 1}, {"z", 0}}
			s.OverQuotaValue = 0.2
		}),
		"zones": vary(func(s *Settings) { s.Zones, s.Zone = 2, 1; s.Classes[1].DedupPerZone = true }),
		"ordered": vary(func(s *Settings) {
			s.KeyCooldown = Second
			s.Classes[0].KeepOrder, s.Classes[2].KeepOrder = true, true
		}),
		"batches": vary(func(s *Settings) { s.Kinds[0].MaxBatch = 10 }),
		"second copies": vary(func(s *Settings) {
			s.Kinds[0].MaxBatch, s.MaxCallBytes, s.SecondCopies = 10, 1000, true
			s.KeyCooldown, s.Classes[0].KeepOrder = Second, true
		}),
		"separate routes": vary(func(s *Settings) {
			s.Kinds = []DestinationKind{{Name: "k", SeparateRoutes: true, MaxBatch: 1}, {Name: "l", MaxBatch: 3}}
		}),
		"weights":             vary(func(s *Settings) { s.Weights = WeightsNominal }),
		"approximate weights": vary(func(s *Settings) { s.Weights = WeightsApproximate }),
		"probing":             vary(func(s *Settings) { s.Probing, s.ExponentialDecay = true, true }),
		"list on request":     vary(func(s *Settings) { s.ListOnRequest = true }),
		"one slot":            vary(func(s *Settings) { s.CallSlots = 1 }),
		"low MaxOpen":         vary(func(s *Settings) { s.MaxOpen = 3 }),
		"no retry advice":     vary(func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = false, 0 }),
		"no cancel":           vary(func(s *Settings) { s.MayCancel = false }),
		"load reports":        vary(func(s *Settings) { s.LoadRemainingIndex, s.LoadLimitIndex = 0, 1; s.Senders = 9 }),
		"many senders":        vary(func(s *Settings) { s.LoadRemainingIndex, s.LoadLimitIndex = 0, 1; s.Senders = 80 }),
		"no limits":           vary(func(s *Settings) { s.MaxOpen, s.MaxAttempts, s.CallSlots = 0, 0, 40 }),
		"short tick":          vary(func(s *Settings) { s.Tick = 1000; s.DrainGrace = 0 }),
	}
}

func TestRulesUnderRandomOutcomes(t *testing.T) {
	for name, cfg := range deploymentVariants() {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				newSimulation(t, cfg, seed).play()
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for _, name := range []string{"separate routes", "zones", "load reports"} {
		a, b := newSimulation(t, deploymentVariants()[name], 3), newSimulation(t, deploymentVariants()[name], 3)
		a.play()
		b.play()
		if !slices.Equal(a.trace, b.trace) {
			t.Errorf("%s: the same events produced different actions", name)
		}
		if len(a.trace) < 100 {
			t.Errorf("%s: only %d actions", name, len(a.trace))
		}
	}
}

func TestNamesDoNotAffectActions(t *testing.T) {
	cfg := deploymentVariants()["tenants"]
	a := newSimulation(t, cfg, 5)
	a.play()
	for i := range cfg.Classes {
		cfg.Classes[i].Name = fmt.Sprint("zebra-", i)
	}
	cfg.Tenants = []Tenant{{"q", 2}, {"", 1}, {"other", 0}}
	cfg.Kinds[0].Name = "renamed"
	b := newSimulation(t, cfg, 5)
	b.play()
	if !slices.Equal(a.trace, b.trace) {
		t.Error("renaming changed the actions")
	}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for want, f := range map[string]func(*Settings){
		"Classes": func(s *Settings) { s.Classes = nil }, "Senders": func(s *Settings) { s.Senders = 0 },
		"Zone": func(s *Settings) { s.Zone = 4 }, "CallSlots": func(s *Settings) { s.CallSlots = -1 },
		"MaxOpen": func(s *Settings) { s.MaxOpen = -1 }, "MaxAttempts": func(s *Settings) { s.MaxAttempts = -2 },
		"ColdCapacity": func(s *Settings) { s.ColdCapacity = 2 }, "Classes[1]": func(s *Settings) { s.Classes[1].Deadline = 0 },
		"Kinds[0]": func(s *Settings) { s.Kinds[0].MaxBatch = -1 }, "Tick": func(s *Settings) { s.Tick = -1 },
	} {
		cfg := baseSettings()
		f(&cfg)
		if _, err := New(cfg, 1); err == nil || err.Error() != "settings: "+want+" is invalid" {
			t.Errorf("%s: got error %v", want, err)
		}
	}
}

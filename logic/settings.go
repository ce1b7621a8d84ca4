package logic

import "fmt"

// validate returns an error that names the first invalid setting.
func validate(cfg *Settings) error {
	invalid := func(field string) error { return fmt.Errorf("settings: %s is invalid", field) }
	switch {
	case len(cfg.Classes) == 0:
		return invalid("Classes")
	case cfg.Senders < 1:
		return invalid("Senders")
	case cfg.Zones < 0 || cfg.Zone < 0 || cfg.Zone >= max(cfg.Zones, 1):
		return invalid("Zone")
	case cfg.CallSlots < 0:
		return invalid("CallSlots")
	case cfg.MaxOpen < 0:
		return invalid("MaxOpen")
	case cfg.MaxAttempts < 0:
		return invalid("MaxAttempts")
	case cfg.Tick < 0:
		return invalid("Tick")
	case cfg.MaxRetryAfter < 0:
		return invalid("MaxRetryAfter")
	case cfg.DrainGrace < 0 || cfg.KeyCooldown < 0 || cfg.OverloadWindow < 0 || cfg.WarmupTime < 0:
		return invalid("DrainGrace, KeyCooldown, OverloadWindow or WarmupTime")
	case cfg.OverloadMultiple < 0:
		return invalid("OverloadMultiple")
	case cfg.ColdCapacity < 0 || cfg.ColdCapacity > 1:
		return invalid("ColdCapacity")
	}
	for i, c := range cfg.Classes {
		if c.Deadline <= 0 || min(c.TargetLatency, c.DedupWindow) < 0 || min(c.Value, c.LateValue) < 0 ||
			c.Idempotency < Idempotent || c.Idempotency > NonIdempotent {
			return invalid(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, t := range cfg.Tenants {
		if t.QuotaRPS < 0 {
			return invalid(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, k := range cfg.Kinds {
		if k.MaxBatch < 0 {
			return invalid(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}

package logic

import "fmt"

// validate returns an error that names the first invalid setting.
func validate(set *Settings) error {
	invalid := func(field string) error { return fmt.Errorf("settings: %s is invalid", field) }
	switch {
	case len(set.Classes) == 0:
		return invalid("Classes")
	case set.Senders < 1:
		return invalid("Senders")
	case set.Zones < 0 || set.Zone < 0 || set.Zone >= max(set.Zones, 1):
		return invalid("Zone")
	case set.CallSlots < 0:
		return invalid("CallSlots")
	case set.MaxOpen < 0:
		return invalid("MaxOpen")
	case set.MaxAttempts < 0:
		return invalid("MaxAttempts")
	case set.Tick < 0:
		return invalid("Tick")
	case set.MaxRetryAfter < 0:
		return invalid("MaxRetryAfter")
	case set.DrainGrace < 0 || set.KeyCooldown < 0 || set.OverloadWindow < 0 || set.WarmupTime < 0:
		return invalid("DrainGrace, KeyCooldown, OverloadWindow or WarmupTime")
	case set.OverloadMultiple < 0:
		return invalid("OverloadMultiple")
	case set.ColdCapacity < 0 || set.ColdCapacity > 1:
		return invalid("ColdCapacity")
	}
	for i, c := range set.Classes {
		if c.Deadline <= 0 || min(c.TargetLatency, c.DedupWindow) < 0 || min(c.Value, c.LateValue) < 0 ||
			c.Idempotency < Idempotent || c.Idempotency > NonIdempotent {
			return invalid(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, t := range set.Tenants {
		if t.QuotaRPS < 0 {
			return invalid(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, k := range set.Kinds {
		if k.MaxBatch < 0 {
			return invalid(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}

package main

// class is one class of messages in the settings.
type class struct {
	name      string
	effect    string // retryable or fragile
	aimS      float64
	deadlineS float64
	worth     float64
}

// classes are those of a small deployment.
var classes = []class{
	{name: "status", effect: "retryable", aimS: 1.5, deadlineS: 8, worth: 1},
	{name: "charge", effect: "fragile", aimS: 2, deadlineS: 16, worth: 2},
}

// options are the settings in which the cases differ.
type options struct {
	batch int // messages in one call at most
	slots int // calls out at once
}

// settings returns the settings of a small deployment, in the form of the sender's configuration.
func (o options) settings() map[string]any {
	var list []any
	for _, c := range classes {
		list = append(list, map[string]any{
			"name": c.name, "idempotency": c.effect, "group": "all", "window_s": 5.0, "stream": false,
			"aim_s": c.aimS, "deadline_s": c.deadlineS, "worth": c.worth, "late_worth": 0.1,
		})
	}
	return map[string]any{
		"balancers": 2, "me": 0, "tier": 0, "layers": []string{"partners"},
		"zone": 0, "zones": []string{"a"}, "tick_s": 0.005, "membership_mode": "pushed", "weights": "off",
		"kind_of_service": "deliver", "counted_by": "request", "over_share_worth": 0.1,
		"machine_types": []string{"bulk"}, "classes": list, "tenants": []any{},
		"limits": map[string]any{
			"conn_idle_s": 10.0, "connect_timeout_s": 1.5, "max_attempts": 8, "max_open": 416,
			"max_retry_after_s": 3.0, "may_cancel": true, "multiplex": 1, "peers": true, "probing": true,
			"retry_after": true, "second_copies": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
		},
		"load_info": map[string]any{"how": "off", "names": []string{}},
		"charges":   map[string]any{"handshake": 0.06},
		"rules": map[string]any{
			"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_from": 0.15, "drain_grace_s": 1.0,
			"fall_multiple": 2.5, "fall_s": 3.0, "warm_after_s": 9.5,
		},
		"specifics": map[string]any{
			"batch_by_kind": []int{o.batch}, "call_slots": o.slots, "late": "halves", "separate_routes": []bool{false},
		},
	}
}

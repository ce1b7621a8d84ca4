package main

// class is a class of the settings.
type class struct {
	name        string
	aim         float64 // seconds
	deadline    float64 // seconds
	worth       float64
	idempotency string
	keepOrder   bool
}

// The classes of the deployment.
var (
	statusClass = class{name: "status", aim: 1.5, deadline: 8, worth: 1, idempotency: "retryable"}
	chargeClass = class{name: "charge", aim: 2, deadline: 16, worth: 2, idempotency: "fragile"}
)

// deployment are the settings of a small deployment like reykjavik-swap. Cases change what they need.
type deployment struct {
	senders      int
	classes      []class
	callSlots    int
	maxOpen      int
	batch        int // messages in one call, for the kind fleet-bulk
	secondCopies bool
	reports      bool    // answers carry load reports
	keyQuiet     float64 // seconds that a key rests; 0 where no class keeps order
}

func newDeployment() deployment {
	return deployment{
		senders:      2,
		classes:      []class{statusClass, chargeClass},
		callSlots:    13,
		maxOpen:      416,
		batch:        10,
		secondCopies: true,
	}
}

// zone is the zone of all senders and endpoints.
const zone = "hafnarfjordur"

// The kinds of destination.
const (
	kindBulk    = "fleet-bulk"
	kindGeneral = "general"
)

// The figures of the rule on fail-back in the settings.
const (
	coldFrom     = 0.15
	fallMultiple = 2.5
	fallSeconds  = 3.0
	warmSeconds  = 9.5
)

// settings returns the object that the configuration of a sender holds.
func (d deployment) settings(number int) map[string]any {
	var classes []map[string]any
	for _, c := range d.classes {
		entry := map[string]any{
			"name": c.name, "aim_s": c.aim, "deadline_s": c.deadline, "worth": c.worth, "late_worth": 0.1,
			"idempotency": c.idempotency, "group": "all", "window_s": 5.0, "stream": false,
		}
		if c.keepOrder {
			entry["keep_order"] = true
		}
		classes = append(classes, entry)
	}
	loadInfo := map[string]any{"how": "off", "names": []string{}}
	if d.reports {
		loadInfo = map[string]any{"how": "inline", "names": []string{"x0", "x1"}}
	}
	rules := map[string]any{
		"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_from": coldFrom, "drain_grace_s": 1.0,
		"fall_multiple": fallMultiple, "fall_s": fallSeconds, "warm_after_s": warmSeconds,
	}
	if d.keyQuiet > 0 {
		rules["key_quiet_s"] = d.keyQuiet
	}
	return map[string]any{
		"balancers": d.senders, "me": number, "tier": 0, "zone": 0, "zones": []string{zone}, "tick_s": 0.005,
		"kind_of_service": "deliver", "membership_mode": "pushed", "weights": "off", "over_share_worth": 0.1,
		"machine_types": []string{kindBulk, kindGeneral}, "classes": classes, "tenants": []any{},
		"charges":   map[string]any{"handshake": 0.06},
		"load_info": loadInfo,
		"limits": map[string]any{
			"conn_idle_s": 10.0, "connect_timeout_s": 1.5, "max_attempts": 8, "max_open": d.maxOpen,
			"max_retry_after_s": 3.0, "may_cancel": true, "multiplex": 1, "peers": false, "probing": true,
			"retry_after": true, "second_copies": d.secondCopies,
		},
		"rules": rules,
		"specifics": map[string]any{
			"batch_by_kind": []int{d.batch, 1}, "call_slots": d.callSlots, "late": "halves",
			"separate_routes": []bool{false, false},
		},
	}
}

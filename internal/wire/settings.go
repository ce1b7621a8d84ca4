package wire

import (
	"encoding/json"
	"fmt"
	"math"

	"rundeal/logic"
)

// settingsJSON is the JSON object that an instance is started with. Unknown keys
// are ignored.
type settingsJSON struct {
	Senders        int      `json:"balancers"`
	Zone           int      `json:"zone"`
	Zones          []string `json:"zones"`
	TickSeconds    float64  `json:"tick_s"`
	MembershipMode string   `json:"membership_mode"`
	SenderNumber   int      `json:"me"`
	Weights        string   `json:"weights"`
	OverQuotaValue float64  `json:"over_share_worth"`
	Classes        []struct {
		Name                 string  `json:"name"`
		TargetLatencySeconds float64 `json:"aim_s"`
		DeadlineSeconds      float64 `json:"deadline_s"`
		Value                float64 `json:"worth"`
		LateValue            float64 `json:"late_worth"`
		Idempotency          string  `json:"idempotency"`
		DedupGroup           string  `json:"group"`
		DedupWindowSeconds   float64 `json:"window_s"`
		KeepOrder            bool    `json:"keep_order"`
	} `json:"classes"`
	Tenants []struct {
		Name     string  `json:"name"`
		QuotaRPS float64 `json:"quota_rps"`
	} `json:"tenants"`
	MachineTypes []string `json:"machine_types"`
	Limits       struct {
		MaxAttempts            int     `json:"max_attempts"`
		MaxOpen                int     `json:"max_open"`
		ConnIdleTimeoutSeconds float64 `json:"conn_idle_s"`
		ConnectTimeoutSeconds  float64 `json:"connect_timeout_s"`
		CallsPerConn           int     `json:"multiplex"`
		MaxRetryAfterSeconds   float64 `json:"max_retry_after_s"`
		MayCancel              bool    `json:"may_cancel"`
		Probing                bool    `json:"probing"`
		RetryAfter             bool    `json:"retry_after"`
		SecondCopies           bool    `json:"second_copies"`
	} `json:"limits"`
	Charges struct {
		ConnCost float64 `json:"handshake"`
	} `json:"charges"`
	LoadInfo struct {
		Mode  string   `json:"how"`
		Names []string `json:"names"`
	} `json:"load_info"`
	Rules struct {
		DrainGraceSeconds     float64 `json:"drain_grace_s"`
		OverloadMultiple      float64 `json:"fall_multiple"`
		OverloadWindowSeconds float64 `json:"fall_s"`
		ColdCapacity          float64 `json:"cold_from"`
		WarmupSeconds         float64 `json:"warm_after_s"`
		KeyCooldownSeconds    float64 `json:"key_quiet_s"`
	} `json:"rules"`
	Specifics struct {
		CallSlots      int    `json:"call_slots"`
		LateDecay      string `json:"late"`
		MaxBatchByKind []int  `json:"batch_by_kind"`
		SeparateRoutes []bool `json:"separate_routes"`
	} `json:"specifics"`
}

var idempotencyByName = map[string]logic.Idempotency{
	"retryable": logic.Idempotent,
	"dedup":     logic.IdempotentByKey,
	"fragile":   logic.NonIdempotent,
}

var weightsModeByName = map[string]logic.WeightsMode{
	"":        logic.WeightsOff,
	"off":     logic.WeightsOff,
	"nominal": logic.WeightsNominal,
	"rough":   logic.WeightsApproximate,
	"live":    logic.WeightsApproximate,
}

// secondsToMicros converts seconds to microseconds, rounded to the nearest.
func secondsToMicros(s float64) logic.Micros {
	return logic.Micros(math.Round(s * float64(logic.Second)))
}

// Deployment holds what the JSON object with the settings contains: the settings of
// the decision module, and values that only the program around it needs.
type Deployment struct {
	Settings        logic.Settings
	SenderNumber    int      // number of this sender
	Zones           []string // zone names, indexed by logic.EndpointEntry.Zone
	ConnectTimeout  logic.Micros
	LoadMetricNames []string // indexed as logic.AttemptResult.Load; nil if endpoints report no load
}

// ParseSettings parses the module's settings from the JSON object of a create
// event. It does not validate the values; logic.New does.
func ParseSettings(text []byte) (logic.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Settings, err
}

// ParseDeployment parses the whole JSON object with the settings.
func ParseDeployment(text []byte) (Deployment, error) {
	var in settingsJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return Deployment{}, err
	}
	settings, err := in.toSettings()
	deployment := Deployment{
		Settings:       settings,
		SenderNumber:   in.SenderNumber,
		Zones:          in.Zones,
		ConnectTimeout: secondsToMicros(in.Limits.ConnectTimeoutSeconds),
	}
	if in.LoadInfo.Mode != "off" {
		deployment.LoadMetricNames = in.LoadInfo.Names
	}
	return deployment, err
}

func (in *settingsJSON) toSettings() (logic.Settings, error) {
	out := logic.Settings{
		Senders:            in.Senders,
		Zone:               in.Zone,
		Zones:              len(in.Zones),
		CallSlots:          in.Specifics.CallSlots,
		ConnIdleTimeout:    secondsToMicros(in.Limits.ConnIdleTimeoutSeconds),
		CallsPerConn:       in.Limits.CallsPerConn,
		ConnCost:           in.Charges.ConnCost,
		MaxOpen:            in.Limits.MaxOpen,
		MaxAttempts:        in.Limits.MaxAttempts,
		Tick:               secondsToMicros(in.TickSeconds),
		ListOnRequest:      in.MembershipMode == "on_request",
		Probing:            in.Limits.Probing,
		MayCancel:          in.Limits.MayCancel,
		SecondCopies:       in.Limits.SecondCopies,
		RetryAfter:         in.Limits.RetryAfter,
		ExponentialDecay:   in.Specifics.LateDecay == "halves",
		MaxRetryAfter:      secondsToMicros(in.Limits.MaxRetryAfterSeconds),
		OverQuotaValue:     in.OverQuotaValue,
		DrainGrace:         secondsToMicros(in.Rules.DrainGraceSeconds),
		OverloadMultiple:   in.Rules.OverloadMultiple,
		OverloadWindow:     secondsToMicros(in.Rules.OverloadWindowSeconds),
		ColdCapacity:       in.Rules.ColdCapacity,
		WarmupTime:         secondsToMicros(in.Rules.WarmupSeconds),
		KeyCooldown:        secondsToMicros(in.Rules.KeyCooldownSeconds),
		LoadRemainingIndex: -1,
		LoadLimitIndex:     -1,
	}
	mode, ok := weightsModeByName[in.Weights]
	if !ok {
		return out, fmt.Errorf("weights: unknown value %q", in.Weights)
	}
	out.Weights = mode
	for i, class := range in.Classes {
		idempotency, ok := idempotencyByName[class.Idempotency]
		if !ok {
			return out, fmt.Errorf("classes[%d].idempotency: unknown value %q", i, class.Idempotency)
		}
		out.Classes = append(out.Classes, logic.Class{
			Name:          class.Name,
			TargetLatency: secondsToMicros(class.TargetLatencySeconds),
			Deadline:      secondsToMicros(class.DeadlineSeconds),
			Value:         class.Value,
			LateValue:     class.LateValue,
			Idempotency:   idempotency,
			DedupPerZone:  class.DedupGroup != "all" && class.DedupGroup != "",
			DedupWindow:   secondsToMicros(class.DedupWindowSeconds),
			KeepOrder:     class.KeepOrder,
		})
	}
	for _, tenant := range in.Tenants {
		out.Tenants = append(out.Tenants, logic.Tenant{Name: tenant.Name, QuotaRPS: tenant.QuotaRPS})
	}
	for i, name := range in.MachineTypes {
		kind := logic.DestinationKind{Name: name, MaxBatch: 1}
		if i < len(in.Specifics.MaxBatchByKind) {
			kind.MaxBatch = in.Specifics.MaxBatchByKind[i]
		}
		if i < len(in.Specifics.SeparateRoutes) {
			kind.SeparateRoutes = in.Specifics.SeparateRoutes[i]
		}
		out.Kinds = append(out.Kinds, kind)
	}
	if in.LoadInfo.Mode != "off" {
		for i, name := range in.LoadInfo.Names {
			switch name {
			case "x0":
				out.LoadRemainingIndex = i
			case "x1":
				out.LoadLimitIndex = i
			}
		}
	}
	return out, nil
}

package hollow

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"rundeal/logic"
)

// Duration is a number of microseconds, written as 12s or 350ms in scenario files. A number without a unit is an error.
type Duration struct{ logic.Micros }

// UnmarshalText parses a non-negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration: want one like 12s or 350ms", text)
	}
	d.Micros = logic.Micros(parsed / time.Microsecond)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return (time.Duration(d.Micros) * time.Microsecond).String() }

// Scenario describes a run. Fields that a file leaves out have the values of [Default].
type Scenario struct {
	Title    string   `toml:"title"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"` // clients submit messages for this long
	Drain    Duration `toml:"drain"`    // the run continues for this long afterwards
	Day      Duration `toml:"day"`      // length of a day, for the rates per day

	Fleet        FleetConfig        `toml:"fleet"`
	Traffic      TrafficConfig      `toml:"traffic"`
	Classes      []ClassConfig      `toml:"class"`
	Destinations DestinationsConfig `toml:"destinations"`
	Recovery     RecoveryConfig     `toml:"cold"`
	Discovery    DiscoveryConfig    `toml:"discovery"`
	Network      NetworkConfig      `toml:"network"`
	Faults       []FaultConfig      `toml:"fault"`
}

// FleetConfig describes the senders and their placement.
type FleetConfig struct {
	Senders        int      `toml:"senders"`
	Regions        int      `toml:"regions"`
	Zones          int      `toml:"zones"` // of all regions together
	RacksPerZone   int      `toml:"racks"`
	CallSlots      int      `toml:"slots"` // concurrent calls per sender
	MaxOpen        int      `toml:"max_open"`
	MaxAttempts    int      `toml:"max_tries"`
	Tick           Duration `toml:"tick"`
	RestartTime    Duration `toml:"start"`            // from the end of a process until the next one is ready
	RestartsPerDay float64  `toml:"restarts_per_day"` // of processes, over the whole fleet
	LossesPerDay   float64  `toml:"losses_per_day"`   // of machines; each is replaced after RestartTime
}

// TrafficConfig describes the messages that clients submit.
type TrafficConfig struct {
	Rate         float64 `toml:"rate"`       // messages per second, over the whole fleet
	Popularity   string  `toml:"popularity"` // distribution over destinations: even or zipf
	ZipfExponent float64 `toml:"exponent"`
}

// ClassConfig is a class of messages, with the values that the sender's settings have for it.
type ClassConfig struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"` // of the traffic, relative to the sum of all shares
	TargetLatency Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	Value         float64  `toml:"worth"`
	LateValue     float64  `toml:"late_worth"`
	Idempotency   string   `toml:"effect"` // safe, keyed or unsafe
	DedupWindow   Duration `toml:"window"` // deduplication window of a keyed class
}

// DestinationsConfig describes the destinations, which are all alike, and their endpoints.
type DestinationsConfig struct {
	Count           int      `toml:"count"`
	Endpoints       int      `toml:"endpoints"`   // per destination
	Rate            float64  `toml:"rate"`        // limit of a destination, calls per second
	Burst           float64  `toml:"burst"`       // capacity of its token bucket, calls
	RefusalStatus   string   `toml:"refuse"`      // status of calls over the limit: 429 or 503
	RetryAfter      Duration `toml:"come_back"`   // wait that a 429 requests
	ReportsLoad     bool     `toml:"reports"`     // answers carry load reports
	NominalWeights  bool     `toml:"nominal"`     // the weights in the list are the limits of the destinations
	ServiceTime     Duration `toml:"service"`     // median duration of a call
	Sigma           float64  `toml:"sigma"`       // standard deviation of its logarithm
	MaxConnections  int      `toml:"connections"` // per endpoint; 0 for no limit
	ConnIdleTimeout Duration `toml:"conn_idle"`
	ConnectTimeout  Duration `toml:"conn_timeout"`
	HandshakeTime   Duration `toml:"handshake"`  // of a new connection, in addition to its round trip
	DownShare       float64  `toml:"down_share"` // share of destinations that are down at random
	MeanOutage      Duration `toml:"down_for"`   // mean duration of random outages
	OutageMode      string   `toml:"down_how"`   // refused, silent, 503 or mixed
}

// RecoveryConfig describes how a destination recovers from an outage.
type RecoveryConfig struct {
	ColdCapacity     float64  `toml:"from"`          // fraction of its limit available at first
	WarmupTime       Duration `toml:"warm_after"`    // until the full limit is available
	OverloadMultiple float64  `toml:"fall_multiple"` // multiple of the limit above which a cold destination relapses
	OverloadWindow   Duration `toml:"fall_window"`   // period in which calls are counted for OverloadMultiple
	RelapseDuration  Duration `toml:"fall_for"`      // duration of the outage that a relapse causes
}

// DiscoveryConfig describes the endpoint list and its changes.
type DiscoveryConfig struct {
	ChangesPerDay float64  `toml:"changes_per_day"`
	DrainTime     Duration `toml:"drain"`  // time that a replaced endpoint stays on the list as draining
	Spread        Duration `toml:"spread"` // period over which a change is sent to the agents
	WatchTimeout  Duration `toml:"hold"`   // maximum duration of a watch
	Region        int      `toml:"region"`
}

// NetworkConfig holds one-way delays.
type NetworkConfig struct {
	WithinZone     Duration `toml:"zone"`
	WithinRegion   Duration `toml:"region"` // between zones of the same region
	BetweenRegions Duration `toml:"between"`
	Jitter         float64  `toml:"jitter"` // maximum random addition, as a share of the delay
}

// FaultConfig is one fault of the timeline.
type FaultConfig struct {
	Kind        string   `toml:"what"`
	At          Duration `toml:"at"`
	Duration    Duration `toml:"for"`
	First       int      `toml:"number"` // number of the first destination or sender, or of the rack, zone or region
	Count       int      `toml:"count"`  // of destinations or senders, starting with First
	OtherRegion int      `toml:"other"`  // region at the other end of a link
	OutageMode  string   `toml:"how"`    // of an outage: refused, silent or 503
	Factor      float64  `toml:"factor"` // by which a limit is multiplied
}

// Kinds of faults.
const (
	faultOutage  = "outage"  // destinations are down
	faultLimit   = "limit"   // the limit of destinations is multiplied by the factor
	faultRestart = "restart" // sender processes are killed and restart with their journals
	faultLoss    = "loss"    // sender machines vanish and are replaced
	faultRack    = "rack"    // all machines of a rack vanish; racks are numbered consecutively across zones
	faultZone    = "zone"    // all machines of a zone vanish
	faultLink    = "link"    // the link between two regions is cut
)

var faultKinds = []string{faultOutage, faultLimit, faultRestart, faultLoss, faultRack, faultZone, faultLink}

var outageModes = []string{outageRefused, outageUnresponsive, outageUnavailable}

var idempotencyNames = []string{"safe", "keyed", "unsafe"} // in the order of logic.Idempotency

// Default is a small fleet without faults. Its recovery values are within the range of the fictional example
// customers.
func Default() Scenario {
	return Scenario{
		Seed:     1,
		Duration: seconds(60),
		Drain:    seconds(15),
		Day:      seconds(86400),
		Fleet: FleetConfig{
			Senders:      20,
			Regions:      1,
			Zones:        1,
			RacksPerZone: 1,
			CallSlots:    64,
			MaxOpen:      2000,
			MaxAttempts:  6,
			Tick:         seconds(0.005),
			RestartTime:  seconds(1),
		},
		Traffic: TrafficConfig{Rate: 270, Popularity: "even", ZipfExponent: 1},
		Destinations: DestinationsConfig{
			Count:           10,
			Endpoints:       2,
			Rate:            40,
			Burst:           20,
			RefusalStatus:   "503",
			ServiceTime:     seconds(0.04),
			Sigma:           0.5,
			ConnIdleTimeout: seconds(10),
			ConnectTimeout:  seconds(1.5),
			HandshakeTime:   seconds(0.005),
			MeanOutage:      seconds(12),
			OutageMode:      outageRefused,
		},
		Recovery: RecoveryConfig{
			ColdCapacity:     0.2,
			WarmupTime:       seconds(14),
			OverloadMultiple: 2.5,
			OverloadWindow:   seconds(3),
			RelapseDuration:  seconds(5),
		},
		Discovery: DiscoveryConfig{DrainTime: seconds(10), Spread: seconds(2), WatchTimeout: seconds(4)},
		Network: NetworkConfig{
			WithinZone:     seconds(0.0005),
			WithinRegion:   seconds(0.001),
			BetweenRegions: seconds(0.04),
			Jitter:         0.2,
		},
	}
}

// defaultClass is used for a scenario without classes.
var defaultClass = ClassConfig{
	Name:          "event",
	Share:         1,
	TargetLatency: seconds(1),
	Deadline:      seconds(10),
	Value:         1,
	LateValue:     0.5,
	Idempotency:   "safe",
}

func seconds(x float64) Duration {
	return Duration{logic.Micros(math.Round(x * float64(logic.Second)))}
}

// FieldError is an invalid field of a scenario.
type FieldError struct {
	File   string
	Line   int // 0 if the value does not come from a file
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Load reads a scenario file. An error joins one [FieldError] for each invalid field.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a scenario file. The name is used in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	positions := keyPositions(text)
	var errs []error
	for key, p := range positions { // the decoder's error for these has no position
		if field := indexPattern.ReplaceAllString(key, ""); !p.isString && durationFields[field] {
			errs = append(errs, &FieldError{name, p.line, key, "want a duration like \"12s\" or \"350ms\""})
		}
	}
	if len(errs) > 0 {
		slices.SortFunc(errs, func(a, b error) int { return a.(*FieldError).Line - b.(*FieldError).Line })
		return nil, errors.Join(errs...)
	}
	sc := Default()
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&sc); err != nil {
		return nil, decodeError(name, err)
	}
	for i := range sc.Faults {
		if f := &sc.Faults[i]; f.Count == 0 {
			f.Count = 1
		}
	}
	if len(sc.Classes) == 0 {
		sc.Classes = []ClassConfig{defaultClass}
	}
	if err := sc.validate(name, positions); err != nil {
		return nil, err
	}
	return &sc, nil
}

// validate joins one error for each field with an invalid value.
func (sc *Scenario) validate(name string, positions map[string]keyPosition) error {
	var errs []error
	for _, p := range sc.problems() {
		errs = append(errs, &FieldError{name, lineOf(positions, p.field), p.field, "want " + p.want})
	}
	return errors.Join(errs...)
}

// decodeError converts an error of the TOML decoder to field errors.
func decodeError(name string, err error) error {
	field := func(e *toml.DecodeError, want string) error {
		line, _ := e.Position()
		return &FieldError{name, line, strings.Join(e.Key(), "."), want}
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var errs []error
		for i := range missing.Errors {
			errs = append(errs, field(&missing.Errors[i], "no such field"))
		}
		return errors.Join(errs...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return field(decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

// durationFields holds the names of the fields of type Duration, with dots between table and key.
var durationFields = durationFieldsOf(reflect.TypeFor[Scenario](), "")

// durationFieldsOf returns the names of the fields of type Duration in a struct type, each with the prefix.
func durationFieldsOf(t reflect.Type, prefix string) map[string]bool {
	fields := map[string]bool{}
	for _, f := range reflect.VisibleFields(t) {
		name, inner := prefix+f.Tag.Get("toml"), f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		switch {
		case inner == reflect.TypeFor[Duration]():
			fields[name] = true
		case inner.Kind() == reflect.Struct:
			maps.Copy(fields, durationFieldsOf(inner, name+"."))
		}
	}
	return fields
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// keyPosition is the position of a key or table in a file.
type keyPosition struct {
	line     int
	isString bool // the value is a string
}

// keyPositions finds the keys and tables of a text, up to the first syntax error. Elements of arrays of tables have an
// index, as in class[0].name.
func keyPositions(text []byte) map[string]keyPosition {
	positions, tableCount, prefix := map[string]keyPosition{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, tableCount[key])
			tableCount[key]++
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			positions[key] = keyPosition{line, e.Value().Kind == unstable.String}
			continue
		}
		positions[prefix] = keyPosition{line: line}
	}
	return positions
}

// lineOf returns the line of a field or, if it is missing, of the closest enclosing table; 1 if there is none, and 0
// if there is no file.
func lineOf(positions map[string]keyPosition, field string) int {
	if positions == nil {
		return 0
	}
	for field != "" {
		if p, ok := positions[field]; ok {
			return p.line
		}
		field = field[:max(strings.LastIndexByte(field, '.'), 0)]
	}
	return 1
}

type fieldProblem struct{ field, want string }

// problems lists the fields with invalid values.
func (sc *Scenario) problems() (list []fieldProblem) {
	want := func(ok bool, field, text string) {
		if !ok {
			list = append(list, fieldProblem{field, text})
		}
	}
	oneOf := func(value string, names []string, field string) {
		want(slices.Contains(names, value), field, "one of "+strings.Join(names, ", "))
	}
	share := func(value float64) bool { return value >= 0 && value <= 1 }
	rate := func(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }
	const perDay = "a rate per day, 0 or more"

	want(sc.Duration.Micros > 0, "duration", "a duration above 0")
	want(sc.Day.Micros > 0, "day", "a duration above 0")
	f := &sc.Fleet
	want(f.Senders >= 1, "fleet.senders", "1 or more")
	want(f.Regions >= 1, "fleet.regions", "1 or more")
	want(f.Zones >= max(f.Regions, 1), "fleet.zones", "at least one for each region")
	want(f.RacksPerZone >= 1, "fleet.racks", "1 or more in each zone")
	want(f.CallSlots >= 1, "fleet.slots", "1 or more concurrent calls")
	want(f.MaxOpen >= 0, "fleet.max_open", "0 for no limit, or more")
	want(f.MaxAttempts >= 0, "fleet.max_tries", "0 for no limit, or more")
	want(f.Tick.Micros >= 1000, "fleet.tick", "1ms or more")
	want(rate(f.RestartsPerDay), "fleet.restarts_per_day", perDay)
	want(rate(f.LossesPerDay), "fleet.losses_per_day", perDay)

	t := &sc.Traffic
	want(t.Rate > 0 && rate(t.Rate), "traffic.rate", "events per second, above 0")
	oneOf(t.Popularity, []string{"even", "zipf"}, "traffic.popularity")
	want(t.ZipfExponent > 0 && t.ZipfExponent <= 10, "traffic.exponent", "a number above 0, at most 10")

	names, shares := map[string]bool{}, 0.0
	for i, c := range sc.Classes {
		at := fmt.Sprintf("class[%d].", i)
		want(c.Name != "" && !names[c.Name], at+"name", "a unique name")
		names[c.Name] = true
		want(rate(c.Share), at+"share", "a share of 0 or more")
		shares += c.Share
		want(c.Deadline.Micros > 0, at+"deadline", "a duration above 0")
		want(c.TargetLatency.Micros <= c.Deadline.Micros, at+"aim", "a duration up to the deadline")
		want(rate(c.Value), at+"worth", "0 or more")
		want(share(c.LateValue), at+"late_worth", "a fraction of the worth, 0 to 1")
		oneOf(c.Idempotency, idempotencyNames, at+"effect")
		want(c.Idempotency != "keyed" || c.DedupWindow.Micros > 0,
			at+"window", "a duration above 0, as the class is keyed")
	}
	want(shares > 0, "class[0].share", "a sum of shares above 0")

	d := &sc.Destinations
	want(d.Count >= 1, "destinations.count", "1 or more")
	want(d.Endpoints >= 1, "destinations.endpoints", "1 or more for each destination")
	want(d.Rate > 0 && rate(d.Rate), "destinations.rate", "calls per second, above 0")
	want(d.Burst >= 1 && rate(d.Burst), "destinations.burst", "1 call or more")
	oneOf(d.RefusalStatus, []string{"429", "503"}, "destinations.refuse")
	want(d.RetryAfter.Micros == 0 || d.RefusalStatus == "429",
		"destinations.come_back", "none with 503, as only a 429 requests a wait")
	want(d.ServiceTime.Micros > 0, "destinations.service", "a duration above 0")
	want(d.Sigma >= 0 && d.Sigma <= 4, "destinations.sigma", "a number from 0 to 4")
	want(d.MaxConnections >= 0, "destinations.connections", "0 for no limit, or more")
	want(d.ConnectTimeout.Micros > 0, "destinations.conn_timeout", "a duration above 0")
	want(d.DownShare >= 0 && d.DownShare <= 0.9, "destinations.down_share", "a share from 0 to 0.9")
	want(d.DownShare == 0 || d.MeanOutage.Micros > 0,
		"destinations.down_for", "a duration above 0, as down_share is above 0")
	oneOf(d.OutageMode, append([]string{"mixed"}, outageModes...), "destinations.down_how")

	r := &sc.Recovery
	want(r.ColdCapacity > 0 && r.ColdCapacity <= 1, "cold.from", "a fraction of the limit, above 0 and at most 1")
	want(r.OverloadMultiple > 0 && rate(r.OverloadMultiple), "cold.fall_multiple", "a number above 0")
	want(r.OverloadWindow.Micros > 0, "cold.fall_window", "a duration above 0")
	want(r.RelapseDuration.Micros > 0, "cold.fall_for", "a duration above 0")

	want(rate(sc.Discovery.ChangesPerDay), "discovery.changes_per_day", perDay)
	want(sc.Discovery.WatchTimeout.Micros >= 100_000, "discovery.hold", "100ms or more")
	want(sc.Discovery.Region >= 0 && sc.Discovery.Region < f.Regions, "discovery.region", "the number of a region")
	want(share(sc.Network.Jitter), "network.jitter", "a fraction from 0 to 1")

	for i, fault := range sc.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		oneOf(fault.Kind, faultKinds, at+"what")
		want(fault.Duration.Micros > 0 || fault.Kind == faultRestart || fault.Kind == faultLoss,
			at+"for", "a duration above 0")
		limit, noun := math.MaxInt, "target"
		switch fault.Kind {
		case faultOutage, faultLimit:
			limit, noun = d.Count, "destination"
		case faultRestart, faultLoss:
			limit, noun = f.Senders, "sender"
		case faultRack:
			limit, noun = f.Zones*f.RacksPerZone, "rack"
		case faultZone:
			limit, noun = f.Zones, "zone"
		case faultLink:
			limit, noun = f.Regions, "region"
			want(fault.OtherRegion >= 0 && fault.OtherRegion < f.Regions && fault.OtherRegion != fault.First,
				at+"other", "the number of another region")
		}
		want(fault.First >= 0 && fault.First < limit, at+"number", "the number of a "+noun)
		if ranged := noun == "destination" || noun == "sender"; ranged || fault.Count != 1 {
			want(ranged && fault.Count >= 1 && fault.Count <= limit-fault.First, at+"count",
				"1 or more, and no more destinations or senders than there are from the number on")
		}
		if fault.Kind == faultOutage {
			oneOf(fault.OutageMode, outageModes, at+"how")
		}
		want(fault.Kind != faultLimit || fault.Factor > 0 && rate(fault.Factor), at+"factor", "a number above 0")
	}
	return list
}

// Length is the virtual duration of a complete run.
func (sc *Scenario) Length() Duration { return Duration{sc.Duration.Micros + sc.Drain.Micros} }

// moduleSettings returns the settings of the decision module of a sender in a zone.
func (sc *Scenario) moduleSettings(zone int) logic.Settings {
	d, r := &sc.Destinations, &sc.Recovery
	settings := logic.Settings{
		Senders:            sc.Fleet.Senders,
		Zone:               zone,
		Zones:              sc.Fleet.Zones,
		CallSlots:          sc.Fleet.CallSlots,
		MaxOpen:            sc.Fleet.MaxOpen,
		MaxAttempts:        sc.Fleet.MaxAttempts,
		Tick:               sc.Fleet.Tick.Micros,
		MayCancel:          true,
		RetryAfter:         true,
		MaxRetryAfter:      2 * logic.Second,
		Kinds:              []logic.DestinationKind{{Name: machineType, MaxBatch: 1}},
		ConnIdleTimeout:    d.ConnIdleTimeout.Micros,
		CallsPerConn:       1,
		DrainGrace:         logic.Second,
		OverloadMultiple:   r.OverloadMultiple,
		OverloadWindow:     r.OverloadWindow.Micros,
		ColdCapacity:       r.ColdCapacity,
		WarmupTime:         r.WarmupTime.Micros,
		LoadRemainingIndex: -1,
		LoadLimitIndex:     -1,
	}
	if d.ReportsLoad {
		settings.LoadRemainingIndex, settings.LoadLimitIndex = 0, 1
	}
	if d.NominalWeights {
		settings.Weights = logic.WeightsNominal
	}
	for _, class := range sc.Classes {
		settings.Classes = append(settings.Classes, logic.Class{
			Name:          class.Name,
			TargetLatency: class.TargetLatency.Micros,
			Deadline:      class.Deadline.Micros,
			Value:         class.Value,
			LateValue:     class.LateValue,
			DedupWindow:   class.DedupWindow.Micros,
			Idempotency:   logic.Idempotency(slices.Index(idempotencyNames, class.Idempotency)),
		})
	}
	return settings
}

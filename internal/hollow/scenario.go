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

// Span is a length of time, written as 12s or 350ms. It is no number itself: one without a unit is an error.
type Span struct{ logic.Micros }

// UnmarshalText reads a span that is not negative.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no span: want one like 12s or 350ms", text)
	}
	s.Micros = logic.Micros(d / time.Microsecond)
	return nil
}

// MarshalText writes a span as it is read.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) String() string { return (time.Duration(s.Micros) * time.Microsecond).String() }

// Scenario is what a run plays. The zero value of a field that a file leaves out is
// replaced by that of [Default].
type Scenario struct {
	Title    string `toml:"title"`
	Seed     uint64 `toml:"seed"`
	Duration Span   `toml:"duration"` // clients hand messages in for this long
	Drain    Span   `toml:"drain"`    // and the run goes on for this long after
	Day      Span   `toml:"day"`      // what is stated for a day comes within this span

	Fleet        FleetConfig        `toml:"fleet"`
	Traffic      TrafficConfig      `toml:"traffic"`
	Classes      []ClassConfig      `toml:"class"`
	Destinations DestinationsConfig `toml:"destinations"`
	Recovery     RecoveryConfig     `toml:"cold"`
	Discovery    DiscoveryConfig    `toml:"discovery"`
	Network      NetworkConfig      `toml:"network"`
	Faults       []FaultConfig      `toml:"fault"`
}

// FleetPart describes the senders and where they stand.
type FleetConfig struct {
	Senders        int     `toml:"senders"`
	Regions        int     `toml:"regions"`
	Zones          int     `toml:"zones"` // in all
	RacksPerZone   int     `toml:"racks"` // in a zone
	Slots          int     `toml:"slots"` // calls out at once
	MaxOpen        int     `toml:"max_open"`
	MaxAttempts    int     `toml:"max_tries"`
	Tick           Span    `toml:"tick"`
	RestartTime    Span    `toml:"start"`            // from the end of a process to the readiness of the next
	RestartsPerDay float64 `toml:"restarts_per_day"` // of processes, over the fleet
	LossesPerDay   float64 `toml:"losses_per_day"`   // of machines; each is replaced after Start
}

// TrafficPart describes what clients hand in.
type TrafficConfig struct {
	Rate         float64 `toml:"rate"`       // events a second, over the fleet
	Popularity   string  `toml:"popularity"` // of destinations: even or zipf
	ZipfExponent float64 `toml:"exponent"`   // of Zipf's law
}

// ClassPart is a class of messages, as the settings have it.
type ClassConfig struct {
	Name          string  `toml:"name"`
	Share         float64 `toml:"share"` // of the traffic, over the sum of all shares
	LatencyTarget Span    `toml:"aim"`
	Deadline      Span    `toml:"deadline"`
	Worth         float64 `toml:"worth"`
	LateWorth     float64 `toml:"late_worth"`
	Effect        string  `toml:"effect"` // safe, keyed or unsafe
	Window        Span    `toml:"window"` // of keyed ones
}

// DestinationsPart describes destinations, all alike, and their endpoints.
type DestinationsConfig struct {
	Count           int     `toml:"count"`
	Endpoints       int     `toml:"endpoints"` // of each
	Rate            float64 `toml:"rate"`      // limit of a destination, calls a second
	Burst           float64 `toml:"burst"`     // depth of its token bucket, calls
	RefusalStatus   string  `toml:"refuse"`    // the answer above it: 429 or 503
	RetryAfter      Span    `toml:"come_back"` // the wait that a 429 tells
	ReportsLoad     bool    `toml:"reports"`   // answers tell the limit
	NominalWeights  bool    `toml:"nominal"`   // the list tells the limit
	ServiceTime     Span    `toml:"service"`   // median time of a call
	Sigma           float64 `toml:"sigma"`     // of its logarithm
	MaxConnections  int     `toml:"connections"`
	ConnIdleTimeout Span    `toml:"conn_idle"`
	ConnectTimeout  Span    `toml:"conn_timeout"`
	HandshakeTime   Span    `toml:"handshake"` // of a new connection, beside its round trip
	DownShare       float64 `toml:"down_share"`
	MeanOutage      Span    `toml:"down_for"` // mean length of these outages
	OutageMode      string  `toml:"down_how"` // refused, silent, 503 or mixed
}

// ColdPart is how a destination returns from an outage.
type RecoveryConfig struct {
	InitialShare    float64 `toml:"from"` // part of its limit that it has at first
	WarmUpTime      Span    `toml:"warm_after"`
	RelapseMultiple float64 `toml:"fall_multiple"` // sent more than this many times its limit
	RelapseWindow   Span    `toml:"fall_window"`   // within this, it falls
	RelapseDuration Span    `toml:"fall_for"`      // and is down again for so long
}

// DiscoveryPart describes the list and its changes.
type DiscoveryConfig struct {
	ChangesPerDay float64 `toml:"changes_per_day"`
	DrainTime     Span    `toml:"drain"`  // how long an endpoint that is replaced stays on the list
	Spread        Span    `toml:"spread"` // over which discovery tells a change
	WatchTimeout  Span    `toml:"hold"`   // of a watch
	Region        int     `toml:"region"`
}

// NetworkPart holds delays, one way.
type NetworkConfig struct {
	WithinZone     Span    `toml:"zone"`    // within a zone
	WithinRegion   Span    `toml:"region"`  // between zones of a region
	BetweenRegions Span    `toml:"between"` // between regions
	Jitter         float64 `toml:"jitter"`  // up to this part of a delay is added
}

// FaultPart is one entry of the timeline.
type FaultConfig struct {
	Kind       string  `toml:"what"`
	At         Span    `toml:"at"`
	Duration   Span    `toml:"for"`
	First      int     `toml:"number"` // of the first destination, sender, rack, zone or region
	Count      int     `toml:"count"`  // of destinations or senders from that on
	Other      int     `toml:"other"`  // the region at the other end of a link
	OutageMode string  `toml:"how"`    // of an outage: refused, silent or 503
	Factor     float64 `toml:"factor"` // of a limit
}

// The entries that a timeline may have.
const (
	faultOutage  = "outage"  // destinations are down
	faultLimit   = "limit"   // their limit is multiplied by the factor
	faultRestart = "restart" // senders are killed and start again with their journals
	faultLoss    = "loss"    // machines of senders vanish and are replaced
	faultRack    = "rack"    // all machines of a rack vanish; numbered through over the zones
	faultZone    = "zone"
	faultLink    = "link" // two regions do not reach each other
)

var faultKinds = []string{faultOutage, faultLimit, faultRestart, faultLoss, faultRack, faultZone, faultLink}

var outageModes = []string{outageRefused, outageSilent, outageUnavailable}

var effectNames = []string{"safe", "keyed", "unsafe"} // in the order of logic.Effect

// Default is a small fleet without faults. Its rules of the cold return are in the range of the made-up customers.
func Default() Scenario {
	return Scenario{Seed: 1, Duration: seconds(60), Drain: seconds(15), Day: seconds(86400),
		Fleet: FleetConfig{Senders: 20, Regions: 1, Zones: 1, RacksPerZone: 1, Slots: 64, MaxOpen: 2000, MaxAttempts: 6, Tick: seconds(0.005),
			RestartTime: seconds(1)},
		Traffic: TrafficConfig{Rate: 270, Popularity: "even", ZipfExponent: 1},
		Destinations: DestinationsConfig{Count: 10, Endpoints: 2, Rate: 40, Burst: 20, RefusalStatus: "503", ServiceTime: seconds(0.04), Sigma: 0.5,
			ConnIdleTimeout: seconds(10), ConnectTimeout: seconds(1.5), HandshakeTime: seconds(0.005), MeanOutage: seconds(12), OutageMode: outageRefused},
		Recovery:  RecoveryConfig{InitialShare: 0.2, WarmUpTime: seconds(14), RelapseMultiple: 2.5, RelapseWindow: seconds(3), RelapseDuration: seconds(5)},
		Discovery: DiscoveryConfig{DrainTime: seconds(10), Spread: seconds(2), WatchTimeout: seconds(4)},
		Network:   NetworkConfig{WithinZone: seconds(0.0005), WithinRegion: seconds(0.001), BetweenRegions: seconds(0.04), Jitter: 0.2}}
}

// defaultClass is the only class of a file that has none.
var defaultClass = ClassConfig{Name: "event", Share: 1, LatencyTarget: seconds(1), Deadline: seconds(10), Worth: 1, LateWorth: 0.5, Effect: "safe"}

func seconds(x float64) Span { return Span{logic.Micros(math.Round(x * float64(logic.Second)))} }

// FieldError is a field of a scenario file that makes no sense.
type FieldError struct {
	File   string
	Line   int // 0 if it was not set in a file
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Load reads a scenario file. An error joins a [FieldError] for each field at fault.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a scenario file; the name is for its errors.
func Parse(name string, text []byte) (*Scenario, error) {
	places := keyPositions(text)
	var bad []error
	for key, p := range places { // the decoder has no place for these
		if field := indexPattern.ReplaceAllString(key, ""); !p.isString && spanFields[field] {
			bad = append(bad, &FieldError{name, p.line, key, "want a span like \"12s\" or \"350ms\""})
		}
	}
	if len(bad) > 0 {
		slices.SortFunc(bad, func(a, b error) int { return a.(*FieldError).Line - b.(*FieldError).Line })
		return nil, errors.Join(bad...)
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
	if err := sc.validate(name, places); err != nil {
		return nil, err
	}
	return &sc, nil
}

// check joins an error for each field whose value makes no sense.
func (sc *Scenario) validate(name string, places map[string]keyPosition) error {
	var bad []error
	for _, p := range sc.problems() {
		bad = append(bad, &FieldError{name, lineOf(places, p.field), p.field, "want " + p.want})
	}
	return errors.Join(bad...)
}

// decodeError turns what the decoder says into fields.
func decodeError(name string, err error) error {
	field := func(e *toml.DecodeError, want string) error {
		line, _ := e.Position()
		return &FieldError{name, line, strings.Join(e.Key(), "."), want}
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var bad []error
		for i := range missing.Errors {
			bad = append(bad, field(&missing.Errors[i], "no such field"))
		}
		return errors.Join(bad...)
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return field(one, strings.TrimPrefix(one.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

// spanFields are the names of the fields that are spans.
var spanFields = spansOf(reflect.TypeFor[Scenario](), "")

func spansOf(t reflect.Type, prefix string) map[string]bool {
	out := map[string]bool{}
	for _, f := range reflect.VisibleFields(t) {
		name, inner := prefix+f.Tag.Get("toml"), f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		switch {
		case inner == reflect.TypeFor[Span]():
			out[name] = true
		case inner.Kind() == reflect.Struct:
			maps.Copy(out, spansOf(inner, name+"."))
		}
	}
	return out
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// place is where a key or a table stands.
type keyPosition struct {
	line     int
	isString bool // its value is a string
}

// positions finds each key and table of a text, as far as it can be read. Those of lists of tables are numbered:
// class[0].name.
func keyPositions(text []byte) map[string]keyPosition {
	places, count, prefix := map[string]keyPosition{}, map[string]int{}, ""
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
			prefix = fmt.Sprintf("%s[%d]", key, count[key])
			count[key]++
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			places[key] = keyPosition{line, e.Value().Kind == unstable.String}
			continue
		}
		places[prefix] = keyPosition{line: line}
	}
	return places
}

// lineOf is the line of a field, or of the table that lacks it; 1 if there is neither, and 0 without a file.
func lineOf(places map[string]keyPosition, field string) int {
	if places == nil {
		return 0
	}
	for field != "" {
		if p, ok := places[field]; ok {
			return p.line
		}
		field = field[:max(strings.LastIndexByte(field, '.'), 0)]
	}
	return 1
}

type fieldProblem struct{ field, want string }

// problems lists the fields whose values make no sense.
func (sc *Scenario) problems() (bad []fieldProblem) {
	want := func(ok bool, field, text string) {
		if !ok {
			bad = append(bad, fieldProblem{field, text})
		}
	}
	oneOf := func(x string, names []string, field string) {
		want(slices.Contains(names, x), field, "one of "+strings.Join(names, ", "))
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	rate := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	const perDay = "a rate a day of 0 or more"

	want(sc.Duration.Micros > 0, "duration", "a span above 0")
	want(sc.Day.Micros > 0, "day", "a span above 0")
	f := &sc.Fleet
	want(f.Senders >= 1, "fleet.senders", "1 or more")
	want(f.Regions >= 1, "fleet.regions", "1 or more")
	want(f.Zones >= max(f.Regions, 1), "fleet.zones", "at least one for each region")
	want(f.RacksPerZone >= 1, "fleet.racks", "1 or more in each zone")
	want(f.Slots >= 1, "fleet.slots", "1 or more calls at once")
	want(f.MaxOpen >= 0, "fleet.max_open", "0 for no limit, or more")
	want(f.MaxAttempts >= 0, "fleet.max_tries", "0 for no limit, or more")
	want(f.Tick.Micros >= 1000, "fleet.tick", "1ms or more")
	want(rate(f.RestartsPerDay), "fleet.restarts_per_day", perDay)
	want(rate(f.LossesPerDay), "fleet.losses_per_day", perDay)

	t := &sc.Traffic
	want(t.Rate > 0 && rate(t.Rate), "traffic.rate", "events a second, above 0")
	oneOf(t.Popularity, []string{"even", "zipf"}, "traffic.popularity")
	want(t.ZipfExponent > 0 && t.ZipfExponent <= 10, "traffic.exponent", "a number above 0, 10 at most")

	names, shares := map[string]bool{}, 0.0
	for i, c := range sc.Classes {
		at := fmt.Sprintf("class[%d].", i)
		want(c.Name != "" && !names[c.Name], at+"name", "a name of its own")
		names[c.Name] = true
		want(rate(c.Share), at+"share", "a share of 0 or more")
		shares += c.Share
		want(c.Deadline.Micros > 0, at+"deadline", "a span above 0")
		want(c.LatencyTarget.Micros <= c.Deadline.Micros, at+"aim", "a span up to the deadline")
		want(rate(c.Worth), at+"worth", "0 or more")
		want(share(c.LateWorth), at+"late_worth", "a part of the worth, 0 to 1")
		oneOf(c.Effect, effectNames, at+"effect")
		want(c.Effect != "keyed" || c.Window.Micros > 0, at+"window", "a span above 0, as the class is keyed")
	}
	want(shares > 0, "class[0].share", "a sum of shares above 0")

	d := &sc.Destinations
	want(d.Count >= 1, "destinations.count", "1 or more")
	want(d.Endpoints >= 1, "destinations.endpoints", "1 or more for each destination")
	want(d.Rate > 0 && rate(d.Rate), "destinations.rate", "calls a second, above 0")
	want(d.Burst >= 1 && rate(d.Burst), "destinations.burst", "1 call or more")
	oneOf(d.RefusalStatus, []string{"429", "503"}, "destinations.refuse")
	want(d.RetryAfter.Micros == 0 || d.RefusalStatus == "429", "destinations.come_back", "none with 503, which tells no wait")
	want(d.ServiceTime.Micros > 0, "destinations.service", "a span above 0")
	want(d.Sigma >= 0 && d.Sigma <= 4, "destinations.sigma", "a number from 0 to 4")
	want(d.MaxConnections >= 0, "destinations.connections", "0 for no limit, or more")
	want(d.ConnectTimeout.Micros > 0, "destinations.conn_timeout", "a span above 0")
	want(d.DownShare >= 0 && d.DownShare <= 0.9, "destinations.down_share", "a share from 0 to 0.9")
	want(d.DownShare == 0 || d.MeanOutage.Micros > 0, "destinations.down_for", "a span above 0, as some are down")
	oneOf(d.OutageMode, append([]string{"mixed"}, outageModes...), "destinations.down_how")

	c := &sc.Recovery
	want(c.InitialShare > 0 && c.InitialShare <= 1, "cold.from", "a part of the limit above 0, 1 at most")
	want(c.RelapseMultiple > 0 && rate(c.RelapseMultiple), "cold.fall_multiple", "a number above 0")
	want(c.RelapseWindow.Micros > 0, "cold.fall_window", "a span above 0")
	want(c.RelapseDuration.Micros > 0, "cold.fall_for", "a span above 0")

	want(rate(sc.Discovery.ChangesPerDay), "discovery.changes_per_day", perDay)
	want(sc.Discovery.WatchTimeout.Micros >= 100_000, "discovery.hold", "100ms or more")
	want(sc.Discovery.Region >= 0 && sc.Discovery.Region < f.Regions, "discovery.region", "the number of a region")
	want(share(sc.Network.Jitter), "network.jitter", "a part from 0 to 1")

	for i, x := range sc.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		oneOf(x.Kind, faultKinds, at+"what")
		want(x.Duration.Micros > 0 || x.Kind == faultRestart || x.Kind == faultLoss, at+"for", "a span above 0")
		most, what := math.MaxInt, "thing"
		switch x.Kind {
		case faultOutage, faultLimit:
			most, what = d.Count, "destination"
		case faultRestart, faultLoss:
			most, what = f.Senders, "sender"
		case faultRack:
			most, what = f.Zones*f.RacksPerZone, "rack"
		case faultZone:
			most, what = f.Zones, "zone"
		case faultLink:
			most, what = f.Regions, "region"
			want(x.Other >= 0 && x.Other < f.Regions && x.Other != x.First, at+"other", "the number of another region")
		}
		want(x.First >= 0 && x.First < most, at+"number", "the number of a "+what)
		if many := what == "destination" || what == "sender"; many || x.Count != 1 {
			want(many && x.Count >= 1 && x.Count <= most-x.First, at+"count", "1 or more destinations or senders, as there are from the number on")
		}
		if x.Kind == faultOutage {
			oneOf(x.OutageMode, outageModes, at+"how")
		}
		want(x.Kind != faultLimit || x.Factor > 0 && rate(x.Factor), at+"factor", "a number above 0")
	}
	return bad
}

// Length is the virtual time that a whole run plays.
func (sc *Scenario) Length() Span { return Span{sc.Duration.Micros + sc.Drain.Micros} }

// settings are what a sender in a zone is told.
func (sc *Scenario) moduleSettings(zone int) logic.Settings {
	d, c := &sc.Destinations, &sc.Recovery
	set := logic.Settings{Senders: sc.Fleet.Senders, Zone: zone, Zones: sc.Fleet.Zones, Slots: sc.Fleet.Slots,
		MaxOpen: sc.Fleet.MaxOpen, MaxTries: sc.Fleet.MaxAttempts, Tick: sc.Fleet.Tick.Micros, MayCancel: true,
		RetryAfter: true, MaxRetryAfter: 2 * logic.Second, Kinds: []logic.Kind{{Name: machineType, Batch: 1}},
		ConnIdle: d.ConnIdleTimeout.Micros, ConnCalls: 1, DrainGrace: logic.Second,
		FallMultiple: c.RelapseMultiple, FallWindow: c.RelapseWindow.Micros, ColdFrom: c.InitialShare,
		WarmAfter: c.WarmUpTime.Micros, ReportLeft: -1, ReportLimit: -1}
	if d.ReportsLoad {
		set.ReportLeft, set.ReportLimit = 0, 1
	}
	if d.NominalWeights {
		set.Weights = logic.WeightsNominal
	}
	for _, x := range sc.Classes {
		set.Classes = append(set.Classes, logic.Class{Name: x.Name, Aim: x.LatencyTarget.Micros, Deadline: x.Deadline.Micros, Worth: x.Worth,
			LateWorth: x.LateWorth, Window: x.Window.Micros, Effect: logic.Effect(slices.Index(effectNames, x.Effect))})
	}
	return set
}

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

	Fleet        FleetPart        `toml:"fleet"`
	Traffic      TrafficPart      `toml:"traffic"`
	Classes      []ClassPart      `toml:"class"`
	Destinations DestinationsPart `toml:"destinations"`
	Cold         ColdPart         `toml:"cold"`
	Discovery    DiscoveryPart    `toml:"discovery"`
	Network      NetworkPart      `toml:"network"`
	Faults       []FaultPart      `toml:"fault"`
}

// FleetPart describes the senders and where they stand.
type FleetPart struct {
	Senders  int     `toml:"senders"`
	Regions  int     `toml:"regions"`
	Zones    int     `toml:"zones"` // in all
	Racks    int     `toml:"racks"` // in a zone
	Slots    int     `toml:"slots"` // calls out at once
	MaxOpen  int     `toml:"max_open"`
	MaxTries int     `toml:"max_tries"`
	Tick     Span    `toml:"tick"`
	Start    Span    `toml:"start"`            // from the end of a process to the readiness of the next
	Restarts float64 `toml:"restarts_per_day"` // of processes, over the fleet
	Losses   float64 `toml:"losses_per_day"`   // of machines; each is replaced after Start
}

// TrafficPart describes what clients hand in.
type TrafficPart struct {
	Rate       float64 `toml:"rate"`       // events a second, over the fleet
	Popularity string  `toml:"popularity"` // of destinations: even or zipf
	Exponent   float64 `toml:"exponent"`   // of Zipf's law
}

// ClassPart is a class of messages, as the settings have it.
type ClassPart struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of the traffic, over the sum of all shares
	Aim       Span    `toml:"aim"`
	Deadline  Span    `toml:"deadline"`
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Effect    string  `toml:"effect"` // safe, keyed or unsafe
	Window    Span    `toml:"window"` // of keyed ones
}

// DestinationsPart describes destinations, all alike, and their endpoints.
type DestinationsPart struct {
	Count       int     `toml:"count"`
	Endpoints   int     `toml:"endpoints"` // of each
	Rate        float64 `toml:"rate"`      // limit of a destination, calls a second
	Burst       float64 `toml:"burst"`     // depth of its token bucket, calls
	Refuse      string  `toml:"refuse"`    // the answer above it: 429 or 503
	ComeBack    Span    `toml:"come_back"` // the wait that a 429 tells
	Reports     bool    `toml:"reports"`   // answers tell the limit
	Nominal     bool    `toml:"nominal"`   // the list tells the limit
	Service     Span    `toml:"service"`   // median time of a call
	Sigma       float64 `toml:"sigma"`     // of its logarithm
	Connections int     `toml:"connections"`
	ConnIdle    Span    `toml:"conn_idle"`
	ConnTimeout Span    `toml:"conn_timeout"`
	Handshake   Span    `toml:"handshake"` // of a new connection, beside its round trip
	DownShare   float64 `toml:"down_share"`
	DownFor     Span    `toml:"down_for"` // mean length of these outages
	DownHow     string  `toml:"down_how"` // refused, silent, 503 or mixed
}

// ColdPart is how a destination returns from an outage.
type ColdPart struct {
	From         float64 `toml:"from"` // part of its limit that it has at first
	WarmAfter    Span    `toml:"warm_after"`
	FallMultiple float64 `toml:"fall_multiple"` // sent more than this many times its limit
	FallWindow   Span    `toml:"fall_window"`   // within this, it falls
	FallFor      Span    `toml:"fall_for"`      // and is down again for so long
}

// DiscoveryPart describes the list and its changes.
type DiscoveryPart struct {
	Changes float64 `toml:"changes_per_day"`
	Drain   Span    `toml:"drain"`  // how long an endpoint that is replaced stays on the list
	Spread  Span    `toml:"spread"` // over which discovery tells a change
	Hold    Span    `toml:"hold"`   // of a watch
	Region  int     `toml:"region"`
}

// NetworkPart holds delays, one way.
type NetworkPart struct {
	Zone    Span    `toml:"zone"`    // within a zone
	Region  Span    `toml:"region"`  // between zones of a region
	Between Span    `toml:"between"` // between regions
	Jitter  float64 `toml:"jitter"`  // up to this part of a delay is added
}

// FaultPart is one entry of the timeline.
type FaultPart struct {
	What   string  `toml:"what"`
	At     Span    `toml:"at"`
	For    Span    `toml:"for"`
	Number int     `toml:"number"` // of the first destination, sender, rack, zone or region
	Count  int     `toml:"count"`  // of destinations or senders from that on
	Other  int     `toml:"other"`  // the region at the other end of a link
	How    string  `toml:"how"`    // of an outage: refused, silent or 503
	Factor float64 `toml:"factor"` // of a limit
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

var faultNames = []string{faultOutage, faultLimit, faultRestart, faultLoss, faultRack, faultZone, faultLink}

var outageNames = []string{downRefused, downSilent, downShut}

var effectNames = []string{"safe", "keyed", "unsafe"} // in the order of logic.Effect

// Default is a small fleet without faults. Its rules of the cold return are in the range of the made-up customers.
func Default() Scenario {
	return Scenario{Seed: 1, Duration: seconds(60), Drain: seconds(15), Day: seconds(86400),
		Fleet: FleetPart{Senders: 20, Regions: 1, Zones: 1, Racks: 1, Slots: 64, MaxOpen: 2000, MaxTries: 6, Tick: seconds(0.005),
			Start: seconds(1)},
		Traffic: TrafficPart{Rate: 270, Popularity: "even", Exponent: 1},
		Destinations: DestinationsPart{Count: 10, Endpoints: 2, Rate: 40, Burst: 20, Refuse: "503", Service: seconds(0.04), Sigma: 0.5,
			ConnIdle: seconds(10), ConnTimeout: seconds(1.5), Handshake: seconds(0.005), DownFor: seconds(12), DownHow: downRefused},
		Cold:      ColdPart{From: 0.2, WarmAfter: seconds(14), FallMultiple: 2.5, FallWindow: seconds(3), FallFor: seconds(5)},
		Discovery: DiscoveryPart{Drain: seconds(10), Spread: seconds(2), Hold: seconds(4)},
		Network:   NetworkPart{Zone: seconds(0.0005), Region: seconds(0.001), Between: seconds(0.04), Jitter: 0.2}}
}

// defaultClass is the only class of a file that has none.
var defaultClass = ClassPart{Name: "event", Share: 1, Aim: seconds(1), Deadline: seconds(10), Worth: 1, LateWorth: 0.5, Effect: "safe"}

func seconds(x float64) Span { return Span{logic.Micros(math.Round(x * float64(logic.Second)))} }

// FieldError is a field of a scenario file that makes no sense.
type FieldError struct {
	File  string
	Line  int // 0 if it was not set in a file
	Field string
	Want  string
}

func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Want)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Want)
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
	places := positions(text)
	var bad []error
	for key, p := range places { // the decoder has no place for these
		if field := unnumbered.ReplaceAllString(key, ""); !p.text && spanFields[field] {
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
		sc.Classes = []ClassPart{defaultClass}
	}
	if err := sc.check(name, places); err != nil {
		return nil, err
	}
	return &sc, nil
}

// check joins an error for each field whose value makes no sense.
func (sc *Scenario) check(name string, places map[string]place) error {
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

var unnumbered = regexp.MustCompile(`\[\d+\]`)

// place is where a key or a table stands.
type place struct {
	line int
	text bool // its value is a string
}

// positions finds each key and table of a text, as far as it can be read. Those of lists of tables are numbered:
// class[0].name.
func positions(text []byte) map[string]place {
	places, count, prefix := map[string]place{}, map[string]int{}, ""
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
			places[key] = place{line, e.Value().Kind == unstable.String}
			continue
		}
		places[prefix] = place{line: line}
	}
	return places
}

// lineOf is the line of a field, or of the table that lacks it; 1 if there is neither, and 0 without a file.
func lineOf(places map[string]place, field string) int {
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

type problem struct{ field, want string }

// problems lists the fields whose values make no sense.
func (sc *Scenario) problems() (bad []problem) {
	want := func(ok bool, field, text string) {
		if !ok {
			bad = append(bad, problem{field, text})
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
	want(f.Racks >= 1, "fleet.racks", "1 or more in each zone")
	want(f.Slots >= 1, "fleet.slots", "1 or more calls at once")
	want(f.MaxOpen >= 0, "fleet.max_open", "0 for no limit, or more")
	want(f.MaxTries >= 0, "fleet.max_tries", "0 for no limit, or more")
	want(f.Tick.Micros >= 1000, "fleet.tick", "1ms or more")
	want(rate(f.Restarts), "fleet.restarts_per_day", perDay)
	want(rate(f.Losses), "fleet.losses_per_day", perDay)

	t := &sc.Traffic
	want(t.Rate > 0 && rate(t.Rate), "traffic.rate", "events a second, above 0")
	oneOf(t.Popularity, []string{"even", "zipf"}, "traffic.popularity")
	want(t.Exponent > 0 && t.Exponent <= 10, "traffic.exponent", "a number above 0, 10 at most")

	names, shares := map[string]bool{}, 0.0
	for i, c := range sc.Classes {
		at := fmt.Sprintf("class[%d].", i)
		want(c.Name != "" && !names[c.Name], at+"name", "a name of its own")
		names[c.Name] = true
		want(rate(c.Share), at+"share", "a share of 0 or more")
		shares += c.Share
		want(c.Deadline.Micros > 0, at+"deadline", "a span above 0")
		want(c.Aim.Micros <= c.Deadline.Micros, at+"aim", "a span up to the deadline")
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
	oneOf(d.Refuse, []string{"429", "503"}, "destinations.refuse")
	want(d.ComeBack.Micros == 0 || d.Refuse == "429", "destinations.come_back", "none with 503, which tells no wait")
	want(d.Service.Micros > 0, "destinations.service", "a span above 0")
	want(d.Sigma >= 0 && d.Sigma <= 4, "destinations.sigma", "a number from 0 to 4")
	want(d.Connections >= 0, "destinations.connections", "0 for no limit, or more")
	want(d.ConnTimeout.Micros > 0, "destinations.conn_timeout", "a span above 0")
	want(d.DownShare >= 0 && d.DownShare <= 0.9, "destinations.down_share", "a share from 0 to 0.9")
	want(d.DownShare == 0 || d.DownFor.Micros > 0, "destinations.down_for", "a span above 0, as some are down")
	oneOf(d.DownHow, append([]string{"mixed"}, outageNames...), "destinations.down_how")

	c := &sc.Cold
	want(c.From > 0 && c.From <= 1, "cold.from", "a part of the limit above 0, 1 at most")
	want(c.FallMultiple > 0 && rate(c.FallMultiple), "cold.fall_multiple", "a number above 0")
	want(c.FallWindow.Micros > 0, "cold.fall_window", "a span above 0")
	want(c.FallFor.Micros > 0, "cold.fall_for", "a span above 0")

	want(rate(sc.Discovery.Changes), "discovery.changes_per_day", perDay)
	want(sc.Discovery.Hold.Micros >= 100_000, "discovery.hold", "100ms or more")
	want(sc.Discovery.Region >= 0 && sc.Discovery.Region < f.Regions, "discovery.region", "the number of a region")
	want(share(sc.Network.Jitter), "network.jitter", "a part from 0 to 1")

	for i, x := range sc.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		oneOf(x.What, faultNames, at+"what")
		want(x.For.Micros > 0 || x.What == faultRestart || x.What == faultLoss, at+"for", "a span above 0")
		most, what := math.MaxInt, "thing"
		switch x.What {
		case faultOutage, faultLimit:
			most, what = d.Count, "destination"
		case faultRestart, faultLoss:
			most, what = f.Senders, "sender"
		case faultRack:
			most, what = f.Zones*f.Racks, "rack"
		case faultZone:
			most, what = f.Zones, "zone"
		case faultLink:
			most, what = f.Regions, "region"
			want(x.Other >= 0 && x.Other < f.Regions && x.Other != x.Number, at+"other", "the number of another region")
		}
		want(x.Number >= 0 && x.Number < most, at+"number", "the number of a "+what)
		if many := what == "destination" || what == "sender"; many || x.Count != 1 {
			want(many && x.Count >= 1 && x.Count <= most-x.Number, at+"count", "1 or more destinations or senders, as there are from the number on")
		}
		if x.What == faultOutage {
			oneOf(x.How, outageNames, at+"how")
		}
		want(x.What != faultLimit || x.Factor > 0 && rate(x.Factor), at+"factor", "a number above 0")
	}
	return bad
}

// Length is the virtual time that a whole run plays.
func (sc *Scenario) Length() Span { return Span{sc.Duration.Micros + sc.Drain.Micros} }

// settings are what a sender in a zone is told.
func (sc *Scenario) settings(zone int) logic.Settings {
	d, c := &sc.Destinations, &sc.Cold
	set := logic.Settings{Senders: sc.Fleet.Senders, Zone: zone, Zones: sc.Fleet.Zones, CallSlots: sc.Fleet.Slots,
		MaxOpen: sc.Fleet.MaxOpen, MaxAttempts: sc.Fleet.MaxTries, Tick: sc.Fleet.Tick.Micros, MayCancel: true,
		RetryAfter: true, MaxRetryAfter: 2 * logic.Second, Kinds: []logic.DestinationKind{{Name: kindName, MaxBatch: 1}},
		ConnIdleTimeout: d.ConnIdle.Micros, CallsPerConn: 1, DrainGrace: logic.Second,
		OverloadMultiple: c.FallMultiple, OverloadWindow: c.FallWindow.Micros, ColdCapacity: c.From,
		WarmupTime: c.WarmAfter.Micros, LoadRemainingIndex: -1, LoadLimitIndex: -1}
	if d.Reports {
		set.LoadRemainingIndex, set.LoadLimitIndex = 0, 1
	}
	if d.Nominal {
		set.Weights = logic.WeightsNominal
	}
	for _, x := range sc.Classes {
		set.Classes = append(set.Classes, logic.Class{Name: x.Name, TargetLatency: x.Aim.Micros, Deadline: x.Deadline.Micros, Value: x.Worth,
			LateValue: x.LateWorth, DedupWindow: x.Window.Micros, Idempotency: logic.Idempotency(slices.Index(effectNames, x.Effect))})
	}
	return set
}

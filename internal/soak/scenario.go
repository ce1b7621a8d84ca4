package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"rundeal/internal/faultinject"
)

// Effect is what a repeat of a message does, in the words of the settings.
type Effect string

// The effects.
const (
	Retryable Effect = "retryable"
	Dedup     Effect = "dedup"
	Fragile   Effect = "fragile"
)

// Class is a class of messages.
type Class struct {
	Name     string
	Effect   Effect
	ByZone   bool
	Deadline time.Duration
	Window   time.Duration
}

// Cold are the rules of a destination's return from an outage.
type Cold struct {
	Multiple float64
	Window   time.Duration
	From     float64
	Warm     time.Duration
}

// Scenario is all that a seed decides.
type Scenario struct {
	Seed         uint64
	Senders      int
	Length       time.Duration // of the traffic and the troubles
	Pushed       bool          // lists are pushed to an agent of each sender
	Classes      []Class
	Destinations int
	Endpoints    int     // of each destination
	Rate         float64 // messages a second at each sender
	Headroom     float64 // capacity of a destination over its traffic
	Batch        int
	MaxTries     int
	MaxOpen      int
	SecondCopies bool
	Grace        time.Duration // of a drain
	Cold         Cold
	DiskMB       float64
	Troubles     []Trouble
}

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble. Those of the first group happen to a sender's process, the second to its system calls and its
// clock, the third to destinations, the fourth to discovery, the last to clients.
const (
	Kill       Kind = "kill"
	KillTwice  Kind = "kill-twice"
	Stop       Kind = "stop"
	Upgrade    Kind = "upgrade"
	Reload     Kind = "reload"
	DrainAdmin Kind = "drain-by-operator"

	WallClock    Kind = "wall-clock"
	DiskFull     Kind = "disk-full"
	DiskErrors   Kind = "disk-errors"
	ShortWrites  Kind = "short-disk-writes"
	ReadErrors   Kind = "disk-read-errors"
	NoSockets    Kind = "no-sockets"
	NoConnect    Kind = "no-connect"
	AcceptErrors Kind = "accept-errors"
	BrokenLinks  Kind = "broken-connections"
	Interrupts   Kind = "interrupted-calls"
	ShortIO      Kind = "short-transfers"
	HeldUp       Kind = "held-up"

	Refusing  Kind = "refusing"
	Silent    Kind = "silent"
	Shut      Kind = "shut"
	Failing   Kind = "failing"
	Resets    Kind = "resets"
	Spoilt    Kind = "spoilt-answers"
	Waits     Kind = "told-waits"
	Slow      Kind = "slow"
	IdleClose Kind = "idle-close"
	Drain     Kind = "endpoint-drains"
	Replace   Kind = "endpoint-replaced"

	DiscoveryDown Kind = "discovery-down"
	DiscoverySlow Kind = "discovery-slow"

	HalfRequests Kind = "half-requests"
	Floods       Kind = "floods"
)

// processKinds stop or move a process; others of them must not touch it meanwhile.
var processKinds = []Kind{Kill, KillTwice, Stop, Upgrade, Reload, DrainAdmin}

var kinds = map[string][]Kind{
	"process":     processKinds,
	"system":      {WallClock, WallClock, DiskFull, DiskErrors, ShortWrites, ReadErrors, NoSockets, NoConnect, AcceptErrors, BrokenLinks, Interrupts, ShortIO, HeldUp},
	"destination": {Refusing, Silent, Shut, Failing, Resets, Spoilt, Waits, Slow, IdleClose, Drain, Replace},
	"discovery":   {DiscoveryDown, DiscoverySlow},
	"client":      {HalfRequests, Floods},
}

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind        Kind
	From, To    time.Duration
	Sender      int // -1 if it is not of one
	Destination int // -1 if it is not of one
	Endpoint    int // of the destination
	Offset      time.Duration
}

func (t Trouble) String() string {
	where := ""
	switch {
	case t.Sender >= 0:
		where = fmt.Sprintf(" sender %d", t.Sender)
	case t.Destination >= 0:
		where = fmt.Sprintf(" destination %d.%d", t.Destination, t.Endpoint)
	}
	if t.Offset != 0 {
		where += fmt.Sprintf(" by %v", t.Offset)
	}
	return fmt.Sprintf("%s%s %.1f-%.1fs", t.Kind, where, t.From.Seconds(), t.To.Seconds())
}

// overlaps says whether two troubles of one sender, or of anything that it meets, happen at one time.
func (t Trouble) overlaps(x Trouble) bool {
	return t.From < x.To && x.From < t.To && (t.Sender < 0 || x.Sender < 0 || t.Sender == x.Sender)
}

// Draw makes the scenario of a seed. Only, if not empty, bounds the kinds of trouble.
func Draw(seed uint64, senders int, length time.Duration, only []Kind) *Scenario {
	r := rand.New(rand.NewPCG(seed, 17))
	span := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*r.Float64()) * float64(time.Second))
	}
	sc := &Scenario{Seed: seed, Senders: senders, Length: length, Pushed: r.IntN(2) == 0, Destinations: 2 + r.IntN(2),
		Endpoints: 1 + r.IntN(3), Rate: 4 + 8*r.Float64(), Headroom: 1.5 + r.Float64(), Batch: []int{1, 1, 10}[r.IntN(3)],
		MaxTries: 4 + r.IntN(5), MaxOpen: 60 + r.IntN(200), SecondCopies: r.IntN(2) == 0, Grace: span(0.8, 1.5),
		Cold:   Cold{Multiple: 2.5, Window: 3 * time.Second, From: 0.15, Warm: 9500 * time.Millisecond},
		DiskMB: []float64{0.5, 3, 3}[r.IntN(3)]}
	sc.Classes = []Class{
		{Name: "status", Effect: Retryable, Deadline: span(2, 7)},
		{Name: "order", Effect: Dedup, Deadline: span(3, 7), Window: span(1.2, 6), ByZone: r.IntN(3) == 0},
		{Name: "charge", Effect: Fragile, Deadline: span(2, 7)}}
	for n := int(float64(senders)/2*length.Seconds()/6) + 4; n > 0; n-- {
		sc.Troubles = append(sc.Troubles, sc.trouble(r, only))
	}
	for range len(sc.Troubles) / 3 { // beside some, another of the same sender
		x := sc.Troubles[r.IntN(len(sc.Troubles))]
		y := sc.trouble(r, only)
		if x.Sender >= 0 && y.Sender >= 0 {
			y.Sender = x.Sender
			shift := x.From + time.Duration(float64(x.To-x.From)*(r.Float64()-0.2)) - y.From
			y.From, y.To = max(y.From+shift, 0), y.To+shift
			sc.Troubles = append(sc.Troubles, y)
		}
	}
	sc.addCompanions(r, only)
	slices.SortFunc(sc.Troubles, func(a, b Trouble) int { return int(a.From - b.From) })
	sc.Troubles = sc.separate()
	return sc
}

// addCompanions puts beside restarts what they most often meet in a fault: a step of the wall clock, a disk that fails, and
// a destination that is out, so that there is something to lose.
func (sc *Scenario) addCompanions(r *rand.Rand, only []Kind) {
	add := func(t Trouble) {
		if len(only) == 0 || slices.Contains(only, t.Kind) {
			t.From = max(t.From, 0)
			sc.Troubles = append(sc.Troubles, t)
		}
	}
	for _, x := range slices.Clone(sc.Troubles) {
		if x.Kind != Kill && x.Kind != KillTwice && x.Kind != Stop && x.Kind != Upgrade {
			continue
		}
		if r.IntN(2) == 0 {
			at := x.From + time.Duration(r.IntN(600))*time.Millisecond
			add(Trouble{Kind: WallClock, From: at, To: at + time.Second, Sender: x.Sender, Destination: -1, Offset: drawOffset(r)})
		}
		if r.IntN(2) == 0 {
			kind := []Kind{DiskFull, DiskErrors, ShortWrites, ReadErrors}[r.IntN(4)]
			from := x.From - time.Duration(r.IntN(1500))*time.Millisecond
			add(Trouble{Kind: kind, From: from, To: from + 2*time.Second, Sender: x.Sender, Destination: -1})
		}
		if r.IntN(3) == 0 {
			kind := []Kind{Refusing, Silent, Shut}[r.IntN(3)]
			from := x.From - time.Second
			add(Trouble{Kind: kind, From: from, To: from + 4*time.Second, Sender: -1, Destination: r.IntN(sc.Destinations)})
		}
	}
}

// drawOffset draws how far a wall clock is stepped.
func drawOffset(r *rand.Rand) time.Duration {
	offsets := []time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second, -700 * time.Millisecond, 30 * time.Minute}
	return offsets[r.IntN(len(offsets))]
}

// trouble draws one.
func (sc *Scenario) trouble(r *rand.Rand, only []Kind) Trouble {
	groups := []string{"process", "process", "process", "system", "system", "system", "destination", "destination", "discovery", "client"}
	for {
		group := groups[r.IntN(len(groups))]
		list := kinds[group]
		t := Trouble{Kind: list[r.IntN(len(list))], Sender: -1, Destination: -1}
		if len(only) > 0 && !slices.Contains(only, t.Kind) {
			continue
		}
		t.From = time.Duration(r.Float64() * 0.85 * float64(sc.Length))
		t.To = t.From + time.Duration((0.4+3*r.Float64())*float64(time.Second))
		switch group {
		case "destination":
			t.Destination, t.Endpoint = r.IntN(sc.Destinations), r.IntN(sc.Endpoints)
			if t.Kind == Refusing || t.Kind == Shut || t.Kind == Failing || t.Kind == Silent {
				t.To += 2 * time.Second
			}
		default:
			t.Sender = r.IntN(sc.Senders)
		}
		if t.Kind == WallClock {
			t.Offset = drawOffset(r)
			t.To = t.From + time.Second
		}
		return t
	}
}

// settle is the time after a process trouble in which the process is left to itself.
const settle = 2500 * time.Millisecond

// separate drops troubles that move a process while another does, and a second trouble of one endpoint at a time.
func (sc *Scenario) separate() (kept []Trouble) {
	for _, t := range sc.Troubles {
		clash := slices.ContainsFunc(kept, func(x Trouble) bool {
			switch {
			case slices.Contains(processKinds, t.Kind) && slices.Contains(processKinds, x.Kind):
				return t.Sender == x.Sender && t.From < x.To+settle+4*time.Second
			case t.Destination >= 0 && x.Destination >= 0:
				return t.Destination == x.Destination && t.From < x.To+time.Second
			}
			return t.Kind == x.Kind && t.Sender == x.Sender && t.Destination == x.Destination && t.From < x.To
		})
		if !clash {
			kept = append(kept, t)
		}
	}
	return kept
}

// Overlaps counts the pairs of kinds that happened at one time.
func (sc *Scenario) Overlaps() map[string]int {
	out := map[string]int{}
	for i, a := range sc.Troubles {
		for _, b := range sc.Troubles[i+1:] {
			if a.overlaps(b) {
				pair := []string{string(a.Kind), string(b.Kind)}
				slices.Sort(pair)
				out[strings.Join(pair, "+")]++
			}
		}
	}
	return out
}

// ends is when the last system trouble of a sender ends.
func (sc *Scenario) ends(sender int) (end time.Duration) {
	for _, t := range sc.Troubles {
		if t.Sender == sender && slices.Contains(kinds["system"], t.Kind) {
			end = max(end, t.To)
		}
	}
	return end
}

// plan is what happens to a sender's system calls and clock, for a run that began at a time.
func (sc *Scenario) plan(sender int, began time.Duration, stateDir string) faultinject.Plan {
	p := faultinject.Plan{StateDir: stateDir}
	for _, t := range sc.Troubles {
		if t.Sender != sender {
			continue
		}
		add := func(f faultinject.Fault) {
			f.From, f.To = began+t.From, began+t.To
			p.Faults = append(p.Faults, f)
		}
		onState := func(errno syscall.Errno, chance float64, calls ...string) {
			for _, call := range calls {
				add(faultinject.Fault{Call: call, On: faultinject.StateFiles, Errno: errno, Chance: chance})
			}
		}
		anywhere := func(chance float64, call string, errnos ...syscall.Errno) {
			for _, errno := range errnos {
				add(faultinject.Fault{Call: call, Errno: errno, Chance: chance})
			}
		}
		switch t.Kind {
		case WallClock:
			p.Steps = append(p.Steps, faultinject.Step{At: began + t.From, Offset: t.Offset})
		case DiskFull:
			onState(syscall.ENOSPC, 1, "pwrite", "open", "rename")
		case DiskErrors:
			onState(syscall.EIO, 0.7, "pwrite", "truncate", "rename", "unlink", "sync", "close")
		case ShortWrites:
			add(faultinject.Fault{Call: "pwrite", On: faultinject.StateFiles, Most: 37, Chance: 1})
			onState(syscall.ENOSPC, 0.2, "pwrite")
			onState(syscall.EIO, 0.5, "truncate")
		case ReadErrors:
			onState(syscall.EIO, 0.5, "read", "pread")
			onState(syscall.EIO, 0.3, "open")
		case NoSockets:
			anywhere(0.4, "socket", syscall.ENOBUFS, syscall.ENFILE)
			anywhere(0.4, "bind", syscall.EADDRINUSE)
			anywhere(0.3, "listen", syscall.EADDRINUSE)
		case NoConnect:
			anywhere(0.25, "connect", syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS)
		case AcceptErrors:
			anywhere(0.2, "accept", syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EHOSTUNREACH, syscall.EINTR)
		case BrokenLinks:
			for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
				add(faultinject.Fault{Call: "read", On: faultinject.OutgoingSockets, Errno: errno, Chance: 0.03})
				add(faultinject.Fault{Call: "write", On: faultinject.OutgoingSockets, Errno: errno, Chance: 0.03})
			}
		case Interrupts:
			for _, call := range []string{"read", "write", "pwrite", "pread", "accept", "lock", "open", "receive", "truncate"} {
				anywhere(0.3, call, syscall.EINTR)
			}
		case ShortIO:
			for _, on := range []faultinject.Target{faultinject.AcceptedSockets, faultinject.OutgoingSockets} {
				add(faultinject.Fault{Call: "read", On: on, Most: 5, Chance: 0.5})
				add(faultinject.Fault{Call: "write", On: on, Most: 7, Chance: 0.5})
			}
		case HeldUp:
			add(faultinject.Fault{Call: "write", On: faultinject.OutgoingSockets, Delay: 120 * time.Millisecond, Chance: 0.15})
			add(faultinject.Fault{Call: "pwrite", On: faultinject.StateFiles, Delay: 60 * time.Millisecond, Chance: 0.05})
		}
	}
	return p
}

// wire is the settings object of the protocol.
func (sc *Scenario) wire(sender int) map[string]any {
	var classes []map[string]any
	for _, c := range sc.Classes {
		group := "all"
		if c.ByZone {
			group = "zone"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim_s": c.Deadline.Seconds() / 3, "deadline_s": c.Deadline.Seconds(),
			"worth": 1, "late_worth": 0.4, "idempotency": c.Effect, "group": group, "window_s": max(c.Window, time.Second).Seconds()})
	}
	mode := "on_request"
	if sc.Pushed {
		mode = "pushed"
	}
	return map[string]any{"balancers": sc.Senders, "me": sender, "zone": sender % 2, "zones": []string{"a", "b"}, "tick_s": 0.005,
		"membership_mode": mode, "weights": "off", "over_share_worth": 0.2, "machine_types": []string{"std"}, "classes": classes,
		"tenants": []any{},
		"limits": map[string]any{"conn_idle_s": 4, "connect_timeout_s": 1.0, "max_attempts": sc.MaxTries, "max_open": sc.MaxOpen,
			"max_retry_after_s": 2, "multiplex": 1, "may_cancel": true, "probing": true, "retry_after": true, "second_copies": sc.SecondCopies},
		"load_info": map[string]any{"how": "off", "names": []string{}},
		"rules": map[string]any{"cold_from": sc.Cold.From, "drain_grace_s": sc.Grace.Seconds(), "fall_multiple": sc.Cold.Multiple,
			"fall_s": sc.Cold.Window.Seconds(), "warm_after_s": sc.Cold.Warm.Seconds(), "answer_slack_s": 0.02, "ask_every_s": 10},
		"specifics": map[string]any{"batch_by_kind": []int{sc.Batch}, "call_slots": 16, "late": "halves", "separate_routes": []bool{false}}}
}

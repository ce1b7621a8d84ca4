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
	Name         string
	Effect       Effect
	DedupPerZone bool
	Deadline     time.Duration
	DedupWindow  time.Duration
}

// Cold are the rules of a destination's return from an outage.
type ColdStart struct {
	OverloadFactor float64
	OverloadWindow time.Duration
	InitialShare   float64
	WarmupTime     time.Duration
}

// Scenario is all that a seed decides.
type Scenario struct {
	Seed                    uint64
	Senders                 int
	Duration                time.Duration // of the traffic and the troubles
	PushDiscovery           bool          // lists are pushed to an agent of each sender
	Classes                 []Class
	Destinations            int
	EndpointsPerDestination int     // of each destination
	Rate                    float64 // messages a second at each sender
	Headroom                float64 // capacity of a destination over its traffic
	MaxBatch                int
	MaxAttempts             int
	MaxOpen                 int
	ConcurrentCopies        bool
	DrainGrace              time.Duration // of a drain
	ColdStart               ColdStart
	DiskMB                  float64
	Faults                  []Fault
}

// Kind is a kind of trouble.
type FaultKind string

// The kinds of trouble. Those of the first group happen to a sender's process, the second to its system calls and its
// clock, the third to destinations, the fourth to discovery, the last to clients.
const (
	Kill          FaultKind = "kill"
	KillTwice     FaultKind = "kill-twice"
	Stop          FaultKind = "stop"
	Upgrade       FaultKind = "upgrade"
	Reload        FaultKind = "reload"
	OperatorDrain FaultKind = "drain-by-operator"

	WallClockStep    FaultKind = "wall-clock"
	DiskFull         FaultKind = "disk-full"
	DiskErrors       FaultKind = "disk-errors"
	ShortDiskWrites  FaultKind = "short-disk-writes"
	DiskReadErrors   FaultKind = "disk-read-errors"
	SocketErrors     FaultKind = "no-sockets"
	ConnectErrors    FaultKind = "no-connect"
	AcceptErrors     FaultKind = "accept-errors"
	ConnectionErrors FaultKind = "broken-connections"
	InterruptedCalls FaultKind = "interrupted-calls"
	ShortTransfers   FaultKind = "short-transfers"
	DelayedWrites    FaultKind = "held-up"

	ConnectionsRefused  FaultKind = "refusing"
	Unresponsive        FaultKind = "silent"
	Unavailable         FaultKind = "shut"
	ServerErrors        FaultKind = "failing"
	ConnectionResets    FaultKind = "resets"
	MalformedResponses  FaultKind = "spoilt-answers"
	RetryAfter          FaultKind = "told-waits"
	SlowResponses       FaultKind = "slow"
	EarlyIdleClose      FaultKind = "idle-close"
	EndpointDrain       FaultKind = "endpoint-drains"
	EndpointReplacement FaultKind = "endpoint-replaced"

	DiscoveryDown FaultKind = "discovery-down"
	DiscoverySlow FaultKind = "discovery-slow"

	IncompleteRequests FaultKind = "half-requests"
	CommandFloods      FaultKind = "floods"
)

// processKinds stop or move a process; others of them must not touch it meanwhile.
var processFaults = []FaultKind{Kill, KillTwice, Stop, Upgrade, Reload, OperatorDrain}

var faultGroups = map[string][]FaultKind{
	"process":     processFaults,
	"system":      {WallClockStep, WallClockStep, DiskFull, DiskErrors, ShortDiskWrites, DiskReadErrors, SocketErrors, ConnectErrors, AcceptErrors, ConnectionErrors, InterruptedCalls, ShortTransfers, DelayedWrites},
	"destination": {ConnectionsRefused, Unresponsive, Unavailable, ServerErrors, ConnectionResets, MalformedResponses, RetryAfter, SlowResponses, EarlyIdleClose, EndpointDrain, EndpointReplacement},
	"discovery":   {DiscoveryDown, DiscoverySlow},
	"client":      {IncompleteRequests, CommandFloods},
}

// Trouble is something that goes wrong for a while.
type Fault struct {
	Kind        FaultKind
	From, To    time.Duration
	Sender      int // -1 if it is not of one
	Destination int // -1 if it is not of one
	Endpoint    int // of the destination
	Offset      time.Duration
}

func (t Fault) String() string {
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
func (t Fault) overlaps(other Fault) bool {
	return t.From < other.To && other.From < t.To && (t.Sender < 0 || other.Sender < 0 || t.Sender == other.Sender)
}

// Draw makes the scenario of a seed. Only, if not empty, bounds the kinds of trouble.
func Generate(seed uint64, senders int, length time.Duration, only []FaultKind) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 17))
	randomDuration := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(time.Second))
	}
	sc := &Scenario{Seed: seed, Senders: senders, Duration: length, PushDiscovery: rng.IntN(2) == 0, Destinations: 2 + rng.IntN(2),
		EndpointsPerDestination: 1 + rng.IntN(3), Rate: 4 + 8*rng.Float64(), Headroom: 1.5 + rng.Float64(), MaxBatch: []int{1, 1, 10}[rng.IntN(3)],
		MaxAttempts: 4 + rng.IntN(5), MaxOpen: 60 + rng.IntN(200), ConcurrentCopies: rng.IntN(2) == 0, DrainGrace: randomDuration(0.8, 1.5),
		ColdStart: ColdStart{OverloadFactor: 2.5, OverloadWindow: 3 * time.Second, InitialShare: 0.15, WarmupTime: 9500 * time.Millisecond},
		DiskMB:    []float64{0.5, 3, 3}[rng.IntN(3)]}
	sc.Classes = []Class{
		{Name: "status", Effect: Retryable, Deadline: randomDuration(2, 7)},
		{Name: "order", Effect: Dedup, Deadline: randomDuration(3, 7), DedupWindow: randomDuration(1.2, 6), DedupPerZone: rng.IntN(3) == 0},
		{Name: "charge", Effect: Fragile, Deadline: randomDuration(2, 7)}}
	for n := int(float64(senders)/2*length.Seconds()/6) + 4; n > 0; n-- {
		sc.Faults = append(sc.Faults, sc.randomFault(rng, only))
	}
	for range len(sc.Faults) / 3 { // beside some, another of the same sender
		first := sc.Faults[rng.IntN(len(sc.Faults))]
		second := sc.randomFault(rng, only)
		if first.Sender >= 0 && second.Sender >= 0 {
			second.Sender = first.Sender
			shift := first.From + time.Duration(float64(first.To-first.From)*(rng.Float64()-0.2)) - second.From
			second.From, second.To = max(second.From+shift, 0), second.To+shift
			sc.Faults = append(sc.Faults, second)
		}
	}
	sc.addCoincidentFaults(rng, only)
	slices.SortFunc(sc.Faults, func(a, b Fault) int { return int(a.From - b.From) })
	sc.Faults = sc.withoutConflicts()
	return sc
}

// addCompanions puts beside restarts what they most often meet in a fault: a step of the wall clock, a disk that fails, and
// a destination that is out, so that there is something to lose.
func (sc *Scenario) addCoincidentFaults(rng *rand.Rand, only []FaultKind) {
	add := func(fault Fault) {
		if len(only) == 0 || slices.Contains(only, fault.Kind) {
			fault.From = max(fault.From, 0)
			sc.Faults = append(sc.Faults, fault)
		}
	}
	for _, restart := range slices.Clone(sc.Faults) {
		if restart.Kind != Kill && restart.Kind != KillTwice && restart.Kind != Stop && restart.Kind != Upgrade {
			continue
		}
		if rng.IntN(2) == 0 {
			at := restart.From + time.Duration(rng.IntN(600))*time.Millisecond
			add(Fault{Kind: WallClockStep, From: at, To: at + time.Second, Sender: restart.Sender, Destination: -1, Offset: randomClockOffset(rng)})
		}
		if rng.IntN(2) == 0 {
			kind := []FaultKind{DiskFull, DiskErrors, ShortDiskWrites, DiskReadErrors}[rng.IntN(4)]
			from := restart.From - time.Duration(rng.IntN(1500))*time.Millisecond
			add(Fault{Kind: kind, From: from, To: from + 2*time.Second, Sender: restart.Sender, Destination: -1})
		}
		if rng.IntN(3) == 0 {
			kind := []FaultKind{ConnectionsRefused, Unresponsive, Unavailable}[rng.IntN(3)]
			from := restart.From - time.Second
			add(Fault{Kind: kind, From: from, To: from + 4*time.Second, Sender: -1, Destination: rng.IntN(sc.Destinations)})
		}
	}
}

// drawOffset draws how far a wall clock is stepped.
func randomClockOffset(rng *rand.Rand) time.Duration {
	offsets := []time.Duration{-time.Hour, time.Hour, -5 * time.Second, 5 * time.Second, -700 * time.Millisecond, 30 * time.Minute}
	return offsets[rng.IntN(len(offsets))]
}

// trouble draws one.
func (sc *Scenario) randomFault(rng *rand.Rand, only []FaultKind) Fault {
	groups := []string{"process", "process", "process", "system", "system", "system", "destination", "destination", "discovery", "client"}
	for {
		group := groups[rng.IntN(len(groups))]
		list := faultGroups[group]
		t := Fault{Kind: list[rng.IntN(len(list))], Sender: -1, Destination: -1}
		if len(only) > 0 && !slices.Contains(only, t.Kind) {
			continue
		}
		t.From = time.Duration(rng.Float64() * 0.85 * float64(sc.Duration))
		t.To = t.From + time.Duration((0.4+3*rng.Float64())*float64(time.Second))
		switch group {
		case "destination":
			t.Destination, t.Endpoint = rng.IntN(sc.Destinations), rng.IntN(sc.EndpointsPerDestination)
			if t.Kind == ConnectionsRefused || t.Kind == Unavailable || t.Kind == ServerErrors || t.Kind == Unresponsive {
				t.To += 2 * time.Second
			}
		default:
			t.Sender = rng.IntN(sc.Senders)
		}
		if t.Kind == WallClockStep {
			t.Offset = randomClockOffset(rng)
			t.To = t.From + time.Second
		}
		return t
	}
}

// settle is the time after a process trouble in which the process is left to itself.
const processSettleTime = 2500 * time.Millisecond

// separate drops troubles that move a process while another does, and a second trouble of one endpoint at a time.
func (sc *Scenario) withoutConflicts() (kept []Fault) {
	for _, t := range sc.Faults {
		conflict := slices.ContainsFunc(kept, func(other Fault) bool {
			switch {
			case slices.Contains(processFaults, t.Kind) && slices.Contains(processFaults, other.Kind):
				return t.Sender == other.Sender && t.From < other.To+processSettleTime+4*time.Second
			case t.Destination >= 0 && other.Destination >= 0:
				return t.Destination == other.Destination && t.From < other.To+time.Second
			}
			return t.Kind == other.Kind && t.Sender == other.Sender && t.Destination == other.Destination && t.From < other.To
		})
		if !conflict {
			kept = append(kept, t)
		}
	}
	return kept
}

// Overlaps counts the pairs of kinds that happened at one time.
func (sc *Scenario) OverlapCounts() map[string]int {
	counts := map[string]int{}
	for i, a := range sc.Faults {
		for _, b := range sc.Faults[i+1:] {
			if a.overlaps(b) {
				pair := []string{string(a.Kind), string(b.Kind)}
				slices.Sort(pair)
				counts[strings.Join(pair, "+")]++
			}
		}
	}
	return counts
}

// ends is when the last system trouble of a sender ends.
func (sc *Scenario) systemFaultsEnd(sender int) (end time.Duration) {
	for _, t := range sc.Faults {
		if t.Sender == sender && slices.Contains(faultGroups["system"], t.Kind) {
			end = max(end, t.To)
		}
	}
	return end
}

// plan is what happens to a sender's system calls and clock, for a run that began at a time.
func (sc *Scenario) syscallPlan(sender int, runStart time.Duration, stateDir string) faultinject.Plan {
	plan := faultinject.Plan{StateDir: stateDir}
	for _, t := range sc.Faults {
		if t.Sender != sender {
			continue
		}
		add := func(f faultinject.Fault) {
			f.From, f.To = runStart+t.From, runStart+t.To
			plan.Faults = append(plan.Faults, f)
		}
		stateFileErrors := func(errno syscall.Errno, chance float64, calls ...string) {
			for _, call := range calls {
				add(faultinject.Fault{Call: call, Target: faultinject.StateFiles, Errno: errno, Probability: chance})
			}
		}
		callErrors := func(chance float64, call string, errnos ...syscall.Errno) {
			for _, errno := range errnos {
				add(faultinject.Fault{Call: call, Errno: errno, Probability: chance})
			}
		}
		switch t.Kind {
		case WallClockStep:
			plan.ClockSteps = append(plan.ClockSteps, faultinject.ClockStep{At: runStart + t.From, Offset: t.Offset})
		case DiskFull:
			stateFileErrors(syscall.ENOSPC, 1, "pwrite", "open", "rename")
		case DiskErrors:
			stateFileErrors(syscall.EIO, 0.7, "pwrite", "truncate", "rename", "unlink", "sync", "close")
		case ShortDiskWrites:
			add(faultinject.Fault{Call: "pwrite", Target: faultinject.StateFiles, MaxBytes: 37, Probability: 1})
			stateFileErrors(syscall.ENOSPC, 0.2, "pwrite")
			stateFileErrors(syscall.EIO, 0.5, "truncate")
		case DiskReadErrors:
			stateFileErrors(syscall.EIO, 0.5, "read", "pread")
			stateFileErrors(syscall.EIO, 0.3, "open")
		case SocketErrors:
			callErrors(0.4, "socket", syscall.ENOBUFS, syscall.ENFILE)
			callErrors(0.4, "bind", syscall.EADDRINUSE)
			callErrors(0.3, "listen", syscall.EADDRINUSE)
		case ConnectErrors:
			callErrors(0.25, "connect", syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS)
		case AcceptErrors:
			callErrors(0.2, "accept", syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EHOSTUNREACH, syscall.EINTR)
		case ConnectionErrors:
			for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
				add(faultinject.Fault{Call: "read", Target: faultinject.OutgoingSockets, Errno: errno, Probability: 0.03})
				add(faultinject.Fault{Call: "write", Target: faultinject.OutgoingSockets, Errno: errno, Probability: 0.03})
			}
		case InterruptedCalls:
			for _, call := range []string{"read", "write", "pwrite", "pread", "accept", "lock", "open", "receive", "truncate"} {
				callErrors(0.3, call, syscall.EINTR)
			}
		case ShortTransfers:
			for _, target := range []faultinject.Target{faultinject.AcceptedSockets, faultinject.OutgoingSockets} {
				add(faultinject.Fault{Call: "read", Target: target, MaxBytes: 5, Probability: 0.5})
				add(faultinject.Fault{Call: "write", Target: target, MaxBytes: 7, Probability: 0.5})
			}
		case DelayedWrites:
			add(faultinject.Fault{Call: "write", Target: faultinject.OutgoingSockets, Delay: 120 * time.Millisecond, Probability: 0.15})
			add(faultinject.Fault{Call: "pwrite", Target: faultinject.StateFiles, Delay: 60 * time.Millisecond, Probability: 0.05})
		}
	}
	return plan
}

// wire is the settings object of the protocol.
func (sc *Scenario) settings(sender int) map[string]any {
	var classes []map[string]any
	for _, c := range sc.Classes {
		group := "all"
		if c.DedupPerZone {
			group = "zone"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim_s": c.Deadline.Seconds() / 3, "deadline_s": c.Deadline.Seconds(),
			"worth": 1, "late_worth": 0.4, "idempotency": c.Effect, "group": group, "window_s": max(c.DedupWindow, time.Second).Seconds()})
	}
	mode := "on_request"
	if sc.PushDiscovery {
		mode = "pushed"
	}
	return map[string]any{"balancers": sc.Senders, "me": sender, "zone": sender % 2, "zones": []string{"a", "b"}, "tick_s": 0.005,
		"membership_mode": mode, "weights": "off", "over_share_worth": 0.2, "machine_types": []string{"std"}, "classes": classes,
		"tenants": []any{},
		"limits": map[string]any{"conn_idle_s": 4, "connect_timeout_s": 1.0, "max_attempts": sc.MaxAttempts, "max_open": sc.MaxOpen,
			"max_retry_after_s": 2, "multiplex": 1, "may_cancel": true, "probing": true, "retry_after": true, "second_copies": sc.ConcurrentCopies},
		"load_info": map[string]any{"how": "off", "names": []string{}},
		"rules": map[string]any{"cold_from": sc.ColdStart.InitialShare, "drain_grace_s": sc.DrainGrace.Seconds(), "fall_multiple": sc.ColdStart.OverloadFactor,
			"fall_s": sc.ColdStart.OverloadWindow.Seconds(), "warm_after_s": sc.ColdStart.WarmupTime.Seconds(), "answer_slack_s": 0.02, "ask_every_s": 10},
		"specifics": map[string]any{"batch_by_kind": []int{sc.MaxBatch}, "call_slots": 16, "late": "halves", "separate_routes": []bool{false}}}
}

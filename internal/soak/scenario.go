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

// Idempotency says whether a message may be executed more than once. Its values are those of the settings.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent      Idempotency = "retryable" // may be sent again at any time
	IdempotentByKey Idempotency = "dedup"     // endpoints drop duplicates by idempotency key within a window
	NonIdempotent   Idempotency = "fragile"   // must not be sent again once it may have been executed
)

// Class describes the messages of one class.
type Class struct {
	Name         string
	Idempotency  Idempotency
	DedupPerZone bool // only endpoints of the same zone recognize each other's duplicates
	Deadline     time.Duration
	KeepOrder    bool          // messages with the same order key are sent one at a time
	DedupWindow  time.Duration // how long duplicates are dropped, from the first attempt that may have been executed
}

// Recovery describes how a destination recovers from an outage: its capacity grows linearly, and calls that exceed it
// too far overload the destination.
type Recovery struct {
	OverloadMultiple float64 // calls above this multiple of the capacity in an OverloadWindow overload it
	OverloadWindow   time.Duration
	ColdCapacity     float64       // fraction of the full capacity right after the outage
	WarmupTime       time.Duration // until the full capacity is reached
}

// Scenario is everything that a seed determines.
type Scenario struct {
	Seed                    uint64
	Senders                 int
	Duration                time.Duration // of the traffic and the faults
	PushDiscovery           bool          // discovery pushes changes to each sender's agent
	Classes                 []Class
	Destinations            int
	EndpointsPerDestination int
	Rate                    float64       // messages per second at each sender, in the mean
	Skewed                  bool          // a few senders get most of the traffic
	Headroom                float64       // capacity of a destination divided by its traffic
	MaxBatch                int           // messages per call
	CallSlots               int           // calls that a sender may have in progress
	OrderKeys               int           // order keys per destination; 0 if no class keeps its order
	LargeBodies             bool          // several messages often do not fit in one call
	MaxAttempts             int           // calls per message
	MaxOpen                 int           // messages that a sender holds at once
	SecondCopies            bool          // a message may be sent again while an earlier call with it is in progress
	DrainGrace              time.Duration // how long calls are still allowed after an endpoint starts to drain
	Recovery                Recovery
	DiskMB                  float64 // disk space of a sender
	UnsolicitedShare        float64 // share of the good responses after which a peer sends data that belongs to no request
	Faults                  []Fault
}

// FaultKind names a kind of fault. The flag --troubles of command soak prints the faults of a run.
type FaultKind string

// The kinds of fault, grouped by what they affect: a sender's process, its system calls and wall clock, a destination,
// discovery, or the clients of a sender.
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
	RetryAfterResponses FaultKind = "told-waits"
	SlowResponses       FaultKind = "slow"
	EarlyIdleClose      FaultKind = "idle-close"
	EndpointDrain       FaultKind = "endpoint-drains"
	EndpointReplacement FaultKind = "endpoint-replaced"

	DiscoveryDown FaultKind = "discovery-down"
	DiscoverySlow FaultKind = "discovery-slow"

	// UnsolicitedData lasts for the whole of a run: some of the good responses of endpoints, discovery and the platform are
	// followed by data that belongs to no request.
	UnsolicitedData FaultKind = "unsolicited-data"

	IncompleteRequests FaultKind = "half-requests"
	CommandFloods      FaultKind = "floods"

	// LargeBursts and OrderedPairs are traffic rather than faults: several large messages at once for one destination, and
	// messages with an order key, each in one write with one that may not be repeated, while an endpoint is unresponsive.
	LargeBursts  FaultKind = "large-bursts"
	OrderedPairs FaultKind = "ordered-pairs"
	// SilentEndpoint is Unresponsive for one endpoint while the others of its destination serve.
	SilentEndpoint FaultKind = "silent-endpoint"
)

// ordinaryProcessFaults are drawn at random.
var ordinaryProcessFaults = []FaultKind{Kill, KillTwice, Stop, Upgrade, Reload, OperatorDrain}

// processFaults stop, replace or reconfigure a process. They must not overlap on the same sender.
var processFaults = append(slices.Clone(ordinaryProcessFaults), SignalSeries)

// faultGroups lists the kinds of each group. A kind that appears twice is twice as likely.
var faultGroups = map[string][]FaultKind{
	"process": ordinaryProcessFaults,
	"system": {WallClockStep, WallClockStep, DiskFull, DiskErrors, ShortDiskWrites, DiskReadErrors, SocketErrors,
		ConnectErrors, AcceptErrors, ConnectionErrors, InterruptedCalls, ShortTransfers, DelayedWrites},
	"destination": {ConnectionsRefused, Unresponsive, Unavailable, ServerErrors, ConnectionResets, MalformedResponses,
		RetryAfterResponses, SlowResponses, EarlyIdleClose, EndpointDrain, EndpointReplacement},
	"discovery": {DiscoveryDown, DiscoverySlow},
	"client":    {IncompleteRequests, CommandFloods},
}

// Fault is one fault of a scenario.
type Fault struct {
	Kind        FaultKind
	From, To    time.Duration // since the start of the run
	Sender      int           // -1 if the fault does not affect a particular sender
	Destination int           // -1 if the fault does not affect a destination
	Endpoint    int           // index among the endpoints of the destination
	Offset      time.Duration // of the wall clock, for WallClockStep
}

func (f Fault) String() string {
	where := ""
	switch {
	case f.Sender >= 0:
		where = fmt.Sprintf(" sender %d", f.Sender)
	case f.Destination >= 0:
		where = fmt.Sprintf(" destination %d.%d", f.Destination, f.Endpoint)
	}
	if f.Offset != 0 {
		where += fmt.Sprintf(" by %v", f.Offset)
	}
	return fmt.Sprintf("%s%s %.1f-%.1fs", f.Kind, where, f.From.Seconds(), f.To.Seconds())
}

// overlaps reports whether two faults that may affect the same sender overlap in time.
func (f Fault) overlaps(other Fault) bool {
	return f.From < other.To && other.From < f.To && (f.Sender < 0 || other.Sender < 0 || f.Sender == other.Sender)
}

// Generate returns the scenario of a seed. If only is not empty, it lists the kinds of fault to use.
func Generate(seed uint64, senders int, duration time.Duration, only []FaultKind) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 17))
	randomDuration := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(time.Second))
	}
	sc := &Scenario{
		Seed:                    seed,
		Senders:                 senders,
		Duration:                duration,
		PushDiscovery:           rng.IntN(2) == 0,
		Destinations:            2 + rng.IntN(2),
		EndpointsPerDestination: 1 + rng.IntN(3),
		Rate:                    4 + 8*rng.Float64(),
		Headroom:                1.5 + rng.Float64(),
		MaxBatch:                []int{1, 1, 10}[rng.IntN(3)],
		CallSlots:               defaultCallSlots,
		MaxAttempts:             4 + rng.IntN(5),
		MaxOpen:                 60 + rng.IntN(200),
		SecondCopies:            rng.IntN(2) == 0,
		DrainGrace:              randomDuration(0.8, 1.5),
		Recovery: Recovery{
			OverloadMultiple: 2.5,
			OverloadWindow:   3 * time.Second,
			ColdCapacity:     0.15,
			WarmupTime:       9500 * time.Millisecond,
		},
		DiskMB: []float64{0.5, 3, 3}[rng.IntN(3)],
	}
	sc.Classes = []Class{
		{Name: "status", Idempotency: Idempotent, Deadline: randomDuration(2, 7)},
		{
			Name:         "order",
			Idempotency:  IdempotentByKey,
			Deadline:     randomDuration(3, 7),
			DedupWindow:  randomDuration(1.2, 6),
			DedupPerZone: rng.IntN(3) == 0,
		},
		{Name: "charge", Idempotency: NonIdempotent, Deadline: randomDuration(2, 7)},
	}
	for n := int(float64(senders)/2*duration.Seconds()/6) + 4; n > 0 && drawsAny(only); n-- {
		sc.Faults = append(sc.Faults, sc.randomFault(rng, only))
	}
	for range len(sc.Faults) / 3 { // add overlapping faults of the same sender
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
	sc.addTraffic(rand.New(rand.NewPCG(seed, 23)), only)
	sc.addPressure(rand.New(rand.NewPCG(seed, 31)), only)
	slices.SortFunc(sc.Faults, func(a, b Fault) int { return int(a.From - b.From) })
	sc.Faults = sc.withoutConflicts()
	if unsolicitedShare := []float64{0, 0.1, 0.5}[rng.IntN(3)]; allowsKind(only, UnsolicitedData) {
		sc.UnsolicitedShare = unsolicitedShare
	}
	return sc
}

// addTraffic adds order keys and large messages, and what makes them meet outages. It has a random source of its own, so
// that the other faults of a seed stay the same.
func (sc *Scenario) addTraffic(rng *rand.Rand, only []FaultKind) {
	if rng.IntN(2) == 0 {
		sc.OrderKeys = 1 + rng.IntN(3)
		sc.Classes[0].KeepOrder = true
	}
	if sc.MaxBatch > 1 && rng.IntN(2) == 0 {
		sc.LargeBodies, sc.CallSlots, sc.DiskMB = true, fewCallSlots, largeDiskMB
	}
	add := func(kind FaultKind, from time.Duration) {
		if allowsKind(only, kind) {
			sc.Faults = append(sc.Faults,
				Fault{Kind: kind, From: from, To: from + trafficTime, Sender: rng.IntN(sc.Senders), Destination: -1})
		}
	}
	randomStart := func() time.Duration { return time.Duration(rng.Float64() * 0.7 * float64(sc.Duration)) }
	if sc.LargeBodies {
		for range 4 {
			add(LargeBursts, randomStart())
		}
	}
	if sc.OrderKeys > 0 && sc.SecondCopies && sc.MaxBatch > 1 && allowsKind(only, SilentEndpoint) {
		from := randomStart()
		add(OrderedPairs, from)
		add(OrderedPairs, from)
		sc.Faults = append(sc.Faults,
			Fault{Kind: SilentEndpoint, From: from, To: from + trafficTime + silentTime, Sender: -1, Destination: 0})
	}
}

// addCoincidentFaults adds to restarts the faults that most often expose bugs together with them: steps of the wall
// clock, disk faults, and destination outages, which leave undelivered messages that the restart could lose.
func (sc *Scenario) addCoincidentFaults(rng *rand.Rand, only []FaultKind) {
	add := func(fault Fault) {
		if allowsKind(only, fault.Kind) {
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
			add(Fault{
				Kind:        WallClockStep,
				From:        at,
				To:          at + time.Second,
				Sender:      restart.Sender,
				Destination: -1,
				Offset:      randomClockOffset(rng),
			})
		}
		if rng.IntN(2) == 0 {
			kind := []FaultKind{DiskFull, DiskErrors, ShortDiskWrites, DiskReadErrors}[rng.IntN(4)]
			from := restart.From - time.Duration(rng.IntN(1500))*time.Millisecond
			add(Fault{Kind: kind, From: from, To: from + 2*time.Second, Sender: restart.Sender, Destination: -1})
		}
		if rng.IntN(3) == 0 {
			kind := []FaultKind{ConnectionsRefused, Unresponsive, Unavailable}[rng.IntN(3)]
			from := restart.From - time.Second
			add(Fault{
				Kind:        kind,
				From:        from,
				To:          from + 4*time.Second,
				Sender:      -1,
				Destination: rng.IntN(sc.Destinations),
			})
		}
	}
}

// allowsKind reports whether a kind is in only, or only is empty.
func allowsKind(only []FaultKind, kind FaultKind) bool {
	return len(only) == 0 || slices.Contains(only, kind)
}

// drawsAny reports whether randomFault may draw a fault of a kind in only.
func drawsAny(only []FaultKind) bool {
	for _, kinds := range faultGroups {
		if slices.ContainsFunc(kinds, func(kind FaultKind) bool { return allowsKind(only, kind) }) {
			return true
		}
	}
	return false
}

// randomClockOffset returns a random offset for a step of the wall clock.
func randomClockOffset(rng *rand.Rand) time.Duration {
	offsets := []time.Duration{
		-time.Hour,
		time.Hour,
		-5 * time.Second,
		5 * time.Second,
		-700 * time.Millisecond,
		30 * time.Minute,
	}
	return offsets[rng.IntN(len(offsets))]
}

// randomFault returns a random fault of a kind in only, or of any kind if only is empty.
func (sc *Scenario) randomFault(rng *rand.Rand, only []FaultKind) Fault {
	groups := []string{ // a group is drawn as often as it is listed
		"process", "process", "process",
		"system", "system", "system",
		"destination", "destination",
		"discovery",
		"client",
	}
	for {
		group := groups[rng.IntN(len(groups))]
		kinds := faultGroups[group]
		fault := Fault{Kind: kinds[rng.IntN(len(kinds))], Sender: -1, Destination: -1}
		if !allowsKind(only, fault.Kind) {
			continue
		}
		fault.From = time.Duration(rng.Float64() * 0.85 * float64(sc.Duration))
		fault.To = fault.From + time.Duration((0.4+3*rng.Float64())*float64(time.Second))
		switch group {
		case "destination":
			fault.Destination, fault.Endpoint = rng.IntN(sc.Destinations), rng.IntN(sc.EndpointsPerDestination)
			if fault.Kind == ConnectionsRefused || fault.Kind == Unavailable ||
				fault.Kind == ServerErrors || fault.Kind == Unresponsive {
				fault.To += 2 * time.Second
			}
		default:
			fault.Sender = rng.IntN(sc.Senders)
		}
		if fault.Kind == WallClockStep {
			fault.Offset = randomClockOffset(rng)
			fault.To = fault.From + time.Second
		}
		return fault
	}
}

const (
	defaultCallSlots = 16
	fewCallSlots     = 5   // so that calls which the sender does not count exceed them
	largeDiskMB      = 8.0 // disk space of a sender for large messages
	keyCooldown      = time.Second
	silentTime       = 4 * time.Second // of a SilentEndpoint after the OrderedPairs
	trafficTime      = 2 * time.Second // of LargeBursts and OrderedPairs
)

// processSettleTime is a time after a process fault in which its sender has no other one; withoutConflicts adds 4 s.
const processSettleTime = 2500 * time.Millisecond

// withoutConflicts returns the faults without those that would overlap or closely follow another process fault of the
// same sender or another fault of the same destination, or that overlap a fault of the same kind and place.
func (sc *Scenario) withoutConflicts() (faults []Fault) {
	for _, fault := range sc.Faults {
		conflict := slices.ContainsFunc(faults, func(other Fault) bool {
			switch {
			case slices.Contains(processFaults, fault.Kind) && slices.Contains(processFaults, other.Kind):
				return fault.Sender == other.Sender && fault.From < other.To+processSettleTime+4*time.Second
			case fault.Destination >= 0 && other.Destination >= 0:
				return fault.Destination == other.Destination && fault.From < other.To+time.Second
			}
			return fault.Kind == other.Kind && fault.Sender == other.Sender && fault.Destination == other.Destination &&
				fault.From < other.To
		})
		if !conflict {
			faults = append(faults, fault)
		}
	}
	return faults
}

// OverlapCounts returns how often each pair of kinds overlaps.
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

// systemFaultsEnd returns when the last fault in a sender's system calls or wall clock ends.
func (sc *Scenario) systemFaultsEnd(sender int) (end time.Duration) {
	for _, fault := range sc.Faults {
		if fault.Sender == sender && slices.Contains(faultGroups["system"], fault.Kind) {
			end = max(end, fault.To)
		}
	}
	return end
}

// syscallPlan returns the plan for a sender's system calls and wall clock. runStart is the start of the run on the
// clock of [faultinject.Now].
func (sc *Scenario) syscallPlan(sender int, runStart time.Duration, stateDir string) faultinject.Plan {
	plan := faultinject.Plan{StateDir: stateDir}
	for _, fault := range sc.Faults {
		if fault.Sender != sender {
			continue
		}
		add := func(f faultinject.Fault) {
			f.From, f.To = runStart+fault.From, runStart+fault.To
			plan.Faults = append(plan.Faults, f)
		}
		stateFileErrors := func(errno syscall.Errno, probability float64, calls ...string) {
			for _, call := range calls {
				add(faultinject.Fault{
					Call:        call,
					Target:      faultinject.StateFiles,
					Errno:       errno,
					Probability: probability,
				})
			}
		}
		callErrors := func(probability float64, call string, errnos ...syscall.Errno) {
			for _, errno := range errnos {
				add(faultinject.Fault{Call: call, Errno: errno, Probability: probability})
			}
		}
		switch fault.Kind {
		case WallClockStep:
			plan.ClockSteps = append(plan.ClockSteps,
				faultinject.ClockStep{At: runStart + fault.From, Offset: fault.Offset})
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
			callErrors(0.2, "accept",
				syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EHOSTUNREACH, syscall.EINTR)
		case ConnectionErrors:
			for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
				add(faultinject.Fault{
					Call:        "read",
					Target:      faultinject.OutgoingSockets,
					Errno:       errno,
					Probability: 0.03,
				})
				add(faultinject.Fault{
					Call:        "write",
					Target:      faultinject.OutgoingSockets,
					Errno:       errno,
					Probability: 0.03,
				})
			}
		case InterruptedCalls:
			for _, call := range []string{
				"read", "write", "pwrite", "pread", "accept", "lock", "open", "receive", "truncate",
			} {
				callErrors(0.3, call, syscall.EINTR)
			}
		case ShortTransfers:
			for _, target := range []faultinject.Target{faultinject.AcceptedSockets, faultinject.OutgoingSockets} {
				add(faultinject.Fault{Call: "read", Target: target, MaxBytes: 5, Probability: 0.5})
				add(faultinject.Fault{Call: "write", Target: target, MaxBytes: 7, Probability: 0.5})
			}
		case DelayedWrites:
			add(faultinject.Fault{
				Call:        "write",
				Target:      faultinject.OutgoingSockets,
				Delay:       120 * time.Millisecond,
				Probability: 0.15,
			})
			add(faultinject.Fault{
				Call:        "pwrite",
				Target:      faultinject.StateFiles,
				Delay:       60 * time.Millisecond,
				Probability: 0.05,
			})
		}
	}
	return plan
}

// settings returns the settings object that the configuration of a sender contains.
func (sc *Scenario) settings(sender int) map[string]any {
	var classes []map[string]any
	for _, c := range sc.Classes {
		group := "all"
		if c.DedupPerZone {
			group = "zone"
		}
		classes = append(classes, map[string]any{
			"name":        c.Name,
			"aim_s":       c.Deadline.Seconds() / 3,
			"deadline_s":  c.Deadline.Seconds(),
			"worth":       1,
			"late_worth":  0.4,
			"idempotency": c.Idempotency,
			"group":       group,
			"keep_order":  c.KeepOrder,
			"window_s":    max(c.DedupWindow, time.Second).Seconds(),
		})
	}
	mode := "on_request"
	if sc.PushDiscovery {
		mode = "pushed"
	}
	return map[string]any{
		"balancers":        sc.Senders,
		"me":               sender,
		"zone":             sender % 2,
		"zones":            []string{"a", "b"},
		"tick_s":           0.005,
		"membership_mode":  mode,
		"weights":          "off",
		"over_share_worth": 0.2,
		"machine_types":    []string{"std"},
		"classes":          classes,
		"tenants":          []any{},
		"limits": map[string]any{
			"conn_idle_s":       4,
			"connect_timeout_s": 1.0,
			"max_attempts":      sc.MaxAttempts,
			"max_open":          sc.MaxOpen,
			"max_retry_after_s": 2,
			"multiplex":         1,
			"may_cancel":        true,
			"probing":           true,
			"retry_after":       true,
			"second_copies":     sc.SecondCopies,
		},
		"load_info": map[string]any{"how": "off", "names": []string{}},
		"rules": map[string]any{
			"cold_from":      sc.Recovery.ColdCapacity,
			"drain_grace_s":  sc.DrainGrace.Seconds(),
			"fall_multiple":  sc.Recovery.OverloadMultiple,
			"fall_s":         sc.Recovery.OverloadWindow.Seconds(),
			"warm_after_s":   sc.Recovery.WarmupTime.Seconds(),
			"answer_slack_s": 0.02,
			"ask_every_s":    10,
			"key_quiet_s":    keyCooldown.Seconds(),
		},
		"specifics": map[string]any{
			"batch_by_kind":   []int{sc.MaxBatch},
			"call_slots":      sc.CallSlots,
			"late":            "halves",
			"separate_routes": []bool{false},
		},
	}
}

// Package logic makes the decisions of one sender that delivers messages to
// destinations outside its control: which message to send to which endpoint and
// when, which attempts to cancel, and when to end a message undelivered.
//
// A caller creates a [Sender] with [New] and passes it events, in order, through
// [Sender.Step], which returns the actions to take, in order. The package has no
// clock, I/O, goroutines or global state. A Sender is not safe for concurrent
// use: only one goroutine at a time may call Step.
//
// The caller must deliver events in the order in which they happened; use a time
// that does not go back (an earlier time is treated as the last one seen); report
// exactly one [AttemptResult] for each [Send] and one [ProbeResult] for each
// [Probe]; and call Step with a [TimerFired] when a [SetTimer] expires (a late
// call only delays the Sender's decisions).
//
// The Sender ends each message exactly once and by its deadline (through an
// AttemptResult with Final set, a [Reject] or a [Fail]) and sends nothing for it
// afterwards. In what it sends itself, it follows the rules for draining, requested
// waits, resends, attempt limits, order by key, and load on destinations that
// recover. Events for messages, endpoints or timers that it does not know are
// ignored. The same events produce the same actions.
package logic

// Micros is a point in time or a duration in whole microseconds. The clock may
// start at any value.
type Micros int64

// Second is one second.
const Second Micros = 1_000_000

// Idempotency says whether a message may be sent again after an attempt that may
// have run.
type Idempotency int

// The idempotency of a message class.
const (
	Idempotent      Idempotency = iota // safe: may be sent again at any time
	IdempotentByKey                    // keyed: the destination drops duplicates within a window
	NonIdempotent                      // unsafe: must never take effect twice
)

// Class describes one class of message.
type Class struct {
	Name          string
	TargetLatency Micros // a message delivered within this time has its full value
	Deadline      Micros // time limit for delivery
	Value         float64
	LateValue     float64 // fraction of the value that remains at the deadline
	Idempotency   Idempotency
	DedupPerZone  bool   // keyed: only endpoints of the same zone recognize each other's duplicates
	DedupWindow   Micros // keyed: how long duplicates are dropped, from the first send that may have run
	KeepOrder     bool   // messages with the same key are sent one at a time, in order of arrival
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Name     string
	QuotaRPS float64 // messages per second within its share, over all senders
}

// WeightsMode says what EndpointEntry.NominalRate holds.
type WeightsMode int

// The kinds of weights.
const (
	WeightsOff         WeightsMode = iota // nothing
	WeightsNominal                        // the destination's rate in calls per second, for all senders together
	WeightsApproximate                    // the same, but up to half too high or too low
)

// Settings describe a deployment. They are fixed when the sender starts.
type Settings struct {
	Senders          int // number of senders that share the destinations, including this one
	Zone             int // this sender's zone
	Zones            int
	Classes          []Class
	Tenants          []Tenant // may be empty
	Kinds            []DestinationKind
	CallSlots        int    // maximum number of concurrent calls
	MaxOpen          int    // maximum number of messages held (not ended) at once; 0 for no limit
	MaxAttempts      int    // maximum number of attempts per message; 0 for no limit
	Tick             Micros // resolution of timers
	ListOnRequest    bool   // the endpoint list must be requested with Subscribe
	Probing          bool   // health probes may be sent
	MayCancel        bool   // attempts may be cancelled
	SecondCopies     bool   // a message may be sent again while an earlier attempt of it is in flight
	MaxCallBytes     int    // maximum total Size of the messages in one call with several; 0 for no limit
	RetryAfter       bool   // clients are advised when to retry a rejected message
	ExponentialDecay bool   // a late message loses half its value per TargetLatency; else linear decay
	Weights          WeightsMode

	ConnIdleTimeout Micros  // idle connections are closed after this time
	CallsPerConn    int     // concurrent calls on one connection
	ConnCost        float64 // cost charged for each message that needs a new connection

	MaxRetryAfter  Micros  // longest retry advice that clients follow
	OverQuotaValue float64 // fraction of its value that a message over its tenant's quota keeps

	DrainGrace       Micros  // time allowed to stop sending to an endpoint that drains or is removed
	OverloadMultiple float64 // a cold destination fails under more than this multiple of its capacity ...
	OverloadWindow   Micros  // ... that lasts this long
	ColdCapacity     float64 // fraction of its capacity that a destination has right after an outage
	WarmupTime       Micros  // time from the end of the outage until it has its full capacity
	KeyCooldown      Micros  // pause of an order key after an attempt that may still be running

	LoadRemainingIndex int // index in AttemptResult.Load of the unused fraction of the limit; -1 if not reported
	LoadLimitIndex     int // index in AttemptResult.Load of the limit in calls per second; -1 if not reported
}

// DestinationKind describes a kind of destination.
type DestinationKind struct {
	Name           string
	SeparateRoutes bool // endpoints are independent routes, each with its own limit, pace and outages
	MaxBatch       int  // maximum number of messages in one call
}

// EndpointID identifies an endpoint. The number has no other meaning.
type EndpointID uint32

// Readiness is the state of an endpoint in the list. It says nothing about the
// endpoint's health.
type Readiness int

// The states of an endpoint in the list.
const (
	Ready Readiness = iota
	Draining
	Removed
)

// EndpointEntry is one entry of the endpoint list.
type EndpointEntry struct {
	Endpoint    EndpointID
	Zone        int
	Kind        int
	Dest        int64
	State       Readiness
	NominalRate float64
}

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// UpdateKind says how to read an EndpointUpdate.
type UpdateKind int

// The kinds of update of the endpoint list.
const (
	UpdateDelta  UpdateKind = iota // changes only
	UpdateFull                     // the full list: endpoints that are not in it are removed
	UpdateCached                   // the full list as last saved, possibly out of date
	UpdateFailed                   // a request for the list failed: the current list stays in use
)

// EndpointUpdate reports changes of the endpoint list.
type EndpointUpdate struct {
	Kind        UpdateKind
	Entries     []EndpointEntry
	RequestTime Micros // duration of a failed request; the list may have changed since it started
}

// Message hands a message to the Sender: a new one, or one that this sender had
// accepted before a process restart.
type Message struct {
	ID       string
	TimeLeft Micros // time until the deadline
	OrderKey string // messages with the same key keep their order; empty if none
	Dest     int64
	Tenant   int // -1 if none
	Class    int
	Size     int // bytes that it adds to a call with several messages
	History  History
}

// History says what happened to a message before a process restart. It is zero for
// a new message.
type History struct {
	Accepted   bool   // the message was accepted before the process restart
	Attempts   int    // number of attempts made
	MayHaveRun bool   // at least one attempt may have run
	Age        Micros // time since the first attempt that may have run was sent
	Zone       int    // zone of the endpoint of that attempt
}

// Shutdown says that the sender stops after TimeLeft: attempts that cannot finish
// by then must not be started.
type Shutdown struct{ TimeLeft Micros }

// StreamStarted says that the stream of a message has begun: until its
// AttemptResult the Sender neither cancels the attempt nor ends the message.
type StreamStarted struct {
	ID      string
	Attempt int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes. Refused, ConnRefused, Skipped and LocalFailure prove that the attempt
// never ran.
const (
	Delivered    Outcome = iota // the endpoint took the message
	Errored                     // answered with an error
	Refused                     // refused by the endpoint without being processed
	TimedOut                    // no answer within the timeout
	ConnRefused                 // no connection could be made
	ConnLost                    // the connection broke
	Cancelled                   // cancelled by the Sender
	Skipped                     // not sent: no free slot, the message had ended, or too many attempts
	Unreadable                  // malformed answer: the attempt may have run, and the endpoint is up
	LocalFailure                // not sent for lack of a local resource; does not count as an attempt
)

// AttemptResult reports the outcome of an attempt. Each attempt has exactly one, when
// the call that carries it has ended, or earlier if the endpoint will surely not get
// the message.
type AttemptResult struct {
	ID         string
	Final      bool // the message has ended
	Endpoint   EndpointID
	Attempt    int
	Outcome    Outcome
	Latency    Micros
	RetryAfter Micros // wait requested by the endpoint, with any outcome; 0 if none
	Load       []float64
}

// ClientGone says that the client no longer wants the message.
type ClientGone struct{ ID string }

// TimerFired says that a timer has expired.
type TimerFired struct{ Token uint64 }

// ProbeResult reports the outcome of a probe. Each probe has exactly one.
type ProbeResult struct {
	Endpoint EndpointID
	Outcome  Outcome
	Load     []float64
}

func (EndpointUpdate) isEvent() {}
func (HealthRestored) isEvent() {}
func (Message) isEvent()        {}
func (StreamStarted) isEvent()  {}
func (AttemptResult) isEvent()  {}
func (ClientGone) isEvent()     {}
func (TimerFired) isEvent()     {}
func (ProbeResult) isEvent()    {}
func (Shutdown) isEvent()       {}

// Action is something for the caller to do: one of the types below.
type Action interface{ isAction() }

// Send starts an attempt to deliver a message to an endpoint. The first Send of a
// message is attempt 0, the next one attempt 1, and so on.
type Send struct {
	ID       string
	Timeout  Micros
	Endpoint EndpointID
	Call     int // number of the call: the Sends of one Step with the same number travel together
}

// Cancel cancels an attempt. The call that carries it goes on while other messages
// wait for its answer. Its AttemptResult still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// Reject ends a message undelivered. It has not run, so the client may safely
// retry it.
type Reject struct {
	ID         string
	RetryAfter Micros // advice on when to retry; 0 for none
}

// Fail ends a message of which it is not known whether it took effect.
type Fail struct{ ID string }

// SetTimer asks for a TimerFired event after Wait.
type SetTimer struct {
	Wait  Micros
	Token uint64
}

// Probe sends a health probe to an endpoint.
type Probe struct{ Endpoint EndpointID }

// ReleaseConns closes the idle connections to an endpoint.
type ReleaseConns struct{ Endpoint EndpointID }

// Subscribe requests the endpoint list and its changes.
type Subscribe struct{}

// Log is a log line for operators.
type Log struct{ Text string }

func (Send) isAction()         {}
func (RecordHealth) isAction() {}
func (Cancel) isAction()       {}
func (Reject) isAction()       {}
func (Fail) isAction()         {}
func (SetTimer) isAction()     {}
func (Probe) isAction()        {}
func (ReleaseConns) isAction() {}
func (Subscribe) isAction()    {}
func (Log) isAction()          {}

package logic

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// A snapshot holds the whole state of a Sender, so that another process can continue in its place. References
// become numbers: endpoints, destinations and calls are known by their index in the snapshot, messages by their
// id. A snapshot is for a process of the same build, or of one that reads the same version.
//
// A type with the suffix State is the stored form of the type without it. The JSON keys are those of version 1:
// where a field has a clearer name than its key, the key is its tag, and where one line declares several fields
// under their keys, a comment names what they hold.

const snapshotVersion = 1

// errInconsistentSnapshot is returned for a snapshot whose parts contradict each other or the settings.
var errInconsistentSnapshot = errors.New("snapshot is inconsistent")

type snapshot struct {
	Version        int
	RNGState       []byte `json:"Rand"` // of Sender.rngSource
	Now            Micros
	Step           int
	LastSeq        int                      `json:"Seq"`
	NextCleanupAt  Micros                   `json:"ForgetAt"`
	SubscribeAt    Micros                   `json:"AskAt"`
	SubscribeDelay Micros                   `json:"AskGap"`
	ListStaleUntil Micros                   `json:"Unsure"`
	LogLines       int                      `json:"Logs"`
	RefusalRate    map[int]float64          `json:"Turned"`  // by kind
	ScarceUntil    map[int]Micros           `json:"Short"`   // by kind
	TenantUsage    []tenantUsageState       `json:"Usage"`   // by tenant
	ClassLatency   []histogramState         `json:"ByClass"` // by class
	Dests          []destState              // in the order of Sender.destOrder
	Endpoints      []endpointState          // by their numbers
	Removed        []int                    `json:"Gone"` // numbers of endpoints
	Messages       []msgState               // those that have not ended, in order, then those that have
	HeldCount      int                      `json:"Held"`  // how many of Messages have not ended
	CallCount      int                      `json:"Calls"` // calls that InFlight refers to
	InFlight       []attemptState           `json:"Flying"`
	KeyQueues      map[string]keyQueueState `json:"Keys"` // by key
}

type tenantUsageState struct {
	Count     float64 `json:"N"`
	UpdatedAt Micros  `json:"At"`
}

// histogramState is a histogram; Cuts is its field censored.
type histogramState struct {
	Bins        []float64 `json:"W"`
	Total, Cuts float64
	UpdatedAt   Micros `json:"At"`
}

// limiterState is a limiter, with the fields in the same order: limiter.save and limiterState.restore rely on it.
type limiterState struct {
	Limit          float64
	Reported       bool    `json:"Told"`
	Remaining      float64 `json:"Left"`
	Pace           float64
	ReducedAt      Micros `json:"Halved"`
	Tokens         float64
	RefilledAt     Micros   `json:"Filled"`
	WaitUntil      Micros   `json:"Until"`
	InFlight       int      `json:"Inflight"`
	Refusals       int      `json:"Fulls"`
	FirstRefusalAt Micros   `json:"FirstFull"`
	SentAt         []Micros `json:"Sent"`
	ServedAt       []Micros `json:"Served,omitempty"` // not written by older builds
	PeakRate       float64  `json:"Peak"`
	Jitter         float64  `json:"Phase"`

	// Not written by older builds.
	Shortages       int     `json:",omitempty"`
	FirstShortageAt Micros  `json:",omitempty"`
	Reportless      bool    `json:",omitempty"`
	ServedWeight    float64 `json:",omitempty"`
	ServedWeightAt  Micros  `json:",omitempty"`
	ServedSince     Micros  `json:",omitempty"`
	Share           float64 `json:",omitempty"`
}

type destState struct {
	ID           int64
	Kind         int
	Endpoints    []int          `json:"Eps"` // numbers of endpoints
	NextEndpoint int            `json:"Next"`
	Limiter      limiterState   `json:"Lane"`
	Latency      histogramState `json:"Hist"`
	LastUsedAt   Micros         `json:"Used"`
	Arrivals     int            `json:"Came"`
	OutageSeenAt Micros         `json:"DownAt"`
}

type endpointState struct {
	ID                EndpointID
	Known             bool // the current endpoint of its id, not one that it has replaced
	Zone              int
	State             Readiness
	Dest              int           // index in Dests
	OwnLimiter        *limiterState `json:"Own"` // nil if it shares that of its destination
	SentAt            []Micros      `json:"Sent"`
	FailureRate       float64       `json:"Bad"`
	Fails, Fulls      int           // failures and refusals, in a row
	Spoilt, Resets    int           // unreadable and resets, in a row
	RemovedAt         Micros        `json:"GoneAt"`
	LastOK, LastBad   Micros        // lastOK and lastFail
	HealthyAt         Micros        `json:"Well"`
	OKSent, OutAt     Micros        `json:",omitempty"` // lastOKSent and ejectedAt; not written by older builds
	Suspect, Cold     bool          // ejected and cold
	BackAt, DownAt    Micros        // upAt and downAt
	TrialAt, TrialGap Micros        // trialAt and trialInterval
	InFlight          int           `json:"Inflight"`
	SmoothedLatency   float64       `json:"Slow"`
	LastSent, Warm    Micros        // lastSent and idleConnUntil
	Kind              *int          `json:",omitempty"` // nil if it is that of its destination
	Unanswered        int           `json:",omitempty"` // these two are not written by older builds
	UnansweredSince   Micros        `json:",omitempty"`
}

type msgState struct {
	ID             string
	Class          int     // index in the settings
	ValueShare     float64 `json:"Share"`
	Dest           int     // index in Dests
	Seq            int
	First, Came    Micros // submitted and arrived
	Deadline       Micros
	Tries, Cuts    int    // attempts and restarts
	MayHaveRun     bool   `json:"MayRun"`
	MayHaveRunAt   Micros `json:"FirstMay"`
	MayHaveRunZone int    `json:"MayZone"`
	LastEndpoint   int    `json:"Last"` // number of an endpoint; -1 for none
	RetryAt        Micros `json:"Rest"`
	Over, Flows    bool   // ended and streaming
	Size           int    `json:",omitempty"` // not written by older builds
}

type attemptState struct {
	Message               string // id
	N, Endpoint, Call     int    // number of the attempt, number of the endpoint, number of the call
	SentAt                Micros `json:"At"`
	Cancelled, Cut, Stuck bool   // cancelled, restarted and stuck
	Censored              bool   `json:"Late"`

	// Not written by older builds.
	Abandoned   bool   `json:",omitempty"`
	CancelledAt Micros `json:",omitempty"`
	TimeoutAt   Micros `json:",omitempty"`
}

type keyQueueState struct {
	Messages       []string `json:"Queue"` // ids
	CooldownUntil  Micros   `json:"Quiet"`
	CooldownExempt string   `json:"By"` // id; empty if there is none, or if that message was dropped
}

// save writes all bins even if there is no sample: version 1 has them.
func (h *histogram) save() histogramState {
	w := h.bins
	if w == nil {
		w = new(binWeights)
	}
	return histogramState{w[:], h.total, h.censored, h.updatedAt}
}

func (h *histogram) load(state histogramState) error {
	if len(state.Bins) != len(binWeights{}) {
		return errInconsistentSnapshot
	}
	h.total, h.censored, h.updatedAt = state.Total, state.Cuts, state.UpdatedAt
	if h.total == 0 && h.censored == 0 {
		return nil
	}
	h.bins = (*binWeights)(state.Bins)
	h.recompute()
	return nil
}

func (l *limiter) save() limiterState {
	return limiterState{
		l.limit,
		l.reported,
		l.remaining,
		l.pace,
		l.reducedAt,
		l.tokens,
		l.refilledAt,
		l.waitUntil,
		l.inFlight,
		l.refusals,
		l.firstRefusalAt,
		l.sentAt,
		l.servedAt,
		l.peakRate,
		l.jitter,
		l.shortages,
		l.firstShortageAt,
		l.reportless,
		l.servedWeight,
		l.servedWeightAt,
		l.servedSince,
		l.share,
	}
}

func (state limiterState) restore() *limiter {
	return &limiter{
		state.Limit,
		state.Reported,
		state.Remaining,
		state.Pace,
		state.ReducedAt,
		state.Tokens,
		state.RefilledAt,
		state.WaitUntil,
		state.InFlight,
		state.Refusals,
		state.FirstRefusalAt,
		state.SentAt,
		state.ServedAt,
		state.PeakRate,
		state.Jitter,
		state.Shortages,
		state.FirstShortageAt,
		state.Reportless,
		state.ServedWeight,
		state.ServedWeightAt,
		state.ServedSince,
		state.Share,
	}
}

// endpointNumbers numbers the endpoints that anything refers to, in the order of the first references.
type endpointNumbers struct {
	index map[*endpoint]int
	list  []*endpoint
}

// numberOf returns the number of e; -1 for nil.
func (n *endpointNumbers) numberOf(e *endpoint) int {
	if e == nil {
		return -1
	}
	i, ok := n.index[e]
	if !ok {
		i = len(n.list)
		n.index[e], n.list = i, append(n.list, e)
	}
	return i
}

// Snapshot returns the state for Restore. Once another process has restored it, this Sender must not be stepped
// any more.
func (s *Sender) Snapshot() ([]byte, error) {
	rngState, err := s.rngSource.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	snap := snapshot{
		Version:        snapshotVersion,
		RNGState:       rngState,
		Now:            s.now,
		Step:           s.step,
		LastSeq:        s.lastSeq,
		NextCleanupAt:  s.nextCleanupAt,
		SubscribeAt:    s.subscribeAt,
		SubscribeDelay: s.subscribeDelay,
		ListStaleUntil: s.listStaleUntil,
		LogLines:       s.logLines,
		RefusalRate:    s.refusalRate,
		ScarceUntil:    s.scarceUntil,
		HeldCount:      s.heldCount,
		KeyQueues:      map[string]keyQueueState{},
	}
	for _, usage := range s.tenantUsage {
		snap.TenantUsage = append(snap.TenantUsage, tenantUsageState{usage.count, usage.updatedAt})
	}
	for i := range s.classLatency {
		snap.ClassLatency = append(snap.ClassLatency, s.classLatency[i].save())
	}
	numbers := &endpointNumbers{index: map[*endpoint]int{}}
	destIndex := map[*dest]int{}
	for i, d := range s.destOrder {
		destIndex[d] = i
		state := destState{
			ID:           d.id,
			Kind:         d.kind,
			NextEndpoint: d.nextEndpoint,
			Limiter:      d.limiter.save(),
			Latency:      d.latency.save(),
			LastUsedAt:   d.lastUsedAt,
			Arrivals:     d.arrivals,
			OutageSeenAt: d.outageSeenAt,
		}
		for _, e := range d.endpoints {
			state.Endpoints = append(state.Endpoints, numbers.numberOf(e))
		}
		snap.Dests = append(snap.Dests, state)
	}
	for _, e := range s.removed {
		snap.Removed = append(snap.Removed, numbers.numberOf(e))
	}
	held, ended := []*msg{}, []*msg{}
	for _, m := range s.held {
		if !m.ended {
			held = append(held, m)
		}
	}
	for _, m := range s.msgs {
		if m.ended {
			ended = append(ended, m)
		}
	}
	slices.SortFunc(ended, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range slices.Concat(held, ended) {
		snap.Messages = append(snap.Messages, msgState{
			m.id,
			m.classIndex,
			m.valueShare,
			destIndex[m.dest],
			m.seq,
			m.submitted,
			m.arrived,
			m.deadline,
			m.attempts,
			m.restarts,
			m.mayHaveRun,
			m.mayHaveRunAt,
			m.mayHaveRunZone,
			numbers.numberOf(m.lastEndpoint),
			m.retryAt,
			m.ended,
			m.streaming,
			m.size,
		})
	}
	calls := map[*call]int{}
	for _, a := range s.inFlight {
		i, ok := calls[a.call]
		if !ok {
			i = len(calls)
			calls[a.call] = i
		}
		snap.InFlight = append(snap.InFlight, attemptState{
			a.msg.id,
			a.number,
			numbers.numberOf(a.endpoint),
			i,
			a.sentAt,
			a.cancelled,
			a.restarted,
			a.stuck,
			a.censored,
			a.abandoned,
			a.cancelledAt,
			a.timeoutAt,
		})
	}
	snap.CallCount = len(calls)
	for key, queue := range s.keyQueues {
		state := keyQueueState{CooldownUntil: queue.cooldownUntil}
		for _, m := range queue.messages {
			state.Messages = append(state.Messages, m.id)
		}
		if queue.cooldownExempt != nil && s.msgs[queue.cooldownExempt.id] == queue.cooldownExempt {
			state.CooldownExempt = queue.cooldownExempt.id
		}
		snap.KeyQueues[key] = state
	}
	for _, e := range numbers.list {
		state := endpointState{
			e.id,
			s.endpoints[e.id] == e,
			e.zone,
			e.state,
			destIndex[e.dest],
			nil,
			e.sentAt,
			e.failureRate,
			int(e.failures),
			int(e.refusals),
			int(e.unreadable),
			int(e.resets),
			e.removedAt,
			e.lastOK,
			e.lastFail,
			e.healthyAt,
			e.lastOKSent,
			e.ejectedAt,
			e.ejected,
			e.cold,
			e.upAt,
			e.downAt,
			e.trialAt,
			e.trialInterval,
			e.inFlight,
			e.smoothedLatency,
			e.lastSent,
			e.idleConnUntil,
			nil,
			int(e.unanswered),
			e.unansweredSince,
		}
		if e.kind != e.dest.kind {
			state.Kind = &e.kind
		}
		if e.limiter != e.dest.limiter {
			own := e.limiter.save()
			state.OwnLimiter = &own
		}
		snap.Endpoints = append(snap.Endpoints, state)
	}
	return json.Marshal(snap)
}

// Restore returns a Sender that continues where the snapshot was taken, with the same clock. It starts without a
// timer.
func Restore(cfg Settings, data []byte) (s *Sender, err error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot: version %d, want %d", snap.Version, snapshotVersion)
	}
	if s, err = New(cfg, 0); err != nil {
		return nil, err
	}
	if len(snap.ClassLatency) != len(s.classLatency) || len(snap.TenantUsage) != len(s.tenantUsage) ||
		snap.HeldCount < 0 || snap.HeldCount > len(snap.Messages) ||
		snap.CallCount < 0 || snap.CallCount > len(snap.InFlight) {
		return nil, errInconsistentSnapshot
	}
	if err := s.rngSource.UnmarshalBinary(snap.RNGState); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.now, s.step, s.lastSeq, s.nextCleanupAt, s.subscribeAt, s.subscribeDelay =
		snap.Now, snap.Step, snap.LastSeq, snap.NextCleanupAt, snap.SubscribeAt, snap.SubscribeDelay
	s.logLines, s.listStaleUntil = snap.LogLines, snap.ListStaleUntil
	for kind, rate := range snap.RefusalRate {
		s.refusalRate[kind] = rate
	}
	for kind, until := range snap.ScarceUntil {
		s.scarceUntil[kind] = until
	}
	for i, usage := range snap.TenantUsage {
		s.tenantUsage[i] = tenantUsage{usage.Count, usage.UpdatedAt}
	}
	for i, state := range snap.ClassLatency {
		if err := s.classLatency[i].load(state); err != nil {
			return nil, err
		}
	}
	for _, state := range snap.Dests {
		d := &dest{
			id:           state.ID,
			kind:         state.Kind,
			nextEndpoint: state.NextEndpoint,
			limiter:      state.Limiter.restore(),
			lastUsedAt:   state.LastUsedAt,
			arrivals:     state.Arrivals,
			outageSeenAt: state.OutageSeenAt,
		}
		if err := d.latency.load(state.Latency); err != nil {
			return nil, err
		}
		s.dests[d.id], s.destOrder = d, append(s.destOrder, d)
		if d.limiter.reported {
			s.reportedLimits++
		}
	}
	endpoints, err := s.restoreEndpoints(&snap)
	if err != nil {
		return nil, err
	}
	if err := s.restoreMessages(&snap, endpoints); err != nil {
		return nil, err
	}
	s.changedHealth = nil // what the snapshot holds has been recorded before
	return s, nil
}

// restoreEndpoints restores the endpoints and returns them in the order of their numbers.
func (s *Sender) restoreEndpoints(snap *snapshot) ([]*endpoint, error) {
	var endpoints []*endpoint
	for _, state := range snap.Endpoints {
		if state.Dest < 0 || state.Dest >= len(s.destOrder) {
			return nil, errInconsistentSnapshot
		}
		d := s.destOrder[state.Dest]
		e := &endpoint{
			id:              state.ID,
			zone:            state.Zone,
			state:           Removed,
			dest:            d,
			limiter:         d.limiter,
			sentAt:          state.SentAt,
			failureRate:     state.FailureRate,
			failures:        int32(state.Fails),
			refusals:        int32(state.Fulls),
			unreadable:      int32(state.Spoilt),
			resets:          int32(state.Resets),
			removedAt:       state.RemovedAt,
			lastOK:          state.LastOK,
			lastFail:        state.LastBad,
			healthyAt:       state.HealthyAt,
			lastOKSent:      state.OKSent,
			ejectedAt:       state.OutAt,
			cold:            state.Cold,
			unanswered:      int32(state.Unanswered),
			unansweredSince: state.UnansweredSince,
			upAt:            state.BackAt,
			downAt:          state.DownAt,
			trialAt:         state.TrialAt,
			trialInterval:   state.TrialGap,
			inFlight:        state.InFlight,
			smoothedLatency: state.SmoothedLatency,
			lastSent:        state.LastSent,
			idleConnUntil:   state.Warm,
			kind:            d.kind,
		}
		if state.Kind != nil {
			e.kind = *state.Kind
		}
		s.setStatus(e, state.State, state.Suspect)
		if state.OwnLimiter != nil {
			e.limiter = state.OwnLimiter.restore()
		}
		if state.Known {
			s.endpoints[e.id] = e
		}
		endpoints = append(endpoints, e)
	}
	for i, state := range snap.Dests {
		for _, number := range state.Endpoints {
			if number < 0 || number >= len(endpoints) {
				return nil, errInconsistentSnapshot
			}
			s.destOrder[i].endpoints = append(s.destOrder[i].endpoints, endpoints[number])
		}
	}
	for _, number := range snap.Removed {
		if number < 0 || number >= len(endpoints) {
			return nil, errInconsistentSnapshot
		}
		s.removed = append(s.removed, endpoints[number])
	}
	return endpoints, nil
}

// restoreMessages restores the messages, their attempts in flight and the key queues.
func (s *Sender) restoreMessages(snap *snapshot, endpoints []*endpoint) error {
	for i, state := range snap.Messages {
		if state.Class < 0 || state.Class >= len(s.cfg.Classes) ||
			state.Dest < 0 || state.Dest >= len(s.destOrder) || state.LastEndpoint >= len(endpoints) {
			return errInconsistentSnapshot
		}
		m := &msg{
			id:             state.ID,
			class:          &s.cfg.Classes[state.Class],
			classIndex:     state.Class,
			valueShare:     state.ValueShare,
			dest:           s.destOrder[state.Dest],
			seq:            state.Seq,
			submitted:      state.First,
			arrived:        state.Came,
			deadline:       state.Deadline,
			attempts:       state.Tries,
			restarts:       state.Cuts,
			mayHaveRun:     state.MayHaveRun,
			mayHaveRunAt:   state.MayHaveRunAt,
			mayHaveRunZone: state.MayHaveRunZone,
			retryAt:        state.RetryAt,
			ended:          state.Over,
			streaming:      state.Flows,
			size:           state.Size,
		}
		if m.size == 0 { // not known: it travels alone
			m.size = s.cfg.MaxCallBytes
		}
		if state.LastEndpoint >= 0 {
			m.lastEndpoint = endpoints[state.LastEndpoint]
		}
		if state.Over != (i >= snap.HeldCount) || s.msgs[m.id] != nil {
			return errInconsistentSnapshot
		}
		s.msgs[m.id] = m
		m.dest.messageCount++
		if !m.ended {
			s.addHeld(m)
		}
	}
	calls := make([]call, snap.CallCount)
	for _, state := range snap.InFlight {
		m := s.msgs[state.Message]
		if m == nil || state.Abandoned && m.abandoned != nil || !state.Abandoned && m.inFlight != nil ||
			state.Endpoint < 0 || state.Endpoint >= len(endpoints) || state.Call < 0 || state.Call >= len(calls) {
			return errInconsistentSnapshot
		}
		c := &calls[state.Call]
		c.messages++
		c.unfinished++
		a := &attempt{
			msg:       m,
			number:    state.N,
			endpoint:  endpoints[state.Endpoint],
			sentAt:    state.SentAt,
			call:      c,
			cancelled: state.Cancelled,
			restarted: state.Cut,
			stuck:     state.Stuck,
			censored:  state.Censored,

			abandoned:   state.Abandoned,
			cancelledAt: state.CancelledAt,
			timeoutAt:   state.TimeoutAt,
		}
		if s.inFlight = append(s.inFlight, a); a.abandoned {
			m.abandoned = a
		} else {
			m.inFlight = a
		}
	}
	s.slotsUsed = snap.CallCount
	for key, state := range snap.KeyQueues {
		queue := &keyQueue{cooldownUntil: state.CooldownUntil, cooldownExempt: s.msgs[state.CooldownExempt]}
		for _, id := range state.Messages {
			m := s.msgs[id]
			if m == nil {
				return errInconsistentSnapshot
			}
			m.keyQueue, queue.messages = queue, append(queue.messages, m)
		}
		s.keyQueues[key] = queue
	}
	for _, m := range s.held {
		if m.inFlight == nil {
			s.enqueue(m)
		}
	}
	return nil
}

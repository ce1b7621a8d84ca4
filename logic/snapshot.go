package logic

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// A snapshot holds all that a Sender knows, so that another process can go on in its place. What points at
// something in a Sender is its number here: endpoints, destinations and calls by their place in the list,
// messages by their id. It is for a process of the same build, or one that reads the same version.

const snapshotVersion = 1

// errSnapshot says that a snapshot does not fit together.
var errInconsistentSnapshot = errors.New("snapshot makes no sense")

type snapshot struct {
	Version        int
	RNGState       []byte `json:"Rand"`
	Now            Micros
	Step           int
	LastSeq        int    `json:"Seq"`
	NextCleanupAt  Micros `json:"ForgetAt"`
	AskAt          Micros
	AskGap         Micros
	ListStaleUntil Micros             `json:"Unsure"`
	LogLines       int                `json:"Logs"`
	RejectRate     map[int]float64    `json:"Turned"`
	ScarceUntil    map[int]Micros     `json:"Short"`
	TenantUsage    []tenantUsageState `json:"Usage"`
	ClassLatency   []histogramState   `json:"ByClass"`
	Dests          []destState        // in their order
	Endpoints      []endpointState
	Removed        []int                    `json:"Gone"`
	Messages       []msgState               // held ones first, in order, then those that are over
	HeldCount      int                      `json:"Held"` // how many of them are held
	CallCount      int                      `json:"Calls"`
	InFlight       []attemptState           `json:"Flying"`
	KeyQueues      map[string]keyQueueState `json:"Keys"`
}

type tenantUsageState struct {
	Count     float64 `json:"N"`
	UpdatedAt Micros  `json:"At"`
}

type histogramState struct {
	Bins        []float64 `json:"W"`
	Total, Cuts float64
	UpdatedAt   Micros `json:"At"`
}

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
	ServedAt       []Micros `json:"Served,omitempty"` // not of older builds
	PeakRate       float64  `json:"Peak"`
	Jitter         float64  `json:"Phase"`
}

type destState struct {
	ID           int64
	Kind         int
	Endpoints    []int          `json:"Eps"`
	NextEndpoint int            `json:"Next"`
	Limiter      limiterState   `json:"Lane"`
	Latency      histogramState `json:"Hist"`
	LastUsedAt   Micros         `json:"Used"`
	Arrivals     int            `json:"Came"`
	OutageSeenAt Micros         `json:"DownAt"`
}

type endpointState struct {
	ID                EndpointID
	Known             bool // the one of this id, not one that it has replaced
	Zone              int
	State             Readiness
	Dest              int
	OwnLimiter        *limiterState `json:"Own"` // its lane, if it has one apart
	SentAt            []Micros      `json:"Sent"`
	FailureRate       float64       `json:"Bad"`
	Fails, Fulls      int
	Spoilt, Resets    int
	RemovedAt         Micros `json:"GoneAt"`
	LastOK, LastBad   Micros
	HealthyAt         Micros `json:"Well"`
	OKSent, OutAt     Micros `json:",omitempty"` // not of older builds
	Suspect, Cold     bool
	BackAt, DownAt    Micros
	TrialAt, TrialGap Micros
	InFlight          int     `json:"Inflight"`
	SmoothedLatency   float64 `json:"Slow"`
	LastSent, Warm    Micros
}

type msgState struct {
	ID           string
	Class        int
	WorthShare   float64 `json:"Share"`
	Dest         int
	Seq          int
	First, Came  Micros
	Deadline     Micros
	Tries, Cuts  int
	MayRun       bool
	MayRunAt     Micros `json:"FirstMay"`
	MayRunZone   int    `json:"MayZone"`
	LastEndpoint int    `json:"Last"` // -1 for none
	RetryAt      Micros `json:"Rest"`
	Over, Flows  bool
}

type attemptState struct {
	Message               string
	N, Endpoint, Call     int
	SentAt                Micros `json:"At"`
	Cancelled, Cut, Stuck bool
	Censored              bool `json:"Late"`
}

type keyQueueState struct {
	Messages    []string `json:"Queue"`
	QuietUntil  Micros   `json:"Quiet"`
	QuietExempt string   `json:"By"` // empty if none, or if it is forgotten
}

// save writes all bins down, also where nothing was counted: version 1 has them.
func (h *histogram) save() histogramState {
	w := h.bins
	if w == nil {
		w = new(binWeights)
	}
	return histogramState{w[:], h.total, h.censored, h.updatedAt}
}

func (h *histogram) load(x histogramState) error {
	if len(x.Bins) != len(binWeights{}) {
		return errInconsistentSnapshot
	}
	h.total, h.censored, h.updatedAt = x.Total, x.Cuts, x.UpdatedAt
	if h.total == 0 && h.censored == 0 {
		return nil
	}
	h.bins = (*binWeights)(x.Bins)
	h.update()
	return nil
}

func (l *limiter) save() limiterState {
	return limiterState{l.limit, l.reported, l.remaining, l.pace, l.reducedAt, l.tokens, l.refilledAt, l.waitUntil, l.inFlight, l.refusals, l.firstRefusalAt,
		l.sentAt, l.servedAt, l.peakRate, l.jitter}
}

func (x limiterState) restore() *limiter {
	return &limiter{x.Limit, x.Reported, x.Remaining, x.Pace, x.ReducedAt, x.Tokens, x.RefilledAt, x.WaitUntil, x.InFlight, x.Refusals, x.FirstRefusalAt,
		x.SentAt, x.ServedAt, x.PeakRate, x.Jitter}
}

// numbers gives each endpoint that anything refers to a place in a list.
type endpointNumbers struct {
	index map[*endpoint]int
	list  []*endpoint
}

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

// Snapshot writes down the state. The Sender must not be stepped on in this process after another has taken it up.
func (s *Sender) Snapshot() ([]byte, error) {
	source, err := s.rngSource.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	x := snapshot{Version: snapshotVersion, RNGState: source, Now: s.now, Step: s.step, LastSeq: s.lastSeq, NextCleanupAt: s.nextCleanupAt,
		AskAt: s.askAt, AskGap: s.askGap, ListStaleUntil: s.listStaleUntil, LogLines: s.logLines, RejectRate: s.rejectRate, ScarceUntil: s.scarceUntil, HeldCount: s.openCount,
		KeyQueues: map[string]keyQueueState{}}
	for _, u := range s.tenantUsage {
		x.TenantUsage = append(x.TenantUsage, tenantUsageState{u.count, u.updatedAt})
	}
	for i := range s.classLatency {
		x.ClassLatency = append(x.ClassLatency, s.classLatency[i].save())
	}
	eps := &endpointNumbers{index: map[*endpoint]int{}}
	places := map[*dest]int{}
	for i, d := range s.destOrder {
		places[d] = i
		y := destState{ID: d.id, Kind: d.kind, NextEndpoint: d.nextEndpoint, Limiter: d.limiter.save(), Latency: d.latency.save(), LastUsedAt: d.lastUsedAt,
			Arrivals: d.arrivals, OutageSeenAt: d.outageSeenAt}
		for _, e := range d.endpoints {
			y.Endpoints = append(y.Endpoints, eps.numberOf(e))
		}
		x.Dests = append(x.Dests, y)
	}
	for _, e := range s.removed {
		x.Removed = append(x.Removed, eps.numberOf(e))
	}
	held, over := []*msg{}, []*msg{}
	for _, m := range s.held {
		if !m.ended {
			held = append(held, m)
		}
	}
	for _, m := range s.msgs {
		if m.ended {
			over = append(over, m)
		}
	}
	slices.SortFunc(over, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range slices.Concat(held, over) {
		x.Messages = append(x.Messages, msgState{m.id, m.classIndex, m.worthShare, places[m.dest], m.seq, m.submitted, m.arrived, m.deadline, m.tries,
			m.restarts, m.mayRun, m.mayRunAt, m.mayRunZone, eps.numberOf(m.lastEndpoint), m.retryAt, m.ended, m.streaming})
	}
	calls := map[*call]int{}
	for _, a := range s.inFlight {
		i, ok := calls[a.call]
		if !ok {
			i = len(calls)
			calls[a.call] = i
		}
		x.InFlight = append(x.InFlight, attemptState{a.msg.id, a.number, eps.numberOf(a.endpoint), i, a.sentAt, a.cancelled, a.restarted, a.stuck, a.censored})
	}
	x.CallCount = len(calls)
	for key, l := range s.keyQueues {
		y := keyQueueState{QuietUntil: l.quietUntil}
		for _, m := range l.messages {
			y.Messages = append(y.Messages, m.id)
		}
		if l.quietExempt != nil && s.msgs[l.quietExempt.id] == l.quietExempt {
			y.QuietExempt = l.quietExempt.id
		}
		x.KeyQueues[key] = y
	}
	for _, e := range eps.list {
		y := endpointState{e.id, s.endpoints[e.id] == e, e.zone, e.state, places[e.dest], nil, e.sentAt, e.failureRate, e.failures, e.refusals,
			e.badAnswers, e.resets, e.removedAt, e.lastOK, e.lastFail, e.healthyAt, e.lastOKSent, e.ejectedAt, e.ejected, e.cold, e.upAt, e.downAt, e.trialAt,
			e.trialPause, e.inFlight, e.smoothedLatency, e.lastSent, e.idleConnUntil}
		if e.limiter != e.dest.limiter {
			own := e.limiter.save()
			y.OwnLimiter = &own
		}
		x.Endpoints = append(x.Endpoints, y)
	}
	return json.Marshal(x)
}

// Restore makes a Sender that goes on where the snapshot was taken. Its clock goes on too. No timer is out.
func Restore(set Settings, text []byte) (s *Sender, err error) {
	var x snapshot
	if err := json.Unmarshal(text, &x); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if x.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot: version %d, want %d", x.Version, snapshotVersion)
	}
	if s, err = New(set, 0); err != nil {
		return nil, err
	}
	if len(x.ClassLatency) != len(s.classLatency) || len(x.TenantUsage) != len(s.tenantUsage) || x.HeldCount < 0 || x.HeldCount > len(x.Messages) ||
		x.CallCount < 0 || x.CallCount > len(x.InFlight) {
		return nil, errInconsistentSnapshot
	}
	if err := s.rngSource.UnmarshalBinary(x.RNGState); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.now, s.step, s.lastSeq, s.nextCleanupAt, s.askAt, s.askGap = x.Now, x.Step, x.LastSeq, x.NextCleanupAt, x.AskAt, x.AskGap
	s.logLines, s.listStaleUntil = x.LogLines, x.ListStaleUntil
	for kind, share := range x.RejectRate {
		s.rejectRate[kind] = share
	}
	for kind, until := range x.ScarceUntil {
		s.scarceUntil[kind] = until
	}
	for i, u := range x.TenantUsage {
		s.tenantUsage[i] = tenantUsage{u.Count, u.UpdatedAt}
	}
	for i, h := range x.ClassLatency {
		if err := s.classLatency[i].load(h); err != nil {
			return nil, err
		}
	}
	for _, y := range x.Dests {
		d := &dest{id: y.ID, kind: y.Kind, nextEndpoint: y.NextEndpoint, limiter: y.Limiter.restore(), lastUsedAt: y.LastUsedAt, arrivals: y.Arrivals, outageSeenAt: y.OutageSeenAt}
		if err := d.latency.load(y.Latency); err != nil {
			return nil, err
		}
		s.dests[d.id], s.destOrder = d, append(s.destOrder, d)
		if d.limiter.reported {
			s.reportedLimits++
		}
	}
	eps, err := s.restoreEndpoints(&x)
	if err != nil {
		return nil, err
	}
	if err := s.restoreMessages(&x, eps); err != nil {
		return nil, err
	}
	return s, nil
}

// restoreEndpoints brings back the endpoints, in the order of their numbers.
func (s *Sender) restoreEndpoints(x *snapshot) ([]*endpoint, error) {
	var eps []*endpoint
	for _, y := range x.Endpoints {
		if y.Dest < 0 || y.Dest >= len(s.destOrder) {
			return nil, errInconsistentSnapshot
		}
		d := s.destOrder[y.Dest]
		e := &endpoint{id: y.ID, zone: y.Zone, state: Gone, dest: d, limiter: d.limiter, sentAt: y.SentAt, failureRate: y.FailureRate,
			failures: y.Fails, refusals: y.Fulls, badAnswers: y.Spoilt, resets: y.Resets, removedAt: y.RemovedAt, lastOK: y.LastOK,
			lastFail: y.LastBad, healthyAt: y.HealthyAt, lastOKSent: y.OKSent, ejectedAt: y.OutAt, cold: y.Cold, upAt: y.BackAt, downAt: y.DownAt,
			trialAt: y.TrialAt, trialPause: y.TrialGap, inFlight: y.InFlight, smoothedLatency: y.SmoothedLatency, lastSent: y.LastSent, idleConnUntil: y.Warm}
		s.setStatus(e, y.State, y.Suspect)
		if y.OwnLimiter != nil {
			e.limiter = y.OwnLimiter.restore()
		}
		if y.Known {
			s.endpoints[e.id] = e
		}
		eps = append(eps, e)
	}
	for i, y := range x.Dests {
		for _, k := range y.Endpoints {
			if k < 0 || k >= len(eps) {
				return nil, errInconsistentSnapshot
			}
			s.destOrder[i].endpoints = append(s.destOrder[i].endpoints, eps[k])
		}
	}
	for _, k := range x.Removed {
		if k < 0 || k >= len(eps) {
			return nil, errInconsistentSnapshot
		}
		s.removed = append(s.removed, eps[k])
	}
	return eps, nil
}

// restoreMessages brings back the messages, what is out of them, and the order of their keys.
func (s *Sender) restoreMessages(x *snapshot, eps []*endpoint) error {
	for i, y := range x.Messages {
		if y.Class < 0 || y.Class >= len(s.cfg.Classes) || y.Dest < 0 || y.Dest >= len(s.destOrder) || y.LastEndpoint >= len(eps) {
			return errInconsistentSnapshot
		}
		m := &msg{id: y.ID, class: &s.cfg.Classes[y.Class], classIndex: y.Class, worthShare: y.WorthShare, dest: s.destOrder[y.Dest], seq: y.Seq,
			submitted: y.First, arrived: y.Came, deadline: y.Deadline, tries: y.Tries, restarts: y.Cuts, mayRun: y.MayRun, mayRunAt: y.MayRunAt,
			mayRunZone: y.MayRunZone, retryAt: y.RetryAt, ended: y.Over, streaming: y.Flows}
		if y.LastEndpoint >= 0 {
			m.lastEndpoint = eps[y.LastEndpoint]
		}
		if y.Over != (i >= x.HeldCount) || s.msgs[m.id] != nil {
			return errInconsistentSnapshot
		}
		s.msgs[m.id] = m
		m.dest.messageCount++
		if !m.ended {
			s.addHeld(m)
		}
	}
	calls := make([]call, x.CallCount)
	for _, y := range x.InFlight {
		m := s.msgs[y.Message]
		if m == nil || m.inFlight != nil || y.Endpoint < 0 || y.Endpoint >= len(eps) || y.Call < 0 || y.Call >= len(calls) {
			return errInconsistentSnapshot
		}
		c := &calls[y.Call]
		c.messages++
		c.unfinished++
		a := &attempt{msg: m, number: y.N, endpoint: eps[y.Endpoint], sentAt: y.SentAt, call: c, cancelled: y.Cancelled, restarted: y.Cut,
			stuck: y.Stuck, censored: y.Censored}
		m.inFlight, s.inFlight = a, append(s.inFlight, a)
	}
	s.busy = x.CallCount
	for key, y := range x.KeyQueues {
		l := &keyQueue{quietUntil: y.QuietUntil, quietExempt: s.msgs[y.QuietExempt]}
		for _, id := range y.Messages {
			m := s.msgs[id]
			if m == nil {
				return errInconsistentSnapshot
			}
			m.keyQueue, l.messages = l, append(l.messages, m)
		}
		s.keyQueues[key] = l
	}
	for _, m := range s.held {
		if m.inFlight == nil {
			s.enqueue(m)
		}
	}
	return nil
}

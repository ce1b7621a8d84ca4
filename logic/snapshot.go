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
var errSnapshot = errors.New("snapshot makes no sense")

type snapshot struct {
	Version   int
	Rand      []byte
	Now       Micros
	Step      int
	Seq       int
	ForgetAt  Micros
	AskAt     Micros
	AskGap    Micros
	Unsure    Micros
	Logs      int
	Turned    map[int]float64
	Short     map[int]Micros
	Usage     []usageState
	ByClass   []histState
	Dests     []destState // in their order
	Endpoints []endpointState
	Gone      []int
	Messages  []msgState // held ones first, in order, then those that are over
	Held      int        // how many of them are held
	Calls     int
	Flying    []attemptState
	Keys      map[string]keyState
}

type usageState struct {
	N  float64
	At Micros
}

type histState struct {
	W           []float64
	Total, Cuts float64
	At          Micros
}

type laneState struct {
	Limit     float64
	Told      bool
	Left      float64
	Pace      float64
	Halved    Micros
	Tokens    float64
	Filled    Micros
	Until     Micros
	Inflight  int
	Fulls     int
	FirstFull Micros
	Sent      []Micros
	Served    []Micros `json:",omitempty"` // not of older builds
	Peak      float64
	Phase     float64
}

type destState struct {
	ID     int64
	Kind   int
	Eps    []int
	Next   int
	Lane   laneState
	Hist   histState
	Used   Micros
	Came   int
	DownAt Micros
}

type endpointState struct {
	ID                EndpointID
	Known             bool // the one of this id, not one that it has replaced
	Zone              int
	State             Readiness
	Dest              int
	Own               *laneState // its lane, if it has one apart
	Sent              []Micros
	Bad               float64
	Fails, Fulls      int
	Spoilt, Resets    int
	GoneAt            Micros
	LastOK, LastBad   Micros
	Well              Micros
	OKSent, OutAt     Micros `json:",omitempty"` // not of older builds
	Suspect, Cold     bool
	BackAt, DownAt    Micros
	TrialAt, TrialGap Micros
	Inflight          int
	Slow              float64
	LastSent, Warm    Micros
}

type msgState struct {
	ID          string
	Class       int
	Share       float64
	Dest        int
	Seq         int
	First, Came Micros
	Deadline    Micros
	Tries, Cuts int
	MayRun      bool
	FirstMay    Micros
	MayZone     int
	Last        int // -1 for none
	Rest        Micros
	Over, Flows bool
}

type attemptState struct {
	Message               string
	N, Endpoint, Call     int
	At                    Micros
	Cancelled, Cut, Stuck bool
	Late                  bool
}

type keyState struct {
	Queue []string
	Quiet Micros
	By    string // empty if none, or if it is forgotten
}

// save writes all bins down, also where nothing was counted: version 1 has them.
func (h *hist) save() histState {
	w := h.w
	if w == nil {
		w = new(weights)
	}
	return histState{w[:], h.total, h.cuts, h.at}
}

func (h *hist) load(x histState) error {
	if len(x.W) != len(weights{}) {
		return errSnapshot
	}
	h.total, h.cuts, h.at = x.Total, x.Cuts, x.At
	if h.total == 0 && h.cuts == 0 {
		return nil
	}
	h.w = (*weights)(x.W)
	h.recompute()
	return nil
}

func (l *lane) save() laneState {
	return laneState{l.limit, l.told, l.left, l.pace, l.halved, l.tokens, l.filled, l.until, l.inflight, l.fulls, l.firstFull,
		l.sent, l.served, l.peak, l.phase}
}

func (x laneState) lane() *lane {
	return &lane{x.Limit, x.Told, x.Left, x.Pace, x.Halved, x.Tokens, x.Filled, x.Until, x.Inflight, x.Fulls, x.FirstFull,
		x.Sent, x.Served, x.Peak, x.Phase}
}

// numbers gives each endpoint that anything refers to a place in a list.
type numbers struct {
	place map[*endpoint]int
	list  []*endpoint
}

func (n *numbers) of(e *endpoint) int {
	if e == nil {
		return -1
	}
	i, ok := n.place[e]
	if !ok {
		i = len(n.list)
		n.place[e], n.list = i, append(n.list, e)
	}
	return i
}

// Snapshot writes down the state. The Sender must not be stepped on in this process after another has taken it up.
func (s *Sender) Snapshot() ([]byte, error) {
	source, err := s.source.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	x := snapshot{Version: snapshotVersion, Rand: source, Now: s.now, Step: s.step, Seq: s.seq, ForgetAt: s.forgetAt,
		AskAt: s.askAt, AskGap: s.askGap, Unsure: s.unsure, Logs: s.logs, Turned: s.turned, Short: s.short, Held: s.open,
		Keys: map[string]keyState{}}
	for _, u := range s.usage {
		x.Usage = append(x.Usage, usageState{u.n, u.at})
	}
	for i := range s.byClass {
		x.ByClass = append(x.ByClass, s.byClass[i].save())
	}
	eps := &numbers{place: map[*endpoint]int{}}
	places := map[*dest]int{}
	for i, d := range s.order {
		places[d] = i
		y := destState{ID: d.id, Kind: d.kind, Next: d.next, Lane: d.lane.save(), Hist: d.hist.save(), Used: d.used,
			Came: d.came, DownAt: d.downAt}
		for _, e := range d.eps {
			y.Eps = append(y.Eps, eps.of(e))
		}
		x.Dests = append(x.Dests, y)
	}
	for _, e := range s.gone {
		x.Gone = append(x.Gone, eps.of(e))
	}
	held, over := []*msg{}, []*msg{}
	for _, m := range s.held {
		if !m.over {
			held = append(held, m)
		}
	}
	for _, m := range s.msgs {
		if m.over {
			over = append(over, m)
		}
	}
	slices.SortFunc(over, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range slices.Concat(held, over) {
		x.Messages = append(x.Messages, msgState{m.id, m.ci, m.share, places[m.dest], m.seq, m.first, m.came, m.deadline, m.tries,
			m.cuts, m.mayRun, m.firstMay, m.mayZone, eps.of(m.last), m.rest, m.over, m.flows})
	}
	calls := map[*call]int{}
	for _, a := range s.flying {
		i, ok := calls[a.call]
		if !ok {
			i = len(calls)
			calls[a.call] = i
		}
		x.Flying = append(x.Flying, attemptState{a.m.id, a.n, eps.of(a.ep), i, a.at, a.cancelled, a.cut, a.stuck, a.late})
	}
	x.Calls = len(calls)
	for key, l := range s.keys {
		y := keyState{Quiet: l.quiet}
		for _, m := range l.q {
			y.Queue = append(y.Queue, m.id)
		}
		if l.by != nil && s.msgs[l.by.id] == l.by {
			y.By = l.by.id
		}
		x.Keys[key] = y
	}
	for _, e := range eps.list {
		y := endpointState{e.id, s.eps[e.id] == e, e.zone, e.state, places[e.dest], nil, e.sent, e.bad, e.fails, e.fulls,
			e.spoilt, e.resets, e.goneAt, e.lastOK, e.lastBad, e.well, e.okSent, e.outAt, e.ejected, e.cold, e.backAt, e.downAt, e.trialAt,
			e.trialGap, e.inflight, e.slow, e.lastSent, e.warm}
		if e.lane != e.dest.lane {
			own := e.lane.save()
			y.Own = &own
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
	if len(x.ByClass) != len(s.byClass) || len(x.Usage) != len(s.usage) || x.Held < 0 || x.Held > len(x.Messages) ||
		x.Calls < 0 || x.Calls > len(x.Flying) {
		return nil, errSnapshot
	}
	if err := s.source.UnmarshalBinary(x.Rand); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.now, s.step, s.seq, s.forgetAt, s.askAt, s.askGap = x.Now, x.Step, x.Seq, x.ForgetAt, x.AskAt, x.AskGap
	s.logs, s.unsure = x.Logs, x.Unsure
	for kind, share := range x.Turned {
		s.turned[kind] = share
	}
	for kind, until := range x.Short {
		s.short[kind] = until
	}
	for i, u := range x.Usage {
		s.usage[i] = usage{u.N, u.At}
	}
	for i, h := range x.ByClass {
		if err := s.byClass[i].load(h); err != nil {
			return nil, err
		}
	}
	for _, y := range x.Dests {
		d := &dest{id: y.ID, kind: y.Kind, next: y.Next, lane: y.Lane.lane(), used: y.Used, came: y.Came, downAt: y.DownAt}
		if err := d.hist.load(y.Hist); err != nil {
			return nil, err
		}
		s.dests[d.id], s.order = d, append(s.order, d)
		if d.lane.told {
			s.told++
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
		if y.Dest < 0 || y.Dest >= len(s.order) {
			return nil, errSnapshot
		}
		d := s.order[y.Dest]
		e := &endpoint{id: y.ID, zone: y.Zone, state: Removed, dest: d, lane: d.lane, sent: y.Sent, bad: y.Bad,
			fails: y.Fails, fulls: y.Fulls, spoilt: y.Spoilt, resets: y.Resets, goneAt: y.GoneAt, lastOK: y.LastOK,
			lastBad: y.LastBad, well: y.Well, okSent: y.OKSent, outAt: y.OutAt, cold: y.Cold, backAt: y.BackAt, downAt: y.DownAt,
			trialAt: y.TrialAt, trialGap: y.TrialGap, inflight: y.Inflight, slow: y.Slow, lastSent: y.LastSent, warm: y.Warm}
		s.setStatus(e, y.State, y.Suspect)
		if y.Own != nil {
			e.lane = y.Own.lane()
		}
		if y.Known {
			s.eps[e.id] = e
		}
		eps = append(eps, e)
	}
	for i, y := range x.Dests {
		for _, k := range y.Eps {
			if k < 0 || k >= len(eps) {
				return nil, errSnapshot
			}
			s.order[i].eps = append(s.order[i].eps, eps[k])
		}
	}
	for _, k := range x.Gone {
		if k < 0 || k >= len(eps) {
			return nil, errSnapshot
		}
		s.gone = append(s.gone, eps[k])
	}
	return eps, nil
}

// restoreMessages brings back the messages, what is out of them, and the order of their keys.
func (s *Sender) restoreMessages(x *snapshot, eps []*endpoint) error {
	for i, y := range x.Messages {
		if y.Class < 0 || y.Class >= len(s.set.Classes) || y.Dest < 0 || y.Dest >= len(s.order) || y.Last >= len(eps) {
			return errSnapshot
		}
		m := &msg{id: y.ID, class: &s.set.Classes[y.Class], ci: y.Class, share: y.Share, dest: s.order[y.Dest], seq: y.Seq,
			first: y.First, came: y.Came, deadline: y.Deadline, tries: y.Tries, cuts: y.Cuts, mayRun: y.MayRun, firstMay: y.FirstMay,
			mayZone: y.MayZone, rest: y.Rest, over: y.Over, flows: y.Flows}
		if y.Last >= 0 {
			m.last = eps[y.Last]
		}
		if y.Over != (i >= x.Held) || s.msgs[m.id] != nil {
			return errSnapshot
		}
		s.msgs[m.id] = m
		m.dest.msgs++
		if !m.over {
			s.hold(m)
		}
	}
	calls := make([]call, x.Calls)
	for _, y := range x.Flying {
		m := s.msgs[y.Message]
		if m == nil || m.out != nil || y.Endpoint < 0 || y.Endpoint >= len(eps) || y.Call < 0 || y.Call >= len(calls) {
			return errSnapshot
		}
		c := &calls[y.Call]
		c.n++
		c.left++
		a := &attempt{m: m, n: y.N, ep: eps[y.Endpoint], at: y.At, call: c, cancelled: y.Cancelled, cut: y.Cut,
			stuck: y.Stuck, late: y.Late}
		m.out, s.flying = a, append(s.flying, a)
	}
	s.busy = x.Calls
	for key, y := range x.Keys {
		l := &keyLine{quiet: y.Quiet, by: s.msgs[y.By]}
		for _, id := range y.Queue {
			m := s.msgs[id]
			if m == nil {
				return errSnapshot
			}
			m.line, l.q = l, append(l.q, m)
		}
		s.keys[key] = l
	}
	for _, m := range s.held {
		if m.out == nil {
			s.enqueue(m)
		}
	}
	return nil
}

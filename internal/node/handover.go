package node

import (
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"rundeal/internal/clock"
	"rundeal/logic"
)

// A handover transfers ownership from one process to the next. This file has what the two exchange and the state that
// passes between them. The new process's side is in predecessor.go, the owner's in successor.go, and what the owner does
// afterwards in relay.go.

// packet is what the two processes of a handover exchange after their greetings. First the owner sends its state, the
// successor accepts it, and the owner releases its ownership. From then on the predecessor, as the former owner is
// called, forwards what it receives from clients and endpoints and that its configuration is to be reloaded, and the
// successor sends replies and cancellations. One of the fields is set.
type packet struct {
	State       *handoverState    `json:",omitempty"`
	Accepted    bool              `json:"Understood,omitempty"`
	Rejected    string            `json:"Refused,omitempty"` // why the successor cannot use the state
	Released    bool              `json:"Yours,omitempty"`
	Put         *relayedPut       `json:",omitempty"`       // to the successor: a message submitted by a client
	PutReply    *relayedPut       `json:"Answer,omitempty"` // to the predecessor: the reply to that client
	Result      *relayedResult    `json:"Reply,omitempty"`  // to the successor: the result of a call
	ProbeResult *probeResultEvent `json:"Health,omitempty"` // to the successor: the outcome of a probe
	Cancel      *relayedCall      `json:",omitempty"`       // to the predecessor: cancel a call
	Reload      bool              `json:",omitempty"`       // to the successor: read the configuration again
}

// handoverState is the part of the owner's state that is not in the journal.
type handoverState struct {
	Snapshot     []byte               `json:"Module"` // of logic.Sender
	LogicNow     logic.Micros         `json:"Now"`    // time of the handover on the clock of package logic
	ClockNow     int64                `json:"Wall"`   // the same time on the persistent clock, microseconds
	Active       []activeMessageState `json:"Held"`
	RecentIDs    map[string]int64     `json:"Recent"` // ended messages by id, with their deadlines on the persistent clock
	LastEndpoint logic.EndpointID     `json:"Last"`
	Endpoints    []endpointState      `json:"Targets"`
	Discovery    string               // address of discovery
	Generation   int64                `json:"Gen"`
	HasList      bool                 `json:"Started"`
	ReceivedList bool                 `json:"Heard"`
	Watching     bool                 // a watch of the list is running
}

// activeMessageState is an activeMessage in a handoverState.
type activeMessageState struct {
	Message    *Message     // without its body, which is in the journal
	Attempts   int          `json:"Tries"`
	Ended      bool         `json:"Over"`
	ReceivedAt int64        `json:"Came"` // on the persistent clock
	AttemptLog string       `json:"Trail"`
	Call       *relayedCall // the latest attempt, if it is in flight
	Abandoned  *relayedCall `json:",omitempty"` // the one before, if it is in flight too
}

// endpointState is an endpoint in a handoverState.
type endpointState struct {
	ID          logic.EndpointID
	Name, Addr  string // Name is the instance id
	Zone, Kind  int
	Dest        int64
	RemovedAt   int64 `json:"Gone"`           // on the persistent clock; 0 while it is listed
	Unavailable bool  `json:"Shut,omitempty"` // it accepts no new calls; older builds do not send this
}

// relayedCall is a call that the predecessor has in flight.
type relayedCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	State    int32
}

// attemptKey identifies an attempt.
type attemptKey struct {
	id      string // of the message
	attempt int
}

// key returns the key of the call's attempt.
func (c *call) key() attemptKey { return attemptKey{c.id, c.attempt} }

func newRelayedCall(c *call) relayedCall {
	return relayedCall{c.id, c.attempt, c.endpoint, c.state.Load()}
}

// relayedCallOf returns nil for nil.
func relayedCallOf(c *call) *relayedCall {
	if c == nil {
		return nil
	}
	relayed := newRelayedCall(c)
	return &relayed
}

// restore returns the call of the predecessor with the message that it carries.
func (r relayedCall) restore(m *Message) *call {
	c := &call{
		id:       r.ID,
		attempt:  r.Attempt,
		endpoint: r.Endpoint,
		msg:      m,
		state:    new(atomic.Int32),
	}
	c.state.Store(r.State)
	return c
}

// relayedResult is the result of a call of the predecessor.
type relayedResult struct {
	Call         relayedCall
	Outcome      logic.Outcome
	RetryAfter   time.Duration `json:"Wait"`
	MessageEnded bool          `json:"Over"`
	LoadReport   string        `json:"Load"`
	IdleTime     time.Duration `json:"Idle"`
	Duration     time.Duration `json:"Took"`
}

// relayedPut is a message from a client of the predecessor, or the reply to it.
type relayedPut struct {
	Seq     int      `json:"N"`
	Message *Message `json:"Msg,omitempty"`
	Reply   string   `json:"Answer,omitempty"`
}

// collectHandoverState collects the part of the state that is not in the journal.
func (n *Node) collectHandoverState() (*handoverState, error) {
	now := time.Now()
	state := &handoverState{
		LogicNow:     toMicros(now.Sub(n.logicEpoch)),
		ClockNow:     n.clock.Micros(now),
		RecentIDs:    maps.Clone(n.recentIDs),
		LastEndpoint: n.directory.lastID,
		Discovery:    n.discovery.addr,
		Generation:   n.discovery.generation,
		HasList:      n.discovery.hasList,
		ReceivedList: n.discovery.receivedList,
		Watching:     n.discovery.watching,
	}
	var err error
	if state.Snapshot, err = n.sender.Snapshot(); err != nil {
		return nil, err
	}
	for _, m := range n.active {
		saved := activeMessageState{
			Message:    m.msg.withoutBody(),
			Attempts:   m.attempts,
			Ended:      m.ended,
			ReceivedAt: n.clock.Micros(m.log.receivedAt),
			AttemptLog: string(m.log.text),
		}
		saved.Call, saved.Abandoned = relayedCallOf(m.call), relayedCallOf(m.abandoned)
		state.Active = append(state.Active, saved)
	}
	for id, info := range n.directory.endpoints {
		saved := endpointState{
			ID:          id,
			Name:        info.instanceID,
			Addr:        info.addr,
			Zone:        info.zone,
			Kind:        info.kind,
			Dest:        info.dest,
			Unavailable: n.directory.unavailable[id],
		}
		if at, ok := n.directory.removedAt[id]; ok {
			saved.RemovedAt = n.clock.Micros(at)
		}
		state.Endpoints = append(state.Endpoints, saved)
	}
	return state, nil
}

// restoreHandover restores the state that the predecessor has handed over. If that contradicts the journal, it changes
// nothing and returns an error.
func (n *Node) restoreHandover(state *handoverState) error {
	active := map[string]*activeMessage{}
	openCount := 0
	for _, saved := range state.Active {
		if saved.Message == nil {
			return errors.New("a message was handed over without its id")
		}
		m := &activeMessage{
			msg:      saved.Message,
			attempts: saved.Attempts,
			ended:    saved.Ended,
			log:      attemptLog{n.clock.Time(saved.ReceivedAt), []byte(saved.AttemptLog)},
		}
		if !saved.Ended {
			e := n.journal.Entry(saved.Message.ID)
			if e == nil || e.End != nil {
				return fmt.Errorf("message %s is not in the journal", saved.Message.ID)
			}
			m.msg = e.Message
			openCount++
		}
		if saved.Call != nil {
			m.call = saved.Call.restore(m.msg)
		}
		if saved.Abandoned != nil {
			m.abandoned = saved.Abandoned.restore(m.msg)
		}
		active[saved.Message.ID] = m
	}
	for _, e := range n.journal.Entries() {
		if m := active[e.ID]; e.End == nil && (m == nil || m.ended) {
			return fmt.Errorf("message %s was not handed over", e.ID)
		}
	}
	for _, m := range active {
		for _, c := range []*call{m.call, m.abandoned} {
			if c != nil {
				n.predecessor.calls[c.key()] = c
				n.inFlight[c] = n.predecessor.cancelFunc(c)
			}
		}
	}
	n.active, n.openCount = active, openCount
	maps.Copy(n.recentIDs, state.RecentIDs)
	n.directory.restore(state, n.clock)
	n.logicEpoch = n.clock.Time(state.ClockNow).Add(-toDuration(state.LogicNow))
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
		}
	}
	n.discovery.receivedList, n.watchFromStart = state.ReceivedList, state.Watching
	if state.Discovery == n.discovery.addr { // generations of different addresses are unrelated
		n.discovery.generation, n.discovery.hasList = state.Generation, state.HasList
	}
	n.log.Info("handed over", "held", openCount, "calls", len(n.predecessor.calls))
	return nil
}

// restore fills an empty directory from the state of a handover.
func (d *Directory) restore(state *handoverState, persistentClock *clock.Persistent) {
	d.lastID = state.LastEndpoint
	for _, saved := range state.Endpoints {
		info := endpointInfo{
			instanceID: saved.Name,
			addr:       saved.Addr,
			zone:       saved.Zone,
			kind:       saved.Kind,
			dest:       saved.Dest,
		}
		if saved.RemovedAt != 0 {
			d.removedAt[saved.ID] = persistentClock.Time(saved.RemovedAt)
		}
		if saved.Unavailable || saved.RemovedAt != 0 {
			d.unavailable[saved.ID] = true
		}
		d.ids[saved.Name], d.endpoints[saved.ID] = saved.ID, info
		d.destCounts[saved.Dest]++
	}
}

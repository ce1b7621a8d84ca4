package logic

import (
	"fmt"
	"testing"
)

// Endpoints, destinations and keys keep changing over the life of a process. State that nothing refers to must be
// removed, or memory use would grow without bound. An endpoint with a call in flight is kept.
func TestUnreferencedStateIsRemoved(t *testing.T) {
	cfg := Settings{Senders: 1, CallSlots: 4, MaxAttempts: 6, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", TargetLatency: Second, Deadline: 10 * Second, Value: 1, KeepOrder: true}}}
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Micros(0)
	for i := 1; i <= 2000; i++ {
		id, dest := EndpointID(i), int64(i/10)
		evs := []Event{EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{{Endpoint: id, Dest: dest, State: Ready}}}}
		if i > 1 {
			evs = append(evs, EndpointUpdate{Entries: []EndpointEntry{{Endpoint: id - 1, Dest: int64((i - 1) / 10), State: Removed}}})
		}
		name := fmt.Sprint(i)
		evs = append(evs, Message{ID: name, OrderKey: name, TimeLeft: 10 * Second, Dest: dest, Tenant: -1})
		sent := false
		for _, a := range s.Step(now, evs) {
			if c, ok := a.(Send); ok && c.ID == name {
				sent = true
			}
		}
		if !sent {
			t.Fatalf("message %d was not sent", i)
		}
		now += Second
		s.Step(now, []Event{AttemptResult{ID: name, Final: true, Endpoint: id, Outcome: Delivered, Latency: Second / 10}})
		now += Second
		if len(s.endpoints) > 60 || len(s.removed) > 60 || len(s.dests) > 20 || len(s.destOrder) != len(s.dests) ||
			len(s.keyQueues) > 10 || len(s.msgs) > 0 {
			t.Fatalf("after %d rounds: %d endpoints, %d removed, %d destinations, %d keys, %d messages", i, len(s.endpoints),
				len(s.removed), len(s.dests), len(s.keyQueues), len(s.msgs))
		}
	}
	s.Step(now, []Event{Message{ID: "out", TimeLeft: 1000 * Second, Dest: 200, Tenant: -1}})
	s.Step(now, []Event{EndpointUpdate{Entries: []EndpointEntry{{Endpoint: 2000, Dest: 200, State: Removed}}}})
	s.Step(now+2*removedEndpointTTL, nil)
	if s.endpoints[2000] == nil {
		t.Error("an endpoint with a call in flight was deleted")
	}
	s.Step(now+2*removedEndpointTTL, []Event{AttemptResult{ID: "out", Final: true, Endpoint: 2000, Outcome: Delivered}})
	s.Step(now+3*removedEndpointTTL, nil)
	if s.endpoints[2000] != nil {
		t.Error("a removed endpoint without calls was kept")
	}
}

// Any endpoint may send an unreadable answer now and then: only several in a row are an outage.
func TestUnreadableAnswersAndOutage(t *testing.T) {
	cfg := Settings{Senders: 1, CallSlots: 4, MaxAttempts: 100, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", TargetLatency: Second, Deadline: 10 * Second, Value: 1}}}
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}},
		Message{ID: "a", TimeLeft: 10 * Second, Dest: 1, Tenant: -1}})
	for i := range outageUnreadable {
		if s.endpoints[1].ejected {
			t.Fatalf("ejected after %d unreadable answers", i)
		}
		s.Step(Micros(i+1)*100_000, []Event{AttemptResult{ID: "a", Attempt: i, Endpoint: 1, Outcome: Unreadable}})
	}
	if !s.endpoints[1].ejected {
		t.Errorf("not ejected after %d unreadable answers in a row", outageUnreadable)
	}
}

// Connections break now and then without an outage: with answers in between, an endpoint stays in use. Several broken
// connections in a row, or one followed by a refused connection, are an outage.
func TestResetsAndOutage(t *testing.T) {
	cfg := Settings{Senders: 1, CallSlots: 4, MaxAttempts: 100, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", TargetLatency: Second, Deadline: 100 * Second, Value: 1}}}
	for _, x := range []struct {
		name     string
		outcomes []Outcome
		ejected  bool
	}{
		{"now and then", []Outcome{ConnLost, ConnLost, Refused, ConnLost, ConnLost, Refused, ConnLost}, false},
		{"three in a row", []Outcome{ConnLost, ConnLost, ConnLost}, true},
		{"one broken, then refused", []Outcome{ConnLost, ConnRefused}, true},
		{"refused from the start", []Outcome{ConnRefused}, true},
		{"refused once, just after an answer", []Outcome{Delivered, ConnRefused}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(0, []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}}})
			e, now := s.endpoints[1], Micros(0)
			for i, o := range x.outcomes {
				id := string(rune('a' + i))
				s.Step(now, []Event{Message{ID: id, TimeLeft: 10 * Second, Dest: 1, Tenant: -1}})
				now += Second / 2
				s.Step(now, []Event{AttemptResult{ID: id, Final: true, Endpoint: 1, Outcome: o, Latency: 1000}})
				now += 3 * Second
				if o == Delivered {
					now -= 3 * Second
				}
			}
			if e.ejected != x.ejected {
				t.Errorf("ejected: %v, want %v", e.ejected, x.ejected)
			}
		})
	}
}

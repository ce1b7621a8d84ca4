package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rundeal/logic"
)

// What package logic knows about outages is kept in the journal, so that the next process starts with it.

// healthRecord is a logic.DestinationHealth in the journal. Endpoints are known by the ids of the list, times are on the
// persistent clock.
type healthRecord struct {
	Dest         int64                  `json:"dest"`
	Kind         int                    `json:"kind,omitempty"`
	Arrivals     int                    `json:"arrivals,omitempty"`
	OutageSeenAt int64                  `json:"seen,omitempty"`
	Endpoints    []endpointHealthRecord `json:"endpoints,omitempty"`
}

// endpointHealthRecord is a logic.EndpointHealth in the journal.
type endpointHealthRecord struct {
	Instance string  `json:"instance"`
	Ejected  bool    `json:"ejected,omitempty"`
	Cold     bool    `json:"cold,omitempty"`
	Since    int64   `json:"since"`
	SeenAt   int64   `json:"seen"`
	UpAt     int64   `json:"up"`
	LastFail int64   `json:"fail"`
	SentAt   []int64 `json:"sent,omitempty"`
	Share    float64 `json:"share,omitempty"`
	Limit    float64 `json:"limit,omitempty"`
	PeakRate float64 `json:"peak,omitempty"`
}

// size estimates the bytes of the record in the journal.
func (h *healthRecord) size() int64 {
	size := int64(128)
	for _, x := range h.Endpoints {
		size += 256 + int64(len(x.Instance)) + 18*int64(len(x.SentAt))
	}
	return size
}

// setHealth replaces the health of a destination. Without endpoints there is nothing to keep.
func (j *Journal) setHealth(h *healthRecord) {
	if old := j.health[h.Dest]; old != nil {
		j.liveBytes -= old.size()
		delete(j.health, h.Dest)
	}
	if len(h.Endpoints) > 0 {
		j.liveBytes += h.size()
		j.health[h.Dest] = h
		j.latestTime = max(j.latestTime, h.OutageSeenAt)
	}
}

// Health returns what is known about outages, in the order of the destinations' numbers.
func (j *Journal) Health() []*healthRecord {
	return slices.SortedFunc(maps.Values(j.health), func(a, b *healthRecord) int { return cmp.Compare(a.Dest, b.Dest) })
}

// addPending adds a record of a past event that could not be written. The health of a destination replaces an earlier
// one, so that a long failure of the disk does not fill the memory.
func (j *Journal) addPending(rec record) {
	if rec.Op == opHealth {
		j.pending = slices.DeleteFunc(j.pending, func(x record) bool {
			return x.Op == opHealth && x.Health.Dest == rec.Health.Dest
		})
	}
	j.pending = append(j.pending, rec)
}

// logicClockOffset is the time of the persistent clock at the zero of the clock of package logic, in microseconds.
func (n *Node) logicClockOffset() int64 {
	return n.clock.Now() - int64(toMicros(time.Since(n.logicEpoch)))
}

// recordHealth adds a record of the health of a destination to those of the step.
func (n *Node) recordHealth(h logic.DestinationHealth, offset int64) {
	rec := &healthRecord{
		Dest:         h.Dest,
		Kind:         h.Kind,
		Arrivals:     h.Arrivals,
		OutageSeenAt: toPersistent(h.OutageSeenAt, offset),
	}
	for _, x := range h.Endpoints {
		instance := n.directory.instanceID(x.Endpoint)
		if instance == "" {
			continue
		}
		endpoint := endpointHealthRecord{
			Instance: instance,
			Ejected:  x.Ejected,
			Cold:     x.Cold,
			Since:    toPersistent(x.Since, offset),
			SeenAt:   toPersistent(x.SeenAt, offset),
			UpAt:     toPersistent(x.UpAt, offset),
			LastFail: toPersistent(x.LastFail, offset),
			Share:    x.Share,
			Limit:    x.Limit,
			PeakRate: x.PeakRate,
		}
		for _, t := range x.SentAt {
			endpoint.SentAt = append(endpoint.SentAt, toPersistent(t, offset))
		}
		rec.Endpoints = append(rec.Endpoints, endpoint)
	}
	if len(rec.Endpoints) == 0 && n.journal.health[h.Dest] == nil {
		return
	}
	n.pendingRecords = append(n.pendingRecords, record{Op: opHealth, Health: rec})
}

// restoreHealth passes what an earlier process knew about outages to package logic.
func (n *Node) restoreHealth() {
	offset := n.logicClockOffset()
	for _, rec := range n.journal.Health() {
		health := logic.DestinationHealth{
			Dest:         rec.Dest,
			Kind:         rec.Kind,
			Arrivals:     rec.Arrivals,
			OutageSeenAt: logic.Micros(rec.OutageSeenAt - offset),
		}
		for _, x := range rec.Endpoints {
			endpoint := logic.EndpointHealth{
				Endpoint: n.directory.endpointID(x.Instance),
				Ejected:  x.Ejected,
				Cold:     x.Cold,
				Since:    logic.Micros(x.Since - offset),
				SeenAt:   logic.Micros(x.SeenAt - offset),
				UpAt:     logic.Micros(x.UpAt - offset),
				LastFail: logic.Micros(x.LastFail - offset),
				Share:    x.Share,
				Limit:    x.Limit,
				PeakRate: x.PeakRate,
			}
			for _, t := range x.SentAt {
				endpoint.SentAt = append(endpoint.SentAt, logic.Micros(t-offset))
			}
			health.Endpoints = append(health.Endpoints, endpoint)
		}
		n.log.Info("outage known from before the start", "dest", rec.Dest, "endpoints", len(rec.Endpoints))
		n.pendingEvents = append(n.pendingEvents, logic.HealthRestored{Health: health})
	}
}

// toPersistent converts a time of package logic. A time before the epoch stands for long ago.
func toPersistent(t logic.Micros, offset int64) int64 { return max(int64(t)+offset, 0) }

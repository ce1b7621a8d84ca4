package hollow

// Bytes of heap that a sender takes with its share of the model, a little above what runs measured: 0.59, 5.9 and 63.7 MB
// with 350, 3,500 and 35,000 destinations of two endpoints. Room for the collector comes on top.
const (
	bytesPerSender      = 100_000
	bytesPerDestination = 800
	bytesPerEndpoint    = 550
	bytesPerMessage     = 2500 // held
	gcHeadroom          = 1.8  // of what is in use, at the most
)

// MemoryMB is a rough guess of the memory that a run needs.
func (sc *Scenario) MemoryMB() float64 {
	senders, dests := float64(sc.Fleet.Senders), float64(sc.Destinations.Count)
	eps := dests * float64(sc.Destinations.Endpoints)
	longest := 0.0
	for _, c := range sc.Classes {
		longest = max(longest, float64(c.Deadline.Micros)/1e6)
	}
	held := sc.Traffic.Rate * min(longest, float64(sc.Duration.Micros)/1e6)
	if sc.Fleet.MaxOpen > 0 {
		held = min(held, senders*float64(sc.Fleet.MaxOpen))
	}
	return gcHeadroom * (senders*(bytesPerSender+dests*bytesPerDestination+eps*bytesPerEndpoint) + held*bytesPerMessage) / 1e6
}

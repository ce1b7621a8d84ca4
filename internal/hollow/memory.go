package hollow

// Heap bytes that a sender needs, its share of the model included. The values lie slightly above measurements of
// 0.59, 5.9 and 63.7 MB per sender with 350, 3,500 and 35,000 destinations of two endpoints. The sum is multiplied
// by gcHeadroom.
const (
	bytesPerSender      = 100_000
	bytesPerDestination = 800
	bytesPerEndpoint    = 550
	bytesPerMessage     = 2500 // held at one time
	gcHeadroom          = 1.8  // maximum heap size as a multiple of the live heap, for the garbage collector
)

// MemoryMB is a rough estimate of the memory that a run needs, in 10^6 bytes.
func (sc *Scenario) MemoryMB() float64 {
	senders, dests := float64(sc.Fleet.Senders), float64(sc.Destinations.Count)
	endpoints := dests * float64(sc.Destinations.Endpoints)
	longestDeadline := 0.0
	for _, c := range sc.Classes {
		longestDeadline = max(longestDeadline, float64(c.Deadline.Micros)/1e6)
	}
	heldMessages := sc.Traffic.Rate * min(longestDeadline, float64(sc.Duration.Micros)/1e6)
	if sc.Fleet.MaxOpen > 0 {
		heldMessages = min(heldMessages, senders*float64(sc.Fleet.MaxOpen))
	}
	return gcHeadroom * (senders*(bytesPerSender+dests*bytesPerDestination+endpoints*bytesPerEndpoint) +
		heldMessages*bytesPerMessage) / 1e6
}

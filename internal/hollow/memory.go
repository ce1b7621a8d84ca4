package hollow

// Bytes of heap that a sender takes, measured at the start of runs. What its traffic adds comes on top, so that a part
// of the memory is left for that and for the collector.
const (
	perSender      = 100_000
	perDestination = 800
	perEndpoint    = 450
	perMessage     = 2500 // held
	spare          = 1.8  // of what is in use, at the most
)

// MemoryMB is a rough guess of the memory that a run needs.
func (sc *Scenario) MemoryMB() float64 {
	eps := float64(sc.Destinations.Count) * float64(sc.Destinations.Endpoints)
	one := perSender + float64(sc.Destinations.Count)*perDestination + eps*perEndpoint
	held := float64(sc.Fleet.MaxOpen)
	if held == 0 {
		held = sc.Traffic.Rate / float64(sc.Fleet.Senders) * float64(sc.Duration) / 1e6
	}
	// No sender holds more than comes to it.
	held = min(held, sc.Traffic.Rate/float64(sc.Fleet.Senders)*float64(sc.Duration)/1e6)
	return spare * (float64(sc.Fleet.Senders)*(one+held*perMessage) + eps*perEndpoint*2) / 1e6
}

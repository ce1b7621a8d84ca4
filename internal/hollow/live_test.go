package hollow

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// buildSender builds the real sender program.
func buildSender(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cometrack")
	cmd := exec.Command("go", "build", "-o", path, "../../cmd/cometrack")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	return path
}

// Without faults, real processes deliver every message exactly once and fetch the same list as simulated senders.
func TestLiveMatchesSimulation(t *testing.T) {
	defer goleak.VerifyNone(t)
	sc := Default()
	sc.Classes = []ClassConfig{defaultClass}
	sc.Duration, sc.Drain, sc.Fleet.Senders, sc.Traffic.Rate = seconds(3), seconds(2), 3, 100
	measured, err := Live(t.Context(), &sc, buildSender(t))
	if err != nil {
		t.Fatal(err)
	}
	simulated, err := Run(t.Context(), &sc, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := Compare(t.Output(), measured, simulated); err != nil {
		t.Fatal(err)
	}
	if measured.Offered == 0 || measured.Delivered != measured.Offered || measured.RepeatedExecutions != 0 {
		t.Errorf("%d messages offered, %d delivered, %d repeated executions",
			measured.Offered, measured.Delivered, measured.RepeatedExecutions)
	}
	// Each sender requests the full list once. Addresses differ in length by a few bytes for each of 20 endpoints.
	if d := measured.FullListBytes - simulated.ListBytes.Full; d < -100 || d > 100 {
		t.Errorf("full list: %d bytes live, %d simulated", measured.FullListBytes, simulated.ListBytes.Full)
	}
}

// A scenario that live runs do not support is rejected before any process starts.
func TestLiveRejectsUnsupported(t *testing.T) {
	for want, change := range map[string]func(*Scenario){
		"fleet.senders": func(sc *Scenario) { sc.Fleet.Senders = maxLiveSenders + 1 },
		"destinations":  func(sc *Scenario) { sc.Destinations.Count = maxLiveEndpoints },
		"changes":       func(sc *Scenario) { sc.Discovery.ChangesPerDay = 1 },
		"fault[0]": func(sc *Scenario) {
			sc.Faults = []FaultConfig{{Kind: faultOutage, OutageMode: outageUnresponsive}}
		},
		"no such program": func(*Scenario) {},
	} {
		sc := Default()
		change(&sc)
		if _, err := Live(t.Context(), &sc, "./no such program"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

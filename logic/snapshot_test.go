package logic

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// checkTwin checks that a restored Sender takes the same actions as the original. Timers are left out: a restored
// Sender starts without one.
func (sim *simulation) checkTwin(actions, twinActions []Action) {
	sim.t.Helper()
	timer := func(a Action) bool { _, ok := a.(SetTimer); return ok }
	want, got := slices.DeleteFunc(slices.Clone(actions), timer), slices.DeleteFunc(twinActions, timer)
	if !reflect.DeepEqual(append([]Action{}, want...), append([]Action{}, got...)) {
		sim.fatalf("the restored Sender does %v, want %v", got, want)
	}
}

// replaceTwin restores a new twin from a snapshot of the Sender.
func (sim *simulation) replaceTwin() {
	sim.t.Helper()
	text, err := sim.s.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	if sim.twin, err = Restore(sim.cfg, text); err != nil {
		sim.t.Fatal(err)
	}
	sim.checkOutOfRotation(sim.twin)
	again, err := sim.twin.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	if !bytes.Equal(text, again) {
		sim.fatalf("a snapshot of the restored Sender differs:\n%s\n%s", text, again)
	}
}

// A restored Sender takes the same actions as the original, whatever is in flight or due at the snapshot.
func TestRestoredSenderActsTheSame(t *testing.T) {
	for name, cfg := range deploymentVariants() {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, cfg, 11)
			sim.beforeStep = func() {
				if sim.rng.IntN(100) == 0 {
					sim.replaceTwin()
				}
			}
			sim.play()
			if sim.twin == nil || len(sim.trace) < 100 || sim.maxOutOfRotation < 2 {
				t.Fatalf("%d actions, twin %v, %d endpoints out of rotation at most", len(sim.trace), sim.twin, sim.maxOutOfRotation)
			}
		})
	}
}

// snapshot-v1.json is from a build that allocated the bins of each histogram from the start. This build can restore
// it and writes the same state, so that the older build can restore it again. Destination 5 is idle.
func TestRestoreFromOlderBuild(t *testing.T) {
	text, err := os.ReadFile("testdata/snapshot-v1.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(baseSettings(), text)
	if err != nil {
		t.Fatal(err)
	}
	if used, idle := s.dests[9].latency, s.dests[5].latency; used.bins == nil || used.median == 0 || idle.bins != nil {
		t.Errorf("destination 9: %+v, destination 5: %+v", used, idle)
	}
	again, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var want, got snapshot
	if err := errors.Join(json.Unmarshal(text, &want), json.Unmarshal(again, &got)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(got.Dests[1].Latency.Bins) != binCount+1 {
		t.Errorf("an idle destination has %d bins in the snapshot", len(got.Dests[1].Latency.Bins))
	}
}

// A snapshot that is inconsistent, or does not match the settings, is refused as a whole.
func TestRestoreRefusesInconsistentSnapshot(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(100, fullList(2), h.message(0), h.message(2))
	text, err := h.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]string{
		"truncated":        string(text[:len(text)/2]),
		"empty":            "{}",
		"another version":  strings.Replace(string(text), fmt.Sprintf(`"Version":%d`, snapshotVersion), `"Version":99`, 1),
		"unknown message":  strings.Replace(string(text), `"Message":"m1"`, `"Message":"m9"`, 1),
		"unknown class":    strings.Replace(string(text), `"Class":2`, `"Class":3`, 1),
		"unknown endpoint": strings.Replace(string(text), `"Endpoint":1`, `"Endpoint":7`, 1),
	} {
		if bad == string(text) {
			t.Errorf("%s: the replacement changed nothing", name)
		}
		if _, err := Restore(baseSettings(), []byte(bad)); err == nil {
			t.Errorf("%s: restored", name)
		}
	}
	other := baseSettings()
	other.Classes = other.Classes[:1]
	if _, err := Restore(other, text); err == nil {
		t.Error("restored with other settings")
	}
	if _, err := Restore(baseSettings(), text); err != nil {
		t.Error(err)
	}
}

// A snapshot of an older build with calls in flight is restored in full and written again byte for byte, so that
// the older build can take it back. Each held message then ends as it does with the reference.
func TestRestoreFromOlderBuildWithCallsInFlight(t *testing.T) {
	for _, name := range []string{"ordered", "batches"} {
		text, err := os.ReadFile("testdata/snapshot-" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		cfg := deploymentVariants()[name]
		s, err := Restore(cfg, text)
		if err != nil {
			t.Fatal(err)
		}
		checkIndexes(t, s)
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, again) {
			t.Errorf("%s: written again, the snapshot differs:\n%s\n%s", name, text, again)
		}
		held, inFlight := s.heldCount, len(s.inFlight)
		if held == 0 || inFlight == 0 {
			t.Fatalf("%s: %d held, %d in flight", name, held, inFlight)
		}
		reference, err := Restore(cfg, text)
		if err != nil {
			t.Fatal(err)
		}
		ended := 0
		for now := s.now; ended < held && now < s.now+20*Second; now += Second / 10 {
			acts := s.Step(now, nil)
			if want := referenceStep(reference, now, nil); !reflect.DeepEqual(acts, want) {
				t.Fatalf("%s: at %d the Sender does %v, want %v", name, now, acts, want)
			}
			checkIndexes(t, s)
			ended += len(actionsOf[Reject](acts)) + len(actionsOf[Fail](acts))
		}
		if ended != held {
			t.Errorf("%s: %d of %d messages end", name, ended, held)
		}
	}
}

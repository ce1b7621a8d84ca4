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

// sameAs checks that a twin does what the Sender does. Timers apart: a twin begins without one.
func (w *simulation) compareActions(acts, twin []Action) {
	w.t.Helper()
	timer := func(a Action) bool { _, ok := a.(SetTimer); return ok }
	want, got := slices.DeleteFunc(slices.Clone(acts), timer), slices.DeleteFunc(twin, timer)
	if !reflect.DeepEqual(append([]Action{}, want...), append([]Action{}, got...)) {
		w.fatalf("a restored module does %v, want %v", got, want)
	}
}

// renew takes a new twin.
func (w *simulation) renew() {
	w.t.Helper()
	text, err := w.s.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	if w.twin, err = Restore(w.set, text); err != nil {
		w.t.Fatal(err)
	}
	w.checkOutOfRotation(w.twin)
	again, err := w.twin.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	if !bytes.Equal(text, again) {
		w.fatalf("a snapshot of the restored module differs:\n%s\n%s", text, again)
	}
}

// A module that another process takes up goes on as if nothing had happened, whatever is out or due.
func TestSnapshotGoesOn(t *testing.T) {
	for name, set := range deploymentVariants() {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, set, 11)
			w.beforeStep = func() {
				if w.rng.IntN(100) == 0 {
					w.renew()
				}
			}
			w.play()
			if w.twin == nil || len(w.trace) < 100 || w.maxOutOfRotation < 2 {
				t.Fatalf("%d actions, twin %v, %d endpoints out of rotation at most", len(w.trace), w.twin, w.maxOutOfRotation)
			}
		})
	}
}

// The snapshot of testdata is from a build that held the bins of each histogram from the start. This one goes on from
// it, and writes the same down, so that such a build can go on from ours. Destination 5 is idle.
func TestSnapshotOfAnOlderBuild(t *testing.T) {
	text, err := os.ReadFile("testdata/snapshot-v1.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(baseSettings(), text)
	if err != nil {
		t.Fatal(err)
	}
	if used, idle := s.dests[9].hist, s.dests[5].hist; used.w == nil || used.median == 0 || idle.w != nil {
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
	if len(got.Dests[1].Hist.W) != binCount+1 {
		t.Errorf("an idle destination has %d bins in the snapshot", len(got.Dests[1].Hist.W))
	}
}

// What does not fit together is refused, not taken up in part.
func TestSnapshotThatDoesNotFit(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(100, fullList(2), r.message(0), r.message(2))
	text, err := r.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string]string{
		"torn":             string(text[:len(text)/2]),
		"empty":            "{}",
		"another version":  strings.Replace(string(text), fmt.Sprintf(`"Version":%d`, snapshotVersion), `"Version":99`, 1),
		"unknown message":  strings.Replace(string(text), `"Message":"m1"`, `"Message":"m9"`, 1),
		"unknown class":    strings.Replace(string(text), `"Class":2`, `"Class":3`, 1),
		"unknown endpoint": strings.Replace(string(text), `"Endpoint":1`, `"Endpoint":7`, 1),
	} {
		if bad == string(text) {
			t.Errorf("%s: the text is as it was", name)
		}
		if _, err := Restore(baseSettings(), []byte(bad)); err == nil {
			t.Errorf("%s: restored", name)
		}
	}
	other := baseSettings()
	other.Classes = other.Classes[:1]
	if _, err := Restore(other, text); err == nil {
		t.Error("restored under other settings")
	}
	if _, err := Restore(baseSettings(), text); err != nil {
		t.Error(err)
	}
}

// A snapshot that an older build wrote, with calls out, is taken up whole and written down again byte for byte, so
// that the older build can take it back; and what was held goes on.
func TestSnapshotOfAnOlderBuildWithCallsOut(t *testing.T) {
	for _, name := range []string{"ordered", "batches"} {
		text, err := os.ReadFile("testdata/snapshot-" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		set := deploymentVariants()[name]
		s, err := Restore(set, text)
		if err != nil {
			t.Fatal(err)
		}
		checkBooks(t, s)
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, again) {
			t.Errorf("%s: written down again it differs:\n%s\n%s", name, text, again)
		}
		held, out := s.open, len(s.flying)
		if held == 0 || out == 0 {
			t.Fatalf("%s: %d held, %d out", name, held, out)
		}
		other, err := Restore(set, text)
		if err != nil {
			t.Fatal(err)
		}
		ends := 0
		for now := s.now; ends < held && now < s.now+20*Second; now += Second / 10 {
			acts := s.Step(now, nil)
			if want := walk(other, now, nil); !reflect.DeepEqual(acts, want) {
				t.Fatalf("%s: at %d it does %v, want %v", name, now, acts, want)
			}
			checkBooks(t, s)
			ends += len(actionsOf[Reject](acts)) + len(actionsOf[Fail](acts))
		}
		if ends != held {
			t.Errorf("%s: %d of %d end", name, ends, held)
		}
	}
}

package logic

import "testing"

// checkBooks goes over all that s holds and compares what is counted with it.
func checkBooks(t *testing.T, s *Sender) {
	t.Helper()
	open, msgs, told := 0, map[*dest]int{}, 0
	for _, m := range s.held {
		if !m.over {
			open++
		}
	}
	for _, m := range s.msgs {
		msgs[m.dest]++
	}
	for _, d := range s.order {
		if d.msgs != msgs[d] {
			t.Fatalf("destination %d: %d messages, want %d", d.id, d.msgs, msgs[d])
		}
		if d.lane.told {
			told++
		}
	}
	if open != s.open || told != s.told || len(s.held) > 2*open+64 {
		t.Fatalf("%d held of %d listed, %d told; want %d, %d", s.open, len(s.held), s.told, open, told)
	}
}

// What is counted is what a walk over all finds, also in a module that was taken up from a snapshot.
func TestBooksMatchWhatIsHeld(t *testing.T) {
	for name, set := range variants() {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, set, 31)
			w.each = func() {
				checkBooks(t, w.s)
				if w.rnd.IntN(100) == 0 {
					w.renew()
				}
				if w.twin != nil {
					checkBooks(t, w.twin)
				}
			}
			w.play()
		})
	}
}

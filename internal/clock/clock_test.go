package clock

import (
	"testing"
	"time"
)

const minute = 60_000_000

func TestResume(t *testing.T) {
	now := time.Now()
	wall := now.UnixMicro()
	s := Stamp{At: 1000 * minute, Run: 10 * minute, Wall: wall - 5*minute, Boot: "a"}
	for _, x := range []struct {
		name   string
		m      machine
		latest int64
		want   int64
		kept   bool
	}{
		{"same boot", machine{now, 15 * minute, "a"}, 0, 1005 * minute, true},
		{"same boot, wall clock stepped forward", machine{now.Add(time.Hour), 15 * minute, "a"}, 0, 1005 * minute, true},
		{"same boot, wall clock stepped back", machine{now.Add(-time.Hour), 15 * minute, "a"}, 0, 1005 * minute, true},
		{"identity not known", machine{now, 15 * minute, ""}, 0, 1005 * minute, true},
		{"identity not known, clock began anew", machine{now, 2 * minute, ""}, 0, 1005 * minute, false},
		{"another boot", machine{now, 50 * minute, "b"}, 0, 1005 * minute, false},
		{"another boot, wall clock stepped back", machine{now.Add(-time.Hour), 50 * minute, "b"}, 0, 1000 * minute, false},
		{"another boot, later times on record", machine{now.Add(-time.Hour), 50 * minute, "b"}, 1004 * minute, 1004 * minute, false},
		{"no boot clock", machine{now, 0, "a"}, 0, 1005 * minute, false},
	} {
		l, stamp := resume(s, x.latest, x.m)
		if l.base != x.want {
			t.Errorf("%s: goes on at %d, want %d", x.name, l.base, x.want)
		}
		if kept := stamp == s; kept != x.kept {
			t.Errorf("%s: stamp kept: %v, want %v", x.name, kept, x.kept)
		}
		if again, _ := resume(stamp, 0, x.m); again.base != l.base {
			t.Errorf("%s: the next process goes on at %d, want %d", x.name, again.base, l.base)
		}
	}
}

func TestMomentsAndTimes(t *testing.T) {
	l, stamp := Begin()
	now := time.Now()
	if got := l.At(l.Of(now)); got.Sub(now).Abs() > time.Microsecond {
		t.Errorf("%v became %v", now, got)
	}
	next, _ := Resume(stamp, 0)
	if d := next.Now() - l.Now(); d < -1000 || d > 1000 {
		t.Errorf("clocks of one stamp are %d us apart", d)
	}
}

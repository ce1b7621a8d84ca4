package clock

import (
	"testing"
	"time"
)

const minuteMicros = 60_000_000

func TestResume(t *testing.T) {
	now := time.Now()
	wall := now.UnixMicro()
	s := Anchor{Time: 1000 * minuteMicros, BootTime: 10 * minuteMicros, WallTime: wall - 5*minuteMicros, BootID: "a"}
	for _, x := range []struct {
		name   string
		m      clockReadings
		latest int64
		want   int64
		kept   bool
	}{
		{"same boot", clockReadings{now, 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"same boot, wall clock stepped forward", clockReadings{now.Add(time.Hour), 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"same boot, wall clock stepped back", clockReadings{now.Add(-time.Hour), 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"identity not known", clockReadings{now, 15 * minuteMicros, ""}, 0, 1005 * minuteMicros, true},
		{"identity not known, clock began anew", clockReadings{now, 2 * minuteMicros, ""}, 0, 1005 * minuteMicros, false},
		{"another boot", clockReadings{now, 50 * minuteMicros, "b"}, 0, 1005 * minuteMicros, false},
		{"another boot, wall clock stepped back", clockReadings{now.Add(-time.Hour), 50 * minuteMicros, "b"}, 0, 1000 * minuteMicros, false},
		{"another boot, later times on record", clockReadings{now.Add(-time.Hour), 50 * minuteMicros, "b"}, 1004 * minuteMicros, 1004 * minuteMicros, false},
		{"no boot clock", clockReadings{now, 0, "a"}, 0, 1005 * minuteMicros, false},
	} {
		l, stamp := resumeFrom(s, x.latest, x.m)
		if l.startMicros != x.want {
			t.Errorf("%s: goes on at %d, want %d", x.name, l.startMicros, x.want)
		}
		if kept := stamp == s; kept != x.kept {
			t.Errorf("%s: stamp kept: %v, want %v", x.name, kept, x.kept)
		}
		if again, _ := resumeFrom(stamp, 0, x.m); again.startMicros != l.startMicros {
			t.Errorf("%s: the next process goes on at %d, want %d", x.name, again.startMicros, l.startMicros)
		}
	}
}

func TestTimeConversionRoundTrip(t *testing.T) {
	l, stamp := NewWithAnchor()
	now := time.Now()
	if got := l.Time(l.Micros(now)); got.Sub(now).Abs() > time.Microsecond {
		t.Errorf("%v became %v", now, got)
	}
	next, _ := Resume(stamp, 0)
	if d := next.Now() - l.Now(); d < -1000 || d > 1000 {
		t.Errorf("clocks of one stamp are %d us apart", d)
	}
}

package clock

import (
	"testing"
	"time"
)

const minuteMicros = 60_000_000

func TestResume(t *testing.T) {
	now := time.Now()
	wall := now.UnixMicro()
	anchor := Anchor{Time: 1000 * minuteMicros, BootTime: 10 * minuteMicros, WallTime: wall - 5*minuteMicros, BootID: "a"}
	for _, test := range []struct {
		name       string
		readings   clockReadings
		latest     int64
		want       int64
		keepAnchor bool
	}{
		{"same boot", clockReadings{now, 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"same boot, wall clock stepped forward",
			clockReadings{now.Add(time.Hour), 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"same boot, wall clock stepped back",
			clockReadings{now.Add(-time.Hour), 15 * minuteMicros, "a"}, 0, 1005 * minuteMicros, true},
		{"boot ID unknown", clockReadings{now, 15 * minuteMicros, ""}, 0, 1005 * minuteMicros, true},
		{"boot ID unknown, boot-time clock restarted",
			clockReadings{now, 2 * minuteMicros, ""}, 0, 1005 * minuteMicros, false},
		{"another boot", clockReadings{now, 50 * minuteMicros, "b"}, 0, 1005 * minuteMicros, false},
		{"another boot, wall clock stepped back",
			clockReadings{now.Add(-time.Hour), 50 * minuteMicros, "b"}, 0, 1000 * minuteMicros, false},
		{"another boot, later time on record",
			clockReadings{now.Add(-time.Hour), 50 * minuteMicros, "b"}, 1004 * minuteMicros, 1004 * minuteMicros, false},
		{"no boot-time clock", clockReadings{now, 0, "a"}, 0, 1005 * minuteMicros, false},
	} {
		c, resumed := resumeFrom(anchor, test.latest, test.readings)
		if c.startMicros != test.want {
			t.Errorf("%s: resumed at %d, want %d", test.name, c.startMicros, test.want)
		}
		if kept := resumed == anchor; kept != test.keepAnchor {
			t.Errorf("%s: anchor kept: %v, want %v", test.name, kept, test.keepAnchor)
		}
		if next, _ := resumeFrom(resumed, 0, test.readings); next.startMicros != c.startMicros {
			t.Errorf("%s: the next process resumed at %d, want %d", test.name, next.startMicros, c.startMicros)
		}
	}
}

func TestTimeConversionRoundTrip(t *testing.T) {
	c, anchor := NewWithAnchor()
	now := time.Now()
	if got := c.Time(c.Micros(now)); got.Sub(now).Abs() > time.Microsecond {
		t.Errorf("%v became %v", now, got)
	}
	next, _ := Resume(anchor, 0)
	if d := next.Now() - c.Now(); d < -1000 || d > 1000 {
		t.Errorf("clocks with the same anchor are %d us apart", d)
	}
}

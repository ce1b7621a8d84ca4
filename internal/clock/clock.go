// Package clock provides a clock that stays consistent across process restarts.
//
// Deadlines, windows and waits are durations of real time, but the wall clock may be
// stepped, by seconds or by an hour. Within a process, the monotonic readings of
// package time are immune to such steps, but they mean nothing to the next
// process. The kernel's boot-time clock is valid across processes until the
// machine reboots. A [Persistent] clock counts microseconds since the Unix epoch:
// it takes the wall clock when its first [Anchor] is made and then advances with
// the boot-time clock, from one process to the next. It is never adjusted.
//
// After a reboot the boot-time clock starts again. The time that the machine was
// down is then taken from the wall clock, but the clock never resumes before the
// latest recorded time. If either boot ID is unknown, the boot counts as the same
// one as long as the boot-time clock has not gone backwards.
package clock

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// KernelClock is a clock ID for clock_gettime(2).
type KernelClock uintptr

// Both clocks count from boot; BootTime also includes time spent suspended.
const (
	Monotonic KernelClock = 1
	BootTime  KernelClock = 7
)

// Read returns the current value of c, which is the same for all processes on a machine.
func (c KernelClock) Read() (time.Duration, error) {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(
		syscall.SYS_CLOCK_GETTIME, uintptr(c), uintptr(unsafe.Pointer(&ts)), 0,
	); errno != 0 {
		return 0, errno
	}
	return time.Duration(ts.Nano()), nil
}

// bootIDPath is the file with the ID of the current boot (random(4)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootIDReadAttempts is the number of attempts to read the boot ID before it counts as unknown.
const bootIDReadAttempts = 3

// Anchor relates a persistent clock to the clocks of the machine at one instant. All times are in microseconds.
type Anchor struct {
	Time     int64  `json:"at"`             // time of the persistent clock
	BootTime int64  `json:"run"`            // boot-time clock
	WallTime int64  `json:"wall"`           // wall clock, since the Unix epoch
	BootID   string `json:"boot,omitempty"` // empty if unknown
}

// Persistent is a clock that continues across process restarts. It is safe for concurrent use.
type Persistent struct {
	startMicros int64
	startTime   time.Time
}

// New returns a clock that starts at the current wall time.
func New() *Persistent {
	c, _ := NewWithAnchor()
	return c
}

// Resume continues the clock that anchor describes. Latest is the latest recorded time, or 0 if there is none; after a
// reboot the clock does not start before it. Resume also returns an anchor that is valid for the current boot, which is
// the given one if that still is.
func Resume(anchor Anchor, latest int64) (*Persistent, Anchor) {
	return resumeFrom(anchor, latest, readClocks())
}

// NewWithAnchor returns a clock that starts at the current wall time, and its anchor.
func NewWithAnchor() (*Persistent, Anchor) {
	r := readClocks()
	return &Persistent{startMicros: r.wallTime.UnixMicro(), startTime: r.wallTime}, r.anchorAt(r.wallTime.UnixMicro())
}

func resumeFrom(anchor Anchor, latest int64, r clockReadings) (*Persistent, Anchor) {
	sameBoot := anchor.BootID == r.bootID || anchor.BootID == "" || r.bootID == ""
	if sameBoot && r.bootTime >= anchor.BootTime && r.bootTime != 0 {
		return &Persistent{startMicros: anchor.Time + r.bootTime - anchor.BootTime, startTime: r.wallTime}, anchor
	}
	start := max(anchor.Time+max(r.wallTime.UnixMicro()-anchor.WallTime, 0), latest)
	return &Persistent{startMicros: start, startTime: r.wallTime}, r.anchorAt(start)
}

// Now returns the current time in microseconds.
func (c *Persistent) Now() int64 { return c.Micros(time.Now()) }

// Micros returns this clock's time at t, which must have a monotonic reading of this process.
func (c *Persistent) Micros(t time.Time) int64 {
	return c.startMicros + t.Sub(c.startTime).Microseconds()
}

// Time returns the time.Time at which this clock shows micros. It has a monotonic reading.
func (c *Persistent) Time(micros int64) time.Time {
	return c.startTime.Add(time.Duration(micros-c.startMicros) * time.Microsecond)
}

// clockReadings holds readings of the clocks of the machine at one instant.
type clockReadings struct {
	wallTime time.Time // with a monotonic reading
	bootTime int64     // microseconds since boot; 0 if the clock cannot be read
	bootID   string
}

// anchorAt returns the anchor of a clock that showed the time micros when r was read.
func (r clockReadings) anchorAt(micros int64) Anchor {
	return Anchor{Time: micros, BootTime: r.bootTime, WallTime: r.wallTime.UnixMicro(), BootID: r.bootID}
}

func readClocks() clockReadings {
	r := clockReadings{wallTime: time.Now(), bootID: readBootID()}
	if sinceBoot, err := BootTime.Read(); err == nil {
		r.bootTime = sinceBoot.Microseconds()
	}
	return r
}

// readBootID returns the boot ID, or "" if it is unknown. The file is read once, as the boot ID cannot change while a
// process runs.
var readBootID = sync.OnceValue(func() string {
	for range bootIDReadAttempts {
		if text, err := os.ReadFile(bootIDPath); err == nil {
			return strings.TrimSpace(string(text))
		}
	}
	return ""
})

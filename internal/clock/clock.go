// Package clock has the time that outlives a process.
//
// Deadlines, windows and waits are spans of real time, and the wall clock may be
// stepped by seconds or an hour. Within a process the time package's monotonic
// readings do; they mean nothing to the next process. The kernel's boot clock
// does, as long as the machine runs. A [Persistent] clock counts microseconds from
// the Unix epoch, as the wall clock was when a [Anchor] was first made, and goes
// on by the boot clock from one process to the next. It is never set.
//
// After another boot the boot clock has begun anew: then the wall clock says how
// long the machine was away, but no less than what is already on record. A boot
// whose identity cannot be read counts as the same one if its clock has gone on.
package clock

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// KernelClock is the number of one of the kernel's clocks (clock_gettime(2)).
type KernelClock uintptr

// The clocks that are used here: both count from the boot, and BootTime counts suspensions too.
const (
	Monotonic KernelClock = 1
	BootTime  KernelClock = 7
)

// Read is what a clock of the kernel says, the same for all processes of a machine.
func (c KernelClock) Read() (time.Duration, error) {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(c), uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0, errno
	}
	return time.Duration(ts.Nano()), nil
}

// bootIDPath holds the identity of the boot (random(4)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootIDReadAttempts is how often the identity is read before it counts as unknown.
const bootIDReadAttempts = 3

// Anchor ties a lasting clock to the clocks of a machine, at one moment. All times are in microseconds.
type Anchor struct {
	Time     int64  `json:"at"`             // the lasting clock
	BootTime int64  `json:"run"`            // the boot clock
	WallTime int64  `json:"wall"`           // the wall clock, from the Unix epoch
	BootID   string `json:"boot,omitempty"` // identity of the boot; empty if it is not known
}

// Persistent is a clock that goes on over restarts. It is safe for concurrent use.
type Persistent struct {
	startMicros int64
	startTime   time.Time
}

// New makes a clock that begins with the wall clock.
func New() *Persistent {
	l, _ := NewWithAnchor()
	return l
}

// Resume makes the clock of a stamp go on. Latest is the latest time that is on record, 0 for none: the clock never
// goes back behind it. It returns a stamp that holds for this boot, which is the old one if that does.
func Resume(s Anchor, latest int64) (*Persistent, Anchor) {
	return resumeFrom(s, latest, readClocks())
}

// NewWithAnchor makes a clock that begins with the wall clock, and its stamp.
func NewWithAnchor() (*Persistent, Anchor) {
	m := readClocks()
	return &Persistent{startMicros: m.wallTime.UnixMicro(), startTime: m.wallTime}, m.anchorAt(m.wallTime.UnixMicro())
}

func resumeFrom(s Anchor, latest int64, m clockReadings) (*Persistent, Anchor) {
	sameBoot := s.BootID == m.bootID || s.BootID == "" || m.bootID == ""
	if sameBoot && m.bootTime >= s.BootTime && m.bootTime != 0 {
		return &Persistent{startMicros: s.Time + m.bootTime - s.BootTime, startTime: m.wallTime}, s
	}
	at := max(s.Time+max(m.wallTime.UnixMicro()-s.WallTime, 0), latest)
	return &Persistent{startMicros: at, startTime: m.wallTime}, m.anchorAt(at)
}

// Now is the time.
func (l *Persistent) Now() int64 { return l.Micros(time.Now()) }

// Micros is the time at a moment of this process, which must have a monotonic reading.
func (l *Persistent) Micros(t time.Time) int64 {
	return l.startMicros + t.Sub(l.startTime).Microseconds()
}

// Time is the moment of a time, with a monotonic reading.
func (l *Persistent) Time(micros int64) time.Time {
	return l.startTime.Add(time.Duration(micros-l.startMicros) * time.Microsecond)
}

// clockReadings is what the clocks of a clockReadings say at one moment.
type clockReadings struct {
	wallTime time.Time
	bootTime int64 // microseconds since the boot; 0 if that cannot be had
	bootID   string
}

func (m clockReadings) anchorAt(at int64) Anchor {
	return Anchor{Time: at, BootTime: m.bootTime, WallTime: m.wallTime.UnixMicro(), BootID: m.bootID}
}

func readClocks() clockReadings {
	m := clockReadings{wallTime: time.Now(), bootID: readBootID()}
	if run, err := BootTime.Read(); err == nil {
		m.bootTime = run.Microseconds()
	}
	return m
}

// readBootID is read once: it cannot change under a process.
var readBootID = sync.OnceValue(func() string {
	for range bootIDReadAttempts {
		if text, err := os.ReadFile(bootIDPath); err == nil {
			return strings.TrimSpace(string(text))
		}
	}
	return ""
})

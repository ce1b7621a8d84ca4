// Package clock has the time that outlives a process.
//
// Deadlines, windows and waits are spans of real time, and the wall clock may be
// stepped by seconds or an hour. Within a process the time package's monotonic
// readings do; they mean nothing to the next process. The kernel's boot clock
// does, as long as the machine runs. A [Lasting] clock counts microseconds from
// the Unix epoch, as the wall clock was when a [Stamp] was first made, and goes
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

// The clocks that are used here: both count from the boot, and Boot counts suspensions too.
const (
	Monotonic KernelClock = 1
	Boot      KernelClock = 7
)

// Read is what a clock of the kernel says, the same for all processes of a machine.
func (c KernelClock) Read() (time.Duration, error) {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(c), uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0, errno
	}
	return time.Duration(ts.Nano()), nil
}

// bootFile holds the identity of the boot (random(4)).
const bootFile = "/proc/sys/kernel/random/boot_id"

// bootTries is how often the identity is read before it counts as unknown.
const bootTries = 3

// Stamp ties a lasting clock to the clocks of a machine, at one moment. All times are in microseconds.
type Stamp struct {
	At   int64  `json:"at"`             // the lasting clock
	Run  int64  `json:"run"`            // the boot clock
	Wall int64  `json:"wall"`           // the wall clock, from the Unix epoch
	Boot string `json:"boot,omitempty"` // identity of the boot; empty if it is not known
}

// Lasting is a clock that goes on over restarts. It is safe for concurrent use.
type Lasting struct {
	base  int64
	start time.Time
}

// New makes a clock that begins with the wall clock.
func New() *Lasting {
	l, _ := Begin()
	return l
}

// Resume makes the clock of a stamp go on. Latest is the latest time that is on record, 0 for none: the clock never
// goes back behind it. It returns a stamp that holds for this boot, which is the old one if that does.
func Resume(s Stamp, latest int64) (*Lasting, Stamp) {
	return resume(s, latest, read())
}

// Begin makes a clock that begins with the wall clock, and its stamp.
func Begin() (*Lasting, Stamp) {
	m := read()
	return &Lasting{base: m.now.UnixMicro(), start: m.now}, m.stamp(m.now.UnixMicro())
}

func resume(s Stamp, latest int64, m machine) (*Lasting, Stamp) {
	sameBoot := s.Boot == m.boot || s.Boot == "" || m.boot == ""
	if sameBoot && m.run >= s.Run && m.run != 0 {
		return &Lasting{base: s.At + m.run - s.Run, start: m.now}, s
	}
	at := max(s.At+max(m.now.UnixMicro()-s.Wall, 0), latest)
	return &Lasting{base: at, start: m.now}, m.stamp(at)
}

// Now is the time.
func (l *Lasting) Now() int64 { return l.Of(time.Now()) }

// Of is the time at a moment of this process, which must have a monotonic reading.
func (l *Lasting) Of(t time.Time) int64 { return l.base + t.Sub(l.start).Microseconds() }

// At is the moment of a time, with a monotonic reading.
func (l *Lasting) At(micros int64) time.Time {
	return l.start.Add(time.Duration(micros-l.base) * time.Microsecond)
}

// machine is what the clocks of a machine say at one moment.
type machine struct {
	now  time.Time
	run  int64 // microseconds since the boot; 0 if that cannot be had
	boot string
}

func (m machine) stamp(at int64) Stamp {
	return Stamp{At: at, Run: m.run, Wall: m.now.UnixMicro(), Boot: m.boot}
}

func read() machine {
	m := machine{now: time.Now(), boot: bootIdentity()}
	if run, err := Boot.Read(); err == nil {
		m.run = run.Microseconds()
	}
	return m
}

// bootIdentity is read once: it cannot change under a process.
var bootIdentity = sync.OnceValue(func() string {
	for range bootTries {
		if text, err := os.ReadFile(bootFile); err == nil {
			return strings.TrimSpace(string(text))
		}
	}
	return ""
})

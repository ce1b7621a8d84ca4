package faultinject

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// EnvPlan is the environment variable that holds the path of a plan.
const EnvPlan = "FAULT_PLAN"

// Target limits a fault to calls on certain files or sockets.
type Target int

// The targets. Files are recognized by their path, sockets by the call that created them. The values are part of the
// plan's format, which overlay/syscall.go.txt reads.
const (
	AnyTarget Target = iota
	StateFiles
	AcceptedSockets
	OutgoingSockets
)

// Fault makes some of the calls of one kind fail, transfer less than requested, or start late, for a limited time.
type Fault struct {
	Call        string // a key of SyscallNumbers
	Target      Target
	Errno       syscall.Errno // returned instead of making the call; 0 to make it
	MaxBytes    int           // limit of a transfer; 0 for no limit
	Delay       time.Duration // pause before the call
	From        time.Duration // on the clock of Now
	To          time.Duration // exclusive
	Probability float64       // of each call to be affected, from 0 to 1
}

// ClockStep steps the wall clock: from At on, it is ahead of the real one by Offset.
type ClockStep struct {
	At     time.Duration // on the clock of Now
	Offset time.Duration
}

// Plan is everything that is injected into one process.
type Plan struct {
	StateDir   string // files below it are StateFiles
	Faults     []Fault
	ClockSteps []ClockStep
}

// SyscallNumbers maps the names that Fault.Call may have to system call numbers.
var SyscallNumbers = map[string]uintptr{
	"read":     syscall.SYS_READ,
	"write":    syscall.SYS_WRITE,
	"pread":    syscall.SYS_PREAD64,
	"pwrite":   syscall.SYS_PWRITE64,
	"open":     syscall.SYS_OPENAT,
	"truncate": syscall.SYS_FTRUNCATE,
	"rename":   syscall.SYS_RENAMEAT,
	"unlink":   syscall.SYS_UNLINKAT,
	"sync":     syscall.SYS_FSYNC,
	"lock":     syscall.SYS_FLOCK,
	"close":    syscall.SYS_CLOSE,
	"socket":   syscall.SYS_SOCKET,
	"bind":     syscall.SYS_BIND,
	"listen":   syscall.SYS_LISTEN,
	"connect":  syscall.SYS_CONNECT,
	"accept":   syscall.SYS_ACCEPT4,
	"receive":  syscall.SYS_RECVFROM,
}

// Sizes of the tables in overlay/syscall.go.txt, and the scale of probabilities in a plan file.
const (
	maxFaults        = 256
	maxClockSteps    = 64
	probabilityScale = 1_000_000
)

// Save writes the plan to path. A process uses it if it is started with EnvPlan set to path.
func (p Plan) Save(path string) error {
	if len(p.Faults) > maxFaults || len(p.ClockSteps) > maxClockSteps {
		return fmt.Errorf("fault plan has %d faults and %d clock steps; the limits are %d and %d",
			len(p.Faults), len(p.ClockSteps), maxFaults, maxClockSteps)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "state %s\n", p.StateDir)
	for _, f := range p.Faults {
		number, ok := SyscallNumbers[f.Call]
		if !ok {
			return fmt.Errorf("fault plan: unknown system call %q", f.Call)
		}
		fmt.Fprintf(&b, "fault %d %d %d %d %d %d %d %d\n", number, f.Target, f.Errno, f.MaxBytes, f.Delay, f.From, f.To,
			int64(f.Probability*probabilityScale))
	}
	for _, s := range p.ClockSteps {
		fmt.Fprintf(&b, "step %d %d\n", s.At, s.Offset)
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

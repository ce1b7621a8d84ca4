package faultinject

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// EnvPlan names the environment variable that holds the path of a plan.
const EnvPlan = "FAULT_PLAN"

// Target says which calls of a kind a fault may hit.
type Target int

// The targets. A file is told by its path, a socket by how it was made.
const (
	AnyTarget Target = iota
	StateFiles
	AcceptedSockets
	OutgoingSockets
)

// Fault makes a part of the calls of one kind fail, fall short or come late for a while.
type Fault struct {
	Call        string // as in Calls
	Target      Target
	Errno       syscall.Errno // returned instead of the call; 0 if it is made
	MaxBytes    int           // bytes that a transfer may move; 0 for no bound
	Delay       time.Duration // before the call
	From        time.Duration // on the clock of Now
	To          time.Duration
	Probability float64 // part of the calls that it hits
}

// Step sets the wall clock: from At on it is Offset ahead of the true one.
type ClockStep struct {
	At     time.Duration // on the clock of Now
	Offset time.Duration
}

// Plan is all that happens to one process.
type Plan struct {
	StateDir   string // files below it are StateFiles
	Faults     []Fault
	ClockSteps []ClockStep
}

// Calls maps the names that a Fault may use to system call numbers.
var SyscallNumbers = map[string]uintptr{
	"read": syscall.SYS_READ, "write": syscall.SYS_WRITE, "pread": syscall.SYS_PREAD64, "pwrite": syscall.SYS_PWRITE64,
	"open": syscall.SYS_OPENAT, "truncate": syscall.SYS_FTRUNCATE, "rename": syscall.SYS_RENAMEAT,
	"unlink": syscall.SYS_UNLINKAT, "sync": syscall.SYS_FSYNC, "lock": syscall.SYS_FLOCK, "close": syscall.SYS_CLOSE,
	"socket": syscall.SYS_SOCKET, "bind": syscall.SYS_BIND, "listen": syscall.SYS_LISTEN,
	"connect": syscall.SYS_CONNECT, "accept": syscall.SYS_ACCEPT4, "receive": syscall.SYS_RECVFROM,
}

// Bounds of the tables in the program.
const (
	maxFaults        = 256
	maxSteps         = 64
	probabilityScale = 1_000_000
)

// Save writes the plan for a process that is started with EnvPlan set to path.
func (p Plan) Save(path string) error {
	if len(p.Faults) > maxFaults || len(p.ClockSteps) > maxSteps {
		return fmt.Errorf("plan of %d faults and %d steps: at most %d and %d", len(p.Faults), len(p.ClockSteps), maxFaults, maxSteps)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "state %s\n", p.StateDir)
	for _, f := range p.Faults {
		trap, ok := SyscallNumbers[f.Call]
		if !ok {
			return fmt.Errorf("fault: unknown call %q", f.Call)
		}
		fmt.Fprintf(&b, "fault %d %d %d %d %d %d %d %d\n", trap, f.Target, f.Errno, f.MaxBytes, f.Delay, f.From, f.To, int64(f.Probability*probabilityScale))
	}
	for _, s := range p.ClockSteps {
		fmt.Fprintf(&b, "step %d %d\n", s.At, s.Offset)
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

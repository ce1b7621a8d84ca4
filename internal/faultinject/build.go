package faultinject

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"rundeal/internal/clock"
)

//go:embed overlay/syscall.go.txt
var syscallSource string

//go:embed overlay/time.go.txt
var timeSource string

// edit replaces one piece of text in a file of the standard library.
type edit struct{ old, replacement string }

// syscallEdits lead the calls of package syscall by the plan.
var syscallEdits = []edit{
	{"	return RawSyscall6(trap, a1, a2, a3, 0, 0, 0)\n", `	a3, err = beforeCall(trap, a1, a2, a3)
	if err != 0 {
		return ^uintptr(0), 0, err
	}
	r1, r2, err = RawSyscall6(trap, a1, a2, a3, 0, 0, 0)
	afterCall(trap, a1, a2, r1, err)
	return
`},
	{"	r1, r2, err = RawSyscall6(trap, a1, a2, a3, 0, 0, 0)\n	runtime_exitsyscall()\n", `	a3, err = beforeCall(trap, a1, a2, a3)
	if err != 0 {
		r1 = ^uintptr(0)
	} else {
		r1, r2, err = RawSyscall6(trap, a1, a2, a3, 0, 0, 0)
		afterCall(trap, a1, a2, r1, err)
	}
	runtime_exitsyscall()
`},
	{"	r1, r2, err = RawSyscall6(trap, a1, a2, a3, a4, a5, a6)\n	runtime_exitsyscall()\n", `	a3, err = beforeCall(trap, a1, a2, a3)
	if err != 0 {
		r1 = ^uintptr(0)
	} else {
		r1, r2, err = RawSyscall6(trap, a1, a2, a3, a4, a5, a6)
		afterCall(trap, a1, a2, r1, err)
	}
	runtime_exitsyscall()
`},
}

// timeEdits make time.Now read the wall clock of the plan.
var timeEdits = []edit{{"	sec, nsec, mono := runtimeNow()\n	if mono == 0 {", "	sec, nsec, mono := plannedNow()\n	if mono == 0 {"}}

// Build compiles the main package at path pkg, as seen from dir, to the file out.
func Build(ctx context.Context, dir, pkg, out string, flags ...string) error {
	work, err := os.MkdirTemp("", "faultinject")
	if err != nil {
		return err
	}
	defer os.RemoveAll(work)
	overlay, err := writeOverlay(ctx, work)
	if err != nil {
		return fmt.Errorf("fault injection: %w", err)
	}
	args := append([]string{"build", "-overlay", overlay, "-o", out}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, pkg)...)
	cmd.Dir = dir
	if text, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build with fault injection: %w\n%s", err, text)
	}
	return nil
}

// writeOverlay writes the changed files below work, and the list of them for the go command.
func writeOverlay(ctx context.Context, work string) (string, error) {
	text, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	source := filepath.Join(strings.TrimSpace(string(text)), "src")
	replace := map[string]string{}
	add := func(name, text string) error {
		file := filepath.Join(work, strings.ReplaceAll(name, "/", "_"))
		replace[filepath.Join(source, name)] = file
		return os.WriteFile(file, []byte(text), 0o600)
	}
	change := func(name string, edits []edit) error {
		text, err := os.ReadFile(filepath.Join(source, name))
		if err != nil {
			return err
		}
		changed := string(text)
		for _, e := range edits {
			if strings.Count(changed, e.old) != 1 {
				return fmt.Errorf("%s of %s is not as expected", name, runtime.Version())
			}
			changed = strings.Replace(changed, e.old, e.replacement, 1)
		}
		return add(name, changed)
	}
	if err := change("syscall/syscall_linux.go", syscallEdits); err != nil {
		return "", err
	}
	if err := change("time/time.go", timeEdits); err != nil {
		return "", err
	}
	if err := add("syscall/faultinject_linux.go", syscallSource); err != nil {
		return "", err
	}
	if err := add("time/faultinject.go", timeSource); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	file := filepath.Join(work, "overlay.json")
	return file, os.WriteFile(file, list, 0o600)
}

// Now is the clock that plans go by: that of the runtime's monotonic readings, the same for all processes of a machine.
func Now() time.Duration {
	now, err := clock.Monotonic.Read()
	if err != nil {
		panic(err) // only a wrong clock number or address can cause it
	}
	return now
}

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

// edit is a text replacement in a file of the standard library.
type edit struct{ old, replacement string }

// syscallEdits add calls of beforeCall and afterCall, which overlay/syscall.go.txt defines, around system calls.
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

// timeEdits make time.Now use plannedNow, which overlay/time.go.txt defines.
var timeEdits = []edit{{
	"	sec, nsec, mono := runtimeNow()\n	if mono == 0 {",
	"	sec, nsec, mono := plannedNow()\n	if mono == 0 {",
}}

// Build compiles the main package pkg, a path relative to dir, with fault injection and writes the program to out.
// flags are additional flags of go build.
func Build(ctx context.Context, dir, pkg, out string, flags ...string) error {
	workDir, err := os.MkdirTemp("", "faultinject")
	if err != nil {
		return err
	}
	defer os.RemoveAll(workDir)
	overlay, err := writeOverlay(ctx, workDir)
	if err != nil {
		return fmt.Errorf("fault injection: %w", err)
	}
	args := append([]string{"build", "-overlay", overlay, "-o", out}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, pkg)...)
	cmd.Dir = dir
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build with fault injection: %w\n%s", err, output)
	}
	return nil
}

// writeOverlay writes the modified files and the JSON file for the -overlay flag of the go command to workDir. It
// returns the path of the JSON file.
func writeOverlay(ctx context.Context, workDir string) (string, error) {
	text, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	sourceDir := filepath.Join(strings.TrimSpace(string(text)), "src")
	replacements := map[string]string{}
	addFile := func(name, text string) error {
		file := filepath.Join(workDir, strings.ReplaceAll(name, "/", "_"))
		replacements[filepath.Join(sourceDir, name)] = file
		return os.WriteFile(file, []byte(text), 0o600)
	}
	editFile := func(name string, edits []edit) error {
		text, err := os.ReadFile(filepath.Join(sourceDir, name))
		if err != nil {
			return err
		}
		edited := string(text)
		for _, e := range edits {
			if strings.Count(edited, e.old) != 1 {
				return fmt.Errorf("%s of %s does not have the expected text; the edits must be adapted to this Go version",
					name, runtime.Version())
			}
			edited = strings.Replace(edited, e.old, e.replacement, 1)
		}
		return addFile(name, edited)
	}
	if err := editFile("syscall/syscall_linux.go", syscallEdits); err != nil {
		return "", err
	}
	if err := editFile("time/time.go", timeEdits); err != nil {
		return "", err
	}
	if err := addFile("syscall/faultinject_linux.go", syscallSource); err != nil {
		return "", err
	}
	if err := addFile("time/faultinject.go", timeSource); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", err
	}
	file := filepath.Join(workDir, "overlay.json")
	return file, os.WriteFile(file, overlay, 0o600)
}

// Now returns the time on the clock used in plans. It is the monotonic clock that the Go runtime uses, and the same for
// all processes on a machine.
func Now() time.Duration {
	now, err := clock.Monotonic.Read()
	if err != nil {
		panic(err) // fails only for an invalid clock number or address
	}
	return now
}

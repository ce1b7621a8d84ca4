package faultinject

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testProgram makes calls that the plan of the test affects and prints their results.
const testProgram = `package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	dir := os.Args[1]
	start, wall := time.Now(), time.Now().Unix()
	_, err := os.Create(filepath.Join(dir, "refused"))
	fmt.Println("create", errors.Is(err, syscall.ENOSPC))
	_, err = os.Create(filepath.Join(os.TempDir(), "elsewhere"))
	fmt.Println("elsewhere", err)
	_, err = net.Listen("tcp", "127.0.0.1:0")
	fmt.Println("listen", errors.Is(err, syscall.ENOBUFS))
	time.Sleep(time.Second)
	f, err := os.Create(filepath.Join(dir, "short"))
	if err != nil {
		panic(err)
	}
	n, err := f.WriteAt(make([]byte, 100), 0)
	fmt.Println("write", n, err)
	fmt.Println("step", (time.Now().Unix()-wall+50)/100, time.Since(start) < 2*time.Second)
}
`

func TestBuildAppliesPlan(t *testing.T) {
	dir, stateDir := t.TempDir(), t.TempDir()
	for name, text := range map[string]string{"main.go": testProgram, "go.mod": "module planned\n\ngo 1.26\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "planned")
	if err := Build(t.Context(), dir, ".", path); err != nil {
		t.Fatal(err)
	}
	now := Now()
	plan := Plan{StateDir: stateDir, Faults: []Fault{
		{Call: "open", Target: StateFiles, Errno: syscall.ENOSPC, From: now, To: now + time.Second, Probability: 1},
		{Call: "socket", Errno: syscall.ENOBUFS, From: now, To: now + time.Second, Probability: 1},
		{Call: "pwrite", Target: StateFiles, MaxBytes: 10, From: now, To: now + time.Minute, Probability: 1},
	}, ClockSteps: []ClockStep{{At: now + 500*time.Millisecond, Offset: -time.Hour}}}
	file := filepath.Join(dir, "plan")
	if err := plan.Save(file); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path, stateDir)
	cmd.Env = append(os.Environ(), EnvPlan+"="+file, "TMPDIR="+dir)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	want := "create true\nelsewhere <nil>\nlisten true\nwrite 100 <nil>\nstep -35 true\n"
	if got := string(out); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestPlanRejectsUnknownCall(t *testing.T) {
	err := Plan{Faults: []Fault{{Call: "fly"}}}.Save(filepath.Join(t.TempDir(), "plan"))
	if err == nil || !strings.Contains(err.Error(), `"fly"`) {
		t.Errorf("got %v", err)
	}
}

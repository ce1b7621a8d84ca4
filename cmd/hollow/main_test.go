package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rundeal/internal/hollow"
)

const quickScenario = "title = \"a quick one\"\nduration = \"2s\"\ndrain = \"1s\"\n[fleet]\nsenders = 2\n"

// scenarioDir returns a directory with a valid scenario and an invalid one.
func scenarioDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"quick.toml":   quickScenario,
		"bad.txt":      "",
		"sub/bad.toml": "[fleet]\nsenders = 0\n",
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestCommands(t *testing.T) {
	dir := scenarioDir(t)
	report := filepath.Join(dir, "report.json")
	bad := filepath.Join(dir, "sub", "bad.toml")
	for _, test := range []struct {
		args string
		code int
		out  string // expected in the output
		errs string // expected in the error output
	}{
		{"run quick --json " + report, 0, "a quick one, seed 1", ""},
		{"run quick --senders 3 --destinations 4 --seed 9", 0, "3 senders, 4 destinations", ""},
		{"run " + filepath.Join(dir, "quick.toml"), 0, "digest", ""},
		{"run " + bad, 2, "", bad + ":2: fleet.senders: want 1 or more"},
		{"run quick --senders=-1", 2, "", "fleet.senders: want 1 or more"},
		{"run none", 1, "", "none.toml"},
		{"run quick --memory 0.01", 1, "", "MB is the limit"},
		{"sweep quick --senders 1,2", 0, "notice_mean_s", ""},
		{"sweep quick --destinations 1,2", 0, "list_bytes", ""},
		{"sweep quick", 2, "", "--senders"},
		{"check quick", 0, "a quick one: 2 senders", ""},
		{"check " + bad, 2, "", ":2: fleet.senders"},
		{"list", 0, "a quick one", ""},
		{"walk", 2, "", "walk"},
		{"--help", 0, "Run a scenario and report the measurements.", ""},
	} {
		var out, errs strings.Builder
		code := run(context.Background(), append([]string{"--dir", dir}, strings.Fields(test.args)...), &out, &errs)
		if code != test.code || !strings.Contains(out.String(), test.out) || !strings.Contains(errs.String(), test.errs) {
			t.Errorf("%s: code %d, want %d\n%s%s", test.args, code, test.code, out.String(), errs.String())
		}
	}
	var parsed hollow.Report
	text, err := os.ReadFile(report)
	if err == nil {
		err = json.Unmarshal(text, &parsed)
	}
	if err != nil || parsed.Offered == 0 || parsed.Senders != 2 || parsed.VirtualTime.String() != "3s" {
		t.Errorf("report %+v, %v", parsed, err)
	}
}

// An interrupt must end a run with the measurements so far, and a sweep with the sizes that are complete.
func TestInterruptReportsPartialResults(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "long.toml"), []byte("duration = \"1h\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range []string{"run long", "sweep long --senders 2,20"} {
		var out, errs strings.Builder
		if code := run(ctx, append([]string{"--dir", dir}, strings.Fields(args)...), &out, &errs); code != 0 ||
			!strings.Contains(out.String(), "CUT SHORT") {
			t.Errorf("%s: code %d\n%s%s", args, code, out.String(), errs.String())
		}
	}
}

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

// scenarioDir holds a good scenario and a bad one.
func scenarioDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"quick.toml": quickScenario, "bad.txt": "", "sub/bad.toml": "[fleet]\nsenders = 0\n"} {
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
	for _, x := range []struct {
		args string
		code int
		out  string // part of what is written to the output
		errs string // and to the errors
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
		{"--help", 0, "Play a scenario", ""},
	} {
		var out, errs strings.Builder
		code := run(context.Background(), append([]string{"--dir", dir}, strings.Fields(x.args)...), &out, &errs)
		if code != x.code || !strings.Contains(out.String(), x.out) || !strings.Contains(errs.String(), x.errs) {
			t.Errorf("%s: code %d, want %d\n%s%s", x.args, code, x.code, out.String(), errs.String())
		}
	}
	var r hollow.Report
	text, err := os.ReadFile(report)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil || r.Offered == 0 || r.Senders != 2 || r.Until.String() != "3s" {
		t.Errorf("report %+v, %v", r, err)
	}
}

// Ctrl-C ends a run with what was measured so far, and a sweep with the sizes that are whole.
func TestInterruptReportsPartialResults(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "long.toml"), []byte("duration = \"1h\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range []string{"run long", "sweep long --senders 2,20"} {
		var out, errs strings.Builder
		if code := run(ctx, append([]string{"--dir", dir}, strings.Fields(args)...), &out, &errs); code != 0 || !strings.Contains(out.String(), "CUT SHORT") {
			t.Errorf("%s: code %d\n%s%s", args, code, out.String(), errs.String())
		}
	}
}

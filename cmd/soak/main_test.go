package main

import (
	"strings"
	"testing"
)

func TestInvalidCommandLine(t *testing.T) {
	var out, errs strings.Builder
	if code := run([]string{"--from", "many"}, &out, &errs); code != 2 || !strings.Contains(errs.String(), "--from") {
		t.Errorf("exit code %d, error output %q", code, errs.String())
	}
}

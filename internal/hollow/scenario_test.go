package hollow

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
)

func TestBadScenarios(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		line       int
		field      string
		want       string // substring of the reason
	}{
		{"unknown field", "seed = 1\n[fleet]\nsenders = 2\nsender = 3\n", 4, "fleet.sender", "no such field"},
		{"unknown table", "[flet]\nsenders = 2\n", 1, "flet", "no such field"},
		{"syntax error", "seed = 1\nduration = \n", 2, "", "unexpected character"},
		{"wrong type", "[fleet]\n\nsenders = \"two\"\n", 3, "fleet.senders", "int"},
		{"unknown unit", "duration = \"12 minutes\"\n", 1, "duration", "want one like 12s or 350ms"},
		{"negative duration", "[cold]\nfall_window = \"-3s\"\n", 2, "cold.fall_window", "want one like"},
		{"duration without a unit", "\nduration = 60\n", 2, "duration", "want a duration like"},
		{"no senders", "[fleet]\nsenders = 0\n", 2, "fleet.senders", "want 1 or more"},
		{"too few zones", "[fleet]\nregions = 3\nzones = 2\n", 3, "fleet.zones", "at least one for each region"},
		{"unknown popularity", "[fleet]\n[traffic]\n# none\npopularity = \"odd\"\n",
			4, "traffic.popularity", "one of even, zipf"},
		{"duplicate class name",
			"[[class]]\nname = \"a\"\nshare = 1\ndeadline = \"1s\"\neffect = \"safe\"\n[[class]]\nname = \"a\"\n" +
				"deadline = \"1s\"\neffect = \"safe\"\n", 7, "class[1].name", "a unique name"},
		{"class without a window", "[[class]]\nname = \"a\"\nshare = 1\ndeadline = \"1s\"\neffect = \"keyed\"\n",
			1, "class[0].window", "keyed"},
		{"fault without a kind", "[[fault]]\nat = \"3s\"\nfor = \"1s\"\n", 1, "fault[0].what", "one of outage, limit"},
		{"region out of range", "[[fault]]\nwhat = \"link\"\nfor = \"1s\"\nother = 1\n",
			4, "fault[0].other", "another region"},
		{"too many destinations", "[[fault]]\nwhat = \"outage\"\nhow = \"503\"\nfor = \"1s\"\nnumber = 9\ncount = 2\n",
			6, "fault[0].count", "from the number on"},
		{"come_back with 503", "[destinations]\ncome_back = \"1s\"\n", 2, "destinations.come_back", "none with 503"},
	} {
		_, err := Parse("x.toml", []byte(tc.text))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		if fieldErr.File != "x.toml" || fieldErr.Line != tc.line || fieldErr.Field != tc.field ||
			!strings.Contains(fieldErr.Reason, tc.want) {
			t.Errorf("%s: %v, want line %d, field %s: %s", tc.name, err, tc.line, tc.field, tc.want)
		}
	}
	_, err := Parse("x.toml", []byte("[fleet]\nsenders = 0\nzones = 0\n"))
	if n := strings.Count(err.Error(), "x.toml:"); n != 2 {
		t.Errorf("two fields are invalid, %d are named: %v", n, err)
	}
}

func TestRepositoryScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, file := range files {
		if sc, err := Load(file); err != nil || sc.Title == "" || sc.MemoryMB() > 12_000 {
			t.Errorf("%s: %+v, %v", file, sc, err)
		}
	}
}

func TestSweepSlope(t *testing.T) {
	var b strings.Builder
	r := func(calls, falls int64) *Report { return &Report{Counts: Counts{IntoOutages: calls, Relapses: falls}} }
	if err := WriteSweep(&b, "senders", []int{2, 20, 200}, []*Report{r(4, 0), r(400, 0), r(40_000, 5)}); err != nil {
		t.Fatal(err)
	}
	rows := map[string][]string{}
	for _, line := range strings.Split(b.String(), "\n") {
		if x := strings.Fields(line); len(x) > 0 {
			rows[x[0]] = x[1:]
		}
	}
	for name, want := range map[string]string{"senders": "2 20 200 slope", "into_outages": "4 400 40000 2.00",
		"falls": "0 0 5 -"} {
		if got := strings.Join(rows[name], " "); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
}

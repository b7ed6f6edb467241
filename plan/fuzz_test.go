package plan_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/plan"
	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

// FuzzFiles guards against answers that are taken and from which no files can be made that the daemons take,
// or whose files lie outside the folder.
func FuzzFiles(f *testing.F) {
	data, err := os.ReadFile("../questionnaire/testdata/answers.toml")
	if err != nil {
		f.Fatal(err)
	}
	var lines []string // without comments, which cost mutations
	for line := range strings.SplitSeq(string(data), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	answers := strings.Join(lines, "\n")
	f.Add([]byte(answers))
	for _, change := range [][2]string{
		{"port = 7400", "port = 72936"},
		{"port = 7400", "port = 0"},
		{"port = 8080", "port = -1"},
		{"port = 8080", "port = 65536"},
		{`"30s"`, `"-30s"`},
		{"= 1000000", "= -9223372036854775808"},
		{`"entry-north"`, `"../entry"`},
		{"short_tokens = 0", "short_tokens = 9223372036854775807"},
	} {
		f.Add([]byte(strings.Replace(answers, change[0], change[1], 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := questionnaire.Parse("a.toml", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("an error without a text")
			}
			return
		}
		for _, g := range a.Instances {
			if g.Port < 1 || g.Port > 65535 || (g.Task == questionnaire.TaskEntry && (g.CallerPort < 1 || g.CallerPort > 65535)) {
				t.Errorf("ports %d and %d of %s", g.Port, g.CallerPort, g.Name)
			}
		}
		files, err := plan.Files(a)
		if err != nil {
			t.Fatalf("answers that were taken: %v", err)
		}
		for _, file := range files {
			if folder := filepath.Dir(file.Path); folder != "." && folder != plan.DaemonsFolder || folder == "." && file.Path != plan.ConfigurationFile {
				t.Errorf("file %q", file.Path)
			}
			if file.Path == plan.ConfigurationFile {
				_, err = fleet.Parse(file.Path, []byte(file.Text))
			} else {
				_, err = settings.Parse(file.Path, []byte(file.Text))
			}
			if err != nil {
				t.Errorf("%s: %v", file.Path, err)
			}
		}
		plan.Advice(a)
		if _, err := questionnaire.Parse("again.toml", []byte(a.Text())); err != nil {
			t.Errorf("the answers aren't taken when written again: %v", err)
		}
	})
}

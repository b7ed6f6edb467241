package sessions_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/settings"
)

var update = flag.Bool("update", false, "rewrite the transcripts")

// session is one session file. The first daemon is the entry. Fields missing in
// the file are taken from testdata/fleet/base.toml.
type session struct {
	About         string   `toml:"about"`
	Configuration string   `toml:"configuration"`
	Daemons       []string `toml:"daemons"`
	Steps         []step   `toml:"step"`

	engine engine.Engine // replaces the emulated engines if not nil
}

// step is one action of a caller or operator. Exactly one of Send, Drain, Stop,
// Await, Check and ReportRuns is set.
type step struct {
	Send       string            `toml:"send"` // method and path
	Headers    map[string]string `toml:"headers"`
	Body       string            `toml:"body"`
	Fill       int               `toml:"fill"`    // number of words that replace FILL in the body
	Name       string            `toml:"name"`    // sends in the background under this name, for Await
	Await      string            `toml:"await"`   // name of the background request whose response is awaited
	Drain      string            `toml:"drain"`   // instance to drain
	Stop       string            `toml:"stop"`    // instance to shut down gracefully
	Check      string            `toml:"check"`   // settings file to validate
	ReportRuns bool              `toml:"counted"` // reports the number of requests run by the plain service
}

func (s session) entryName() string {
	d, err := settings.Parse("settings", []byte(s.Daemons[0]))
	if err != nil {
		return ""
	}
	return d.Instance.Name
}

func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSession(t, file)
		})
	}
}

// baseSession returns the fleet definition that sessions extend.
func baseSession(g *WithT) session {
	var s session
	data, err := os.ReadFile("testdata/fleet/base.toml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(toml.Unmarshal(data, &s)).To(Succeed())
	return s
}

func runSession(t *testing.T, file string) {
	g := NewWithT(t)
	s := baseSession(g)
	data, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(toml.Unmarshal(data, &s)).To(Succeed())
	golden := strings.TrimSuffix(file, ".toml") + ".golden"
	transcript := runSteps(t, newTestFleet(t, s), s)
	if *update {
		g.Expect(os.WriteFile(golden, []byte(transcript), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(golden)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(transcript).To(Equal(string(want)))
}

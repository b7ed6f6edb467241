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

var update = flag.Bool("update", false, "write the transcripts anew")

// session is one session file. The first daemon is the entry. What a file
// leaves out is taken from testdata/fleet/base.toml.
type session struct {
	About         string   `toml:"about"`
	Configuration string   `toml:"configuration"`
	Daemons       []string `toml:"daemons"`
	Steps         []step   `toml:"step"`

	engine engine.Engine // takes the place of emulated engines
}

// step is one thing that a caller or operator does. Exactly one of Send, Drain,
// Stop, Await and Check is set.
type step struct {
	Send    string            `toml:"send"` // method and path
	Headers map[string]string `toml:"headers"`
	Body    string            `toml:"body"`
	Fill    int               `toml:"fill"`    // words put in place of FILL in the body
	Name    string            `toml:"name"`    // sends in the background, until Await
	Await   string            `toml:"await"`   // waits for the answer of a background send
	Drain   string            `toml:"drain"`   // instance that is to leave
	Stop    string            `toml:"stop"`    // instance that is shut down gracefully
	Check   string            `toml:"check"`   // settings file whose faults are listed
	Counted bool              `toml:"counted"` // tells how often the plain service ran
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

// baseSession returns the fleet that sessions start from.
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
	transcript := play(t, newTestFleet(t, s), s)
	if *update {
		g.Expect(os.WriteFile(golden, []byte(transcript), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(golden)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(transcript).To(Equal(string(want)))
}

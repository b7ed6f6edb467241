package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/operator"
	"github.com/jacinthplank/jacinthplank/plan"
	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

// convergenceTimeout exceeds the time that elections and catch-up take.
const convergenceTimeout = 30 * time.Second

// realFleet runs three daemons, each an entry and a control member with a disk.
type realFleet struct {
	g         *WithT
	folder    string
	daemons   map[string]*settings.Daemon
	stopFuncs map[string]func()
	listeners map[string]net.Listener // reserved for the first start of each daemon
}

func newRealFleet(t *testing.T) *realFleet {
	f := &realFleet{g: NewWithT(t), folder: t.TempDir(), daemons: map[string]*settings.Daemon{}, stopFuncs: map[string]func(){}, listeners: map[string]net.Listener{}}
	answers, err := questionnaire.FromOutline(questionnaire.Outline{
		Name:           "harbour",
		FailureDomains: []string{"a", "b", "c"},
		Models:         []string{"drafts"},
		Accounts:       []string{"council"},
		Entries:        []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"},
		Disk:           filepath.Join(f.folder, "disk"),
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	for i := range answers.Instances {
		group := &answers.Instances[i]
		group.Disk = filepath.Join(f.folder, "disk-"+group.Name)
		group.Port, group.CallerPort = f.reservePort(group.Addresses[0]), f.reservePort(group.Addresses[0])
	}
	f.g.Expect(os.WriteFile(f.path("answers.toml"), []byte(answers.Text()), 0o600)).To(Succeed())
	for _, d := range plan.Daemons(answers) {
		d.Instance.Configuration = ""
		d.Entry.BalancerDelay = 0
		f.daemons[d.Instance.Name] = d
		f.start(d.Instance.Name)
	}
	t.Setenv("JACINTHPLANK_DAEMONS", f.daemons["entry-a-1"].Instance.Listen+","+f.daemons["entry-b-1"].Instance.Listen)
	t.Cleanup(func() {
		for _, stop := range f.stopFuncs {
			stop()
		}
	})
	return f
}

func (f *realFleet) reservePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.listeners[listener.Addr().String()] = listener
	return listener.Addr().(*net.TCPAddr).Port
}

// takeListener returns the listener reserved for an address, nil after the first start.
func (f *realFleet) takeListener(address string) net.Listener {
	listener := f.listeners[address]
	delete(f.listeners, address)
	return listener
}

func (f *realFleet) start(name string) {
	s := f.daemons[name]
	d, err := daemon.New(s, daemon.Options{
		Log:            slog.New(slog.NewTextHandler(io.Discard, nil)),
		Listener:       f.takeListener(s.Instance.Listen),
		CallerListener: f.takeListener(s.Entry.Listen),
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	f.stopFuncs[name] = sync.OnceFunc(func() {
		cancel()
		<-done
	})
}

func (f *realFleet) path(name string) string { return filepath.Join(f.folder, name) }

func (f *realFleet) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := operator.Run(context.Background(), args, operator.Terminal{In: strings.NewReader(""), Out: &out, Err: &out})
	return code, out.String()
}

// writeRevisedAnswers writes a copy of the answers with the given deadline for short
// requests.
func (f *realFleet) writeRevisedAnswers(name string, seconds int) {
	answers, err := questionnaire.Load(f.path("answers.toml"))
	f.g.Expect(err).NotTo(HaveOccurred())
	answers.Times.Short = fleet.Duration(time.Duration(seconds) * time.Second)
	f.g.Expect(os.WriteFile(f.path(name), []byte(answers.Text()), 0o600)).To(Succeed())
}

func (f *realFleet) copyRecord(name, other string) {
	text, err := os.ReadFile(f.path(other + ".accepted"))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(os.WriteFile(f.path(name+".accepted"), text, 0o600)).To(Succeed())
}

// Several operators accept changes concurrently: exactly one succeeds. Then a daemon
// that was down while a change was accepted catches up after its restart.
func TestConcurrentAcceptOnRealDaemons(t *testing.T) {
	f := newRealFleet(t)
	f.g.Eventually(func() int {
		code, _ := f.run("accept", f.path("answers.toml"))
		return code
	}, convergenceTimeout, 100*time.Millisecond).Should(Equal(operator.ExitOK))

	const operators = 4
	codes := make([]int, operators)
	var race sync.WaitGroup
	for i := range operators {
		name := fmt.Sprintf("answers-%d.toml", i)
		f.writeRevisedAnswers(name, 10+i)
		f.copyRecord(name, "answers.toml")
		race.Go(func() { codes[i], _ = f.run("accept", f.path(name)) })
	}
	race.Wait()
	sort.Ints(codes)
	f.g.Expect(codes).To(Equal([]int{operator.ExitOK, operator.ExitConflict, operator.ExitConflict, operator.ExitConflict}))

	f.stopFuncs["entry-c-1"]()
	f.writeRevisedAnswers("later.toml", 99)
	f.copyRecord("later.toml", "answers.toml")
	f.g.Eventually(func() int {
		code, _ := f.run("accept", f.path("later.toml"), "--wait", "100ms", "--base", "1.2")
		return code
	}, convergenceTimeout, 100*time.Millisecond).Should(BeElementOf(operator.ExitOK, operator.ExitIncomplete))

	f.start("entry-c-1")
	f.g.Eventually(func() string {
		_, text := f.run("status")
		return text
	}, convergenceTimeout, 100*time.Millisecond).Should(And(
		ContainSubstring("Control quorum: good"), ContainSubstring("Revision in force: 1.3 on 3 of 3 daemons.")))
}

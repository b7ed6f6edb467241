package processes_test

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/jacinthplank/jacinthplank/internal/loopback"
	. "github.com/onsi/gomega"
)

// process is one program under test.
type process struct {
	t       *testing.T
	name    string
	args    []string
	command *exec.Cmd
	log     *syncBuffer
	ended   chan struct{}
}

// launch starts a program. It is killed when the test ends.
func launch(t *testing.T, name string, args ...string) *process {
	p := &process{t: t, name: name, args: args, log: &syncBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- log of %s %v\n%s", p.name, p.args, p.log.String())
		}
	})
	return p
}

// start starts the program, again after it has ended.
func (p *process) start() {
	p.command = exec.Command(program(p.name), p.args...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	NewWithT(p.t).Expect(p.command.Start()).To(Succeed())
	p.ended = make(chan struct{})
	command, ended := p.command, p.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// kill ends the process at once, as a lost instance would.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// terminate asks for a graceful shutdown.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// freeze stops the process without ending it; thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s os.Signal) {
	NewWithT(p.t).Expect(p.command.Process.Signal(s)).To(Succeed())
}

// syncBuffer is a buffer that a process writes while the test reads.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	address, err := loopback.Free()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return address
}

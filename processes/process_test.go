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
	exited  chan struct{}
}

// launch starts a program and kills it at the end of the test. The log of the
// program is printed if the test failed.
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

// start starts the program, or restarts it after it has exited.
func (p *process) start() {
	p.command = exec.Command(binaryPath(p.name), p.args...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	NewWithT(p.t).Expect(p.command.Start()).To(Succeed())
	p.exited = make(chan struct{})
	command, ended := p.command, p.exited
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// kill sends SIGKILL to simulate the loss of an instance and waits for the exit.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// terminate requests a graceful shutdown.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// freeze suspends the process until resume is called.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s os.Signal) {
	NewWithT(p.t).Expect(p.command.Process.Signal(s)).To(Succeed())
}

// syncBuffer is a buffer that is safe for concurrent writes by a process and reads
// by the test.
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

// freeAddress returns a loopback address without a listener.
func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return address
}

package processes_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Names used by the fleets of these tests.
const (
	accountKey = "key-council"
	model      = "drafts"
)

// fleetOfProcesses is a small fleet of processes.
type fleetOfProcesses struct {
	t       *testing.T
	g       *WithT
	folder  string
	config  string   // file of the configuration to start with
	seeds   []string // addresses of the entries
	callers []string // addresses for callers, one for each entry
	daemons map[string]*process
	address map[string]string // of daemons, for other processes
	relays  map[string]*relay // that daemons advertise in place of their address
	engines map[string]*process
	engine  map[string]string // addresses of engines
}

const configurationText = `name = "harbour"

[[failure_domains]]
name = "north"
region = "coast"

[[models]]
name = "drafts"
endpoints = 2
max_prompt = 1000000

[[accounts]]
name = "council"
key_digests = ["%s"]
share = 1

[[services]]
name = "registry"
once = [{ method = "POST", path = "/certificates" }]
`

func newFleet(t *testing.T) *fleetOfProcesses {
	f := &fleetOfProcesses{
		t:       t,
		g:       NewWithT(t),
		folder:  t.TempDir(),
		daemons: map[string]*process{},
		address: map[string]string{},
		relays:  map[string]*relay{},
		engines: map[string]*process{},
		engine:  map[string]string{},
	}
	digest := sha256.Sum256([]byte(accountKey))
	f.config = f.write("fleet.toml", fmt.Sprintf(configurationText, hex.EncodeToString(digest[:])))
	return f
}

func (f *fleetOfProcesses) write(name, text string) string {
	path := filepath.Join(f.folder, name)
	f.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// daemon starts one daemon; the lines are added to its settings.
func (f *fleetOfProcesses) daemon(name, duties, lines string) *process {
	address := f.address[name]
	if address == "" {
		address = freeAddress(f.t)
	}
	quoted := make([]string, len(f.seeds))
	for i, seed := range f.seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	advertise := address
	if r := f.relays[name]; r != nil {
		r.setTarget(address)
		advertise = r.address()
	}
	text := fmt.Sprintf(`[instance]
name = %q
failure_domain = "north"
duties = [%s]
listen = %q
advertise = %q
seeds = [%s]
configuration = %q

%s`, name, duties, address, advertise, strings.Join(quoted, ", "), f.config, lines)
	f.address[name] = address
	f.daemons[name] = launch(f.t, "jacinthplankd", "run", f.write(name+".toml", text))
	return f.daemons[name]
}

// entry starts an entry.
func (f *fleetOfProcesses) entry(name string) *process {
	callers := freeAddress(f.t)
	p := f.daemon(name, `"entry"`, fmt.Sprintf("[entry]\nlisten = %q\nbalancer_delay = \"100ms\"\n", callers))
	f.seeds = append(f.seeds, f.address[name])
	f.callers = append(f.callers, callers)
	return p
}

// quorum starts n entries that hold the quorum log.
func (f *fleetOfProcesses) quorum(n int) {
	var members []string
	for i := range n {
		name := fmt.Sprintf("entry-%d", i+1)
		f.address[name] = freeAddress(f.t)
		f.seeds = append(f.seeds, f.address[name])
		members = append(members, fmt.Sprintf("{ name = %q, address = %q }", name, f.address[name]))
	}
	for i := range n {
		f.controlEntry(fmt.Sprintf("entry-%d", i+1), members)
	}
}

func (f *fleetOfProcesses) controlEntry(name string, members []string) {
	callers := freeAddress(f.t)
	f.callers = append(f.callers, callers)
	f.daemon(name, `"entry", "control"`, fmt.Sprintf(`[entry]
listen = %q
balancer_delay = "100ms"

[control]
data_folder = %q
members = [%s]
`, callers, f.dataFolder(name), strings.Join(members, ", ")))
}

func (f *fleetOfProcesses) dataFolder(name string) string { return filepath.Join(f.folder, name) }

// registry starts the process beside the plain service at a URL.
func (f *fleetOfProcesses) registry(name, url string) *process {
	return f.daemon(name, `"endpoint"`, fmt.Sprintf("[endpoint]\nkind = \"registry\"\nservice = \"registry\"\nurl = %q\n", url))
}

// endpoint starts an emulated engine and the process beside it.
func (f *fleetOfProcesses) endpoint(name string, engineFlags ...string) *process {
	f.engine[name] = freeAddress(f.t)
	flags := append([]string{"--listen", f.engine[name], "--name", name}, engineFlags...)
	if !slices.Contains(engineFlags, "--models") {
		flags = append(flags, "--models", model)
	}
	f.engines[name] = launch(f.t, "engine-emulator", flags...)
	f.awaitOK("http://" + f.engine[name] + "/health")
	return f.daemon(name, `"endpoint"`, fmt.Sprintf("[endpoint]\nkind = \"emulated\"\nengine = \"http://%s\"\nstall = \"2s\"\n", f.engine[name]))
}

func (f *fleetOfProcesses) awaitOK(url string) {
	f.t.Helper()
	f.g.Eventually(func() int { return statusOf(url) }, 15*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK), url)
}

// awaitServing waits until an entry answers a request.
func (f *fleetOfProcesses) awaitServing(entry int) {
	f.t.Helper()
	f.awaitOK("http://" + f.callers[entry] + "/readyz")
	f.g.Eventually(func() int {
		status, _ := f.complete(entry, "Dear committee,", 1, "5s")
		return status
	}, 15*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// complete asks for a plain answer and returns its status and body.
func (f *fleetOfProcesses) complete(entry int, prompt string, maxTokens int, timeout string) (int, string) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":%q}`, model, maxTokens, prompt)
	return f.post(entry, "/v1/completions", body, map[string]string{"X-Request-Timeout": timeout})
}

func (f *fleetOfProcesses) post(entry int, path, body string, headers map[string]string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[entry]+path, bytes.NewReader([]byte(body)))
	f.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

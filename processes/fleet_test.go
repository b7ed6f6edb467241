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

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
)

// Names used by the fleets of these tests.
const (
	accountKey = "key-council"
	model      = "drafts"
)

// processFleet is a small fleet of real processes.
type processFleet struct {
	t               *testing.T
	g               *WithT
	dir             string
	configPath      string   // file of the initial configuration
	seeds           []string // peer addresses of the entries
	callerAddresses []string // caller address of each entry
	daemons         map[string]*process
	addresses       map[string]string // listen addresses of the daemons, by name
	relays          map[string]*relay // relays whose addresses daemons advertise instead of their own
	engines         map[string]*process
	engineAddresses map[string]string // by endpoint name
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

func newFleet(t *testing.T) *processFleet {
	f := &processFleet{
		t:               t,
		g:               NewWithT(t),
		dir:             t.TempDir(),
		daemons:         map[string]*process{},
		addresses:       map[string]string{},
		relays:          map[string]*relay{},
		engines:         map[string]*process{},
		engineAddresses: map[string]string{},
	}
	digest := sha256.Sum256([]byte(accountKey))
	f.configPath = f.writeFile("fleet.toml", fmt.Sprintf(configurationText, hex.EncodeToString(digest[:])))
	return f
}

func (f *processFleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	f.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// startDaemon starts one daemon with extraSettings appended to its settings file.
func (f *processFleet) startDaemon(name, duties, extraSettings string) *process {
	address := f.addresses[name]
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

%s`, name, duties, address, advertise, strings.Join(quoted, ", "), f.configPath, extraSettings)
	f.addresses[name] = address
	f.daemons[name] = launch(f.t, "jacinthplankd", "run", f.writeFile(name+".toml", text))
	return f.daemons[name]
}

// startEntry starts an entry.
func (f *processFleet) startEntry(name string) *process {
	callers := freeAddress(f.t)
	p := f.startDaemon(name, `"entry"`, fmt.Sprintf("[entry]\nlisten = %q\nbalancer_delay = \"100ms\"\n", callers))
	f.seeds = append(f.seeds, f.addresses[name])
	f.callerAddresses = append(f.callerAddresses, callers)
	return p
}

// startQuorum starts n entries that replicate the quorum log.
func (f *processFleet) startQuorum(n int) {
	var members []string
	for i := range n {
		name := fmt.Sprintf("entry-%d", i+1)
		f.addresses[name] = freeAddress(f.t)
		f.seeds = append(f.seeds, f.addresses[name])
		members = append(members, fmt.Sprintf("{ name = %q, address = %q }", name, f.addresses[name]))
	}
	for i := range n {
		f.startControlEntry(fmt.Sprintf("entry-%d", i+1), members)
	}
}

func (f *processFleet) startControlEntry(name string, members []string) {
	callers := freeAddress(f.t)
	f.callerAddresses = append(f.callerAddresses, callers)
	f.startDaemon(name, `"entry", "control"`, fmt.Sprintf(`[entry]
listen = %q
balancer_delay = "100ms"

[control]
data_folder = %q
members = [%s]
`, callers, f.dataFolder(name), strings.Join(members, ", ")))
}

func (f *processFleet) dataFolder(name string) string { return filepath.Join(f.dir, name) }

// startRegistryEndpoint starts the endpoint process of the plain service at url.
func (f *processFleet) startRegistryEndpoint(name, url string) *process {
	return f.startDaemon(name, `"endpoint"`, fmt.Sprintf("[endpoint]\nkind = \"registry\"\nservice = \"registry\"\nurl = %q\n", url))
}

// startEndpoint starts an emulated engine and its endpoint process.
func (f *processFleet) startEndpoint(name string, engineFlags ...string) *process {
	f.engineAddresses[name] = freeAddress(f.t)
	flags := append([]string{"--listen", f.engineAddresses[name], "--name", name}, engineFlags...)
	if !slices.Contains(engineFlags, "--models") {
		flags = append(flags, "--models", model)
	}
	f.engines[name] = launch(f.t, "engine-emulator", flags...)
	f.awaitOK("http://" + f.engineAddresses[name] + "/health")
	return f.startDaemon(name, `"endpoint"`, fmt.Sprintf("[endpoint]\nkind = \"emulated\"\nengine = \"http://%s\"\nstall = \"2s\"\n", f.engineAddresses[name]))
}

func (f *processFleet) awaitOK(url string) {
	f.t.Helper()
	f.g.Eventually(func() int { return statusOf(url) }, 15*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK), url)
}

// awaitServing waits until an entry serves a request.
func (f *processFleet) awaitServing(entry int) {
	f.t.Helper()
	f.awaitOK("http://" + f.callerAddresses[entry] + "/readyz")
	f.g.Eventually(func() int {
		status, _ := f.complete(entry, "Dear committee,", 1, "5s")
		return status
	}, 15*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

// complete sends a completion request without streaming and returns the status
// and body of the response. The answer to prompt must not end before maxTokens.
func (f *processFleet) complete(entry int, prompt string, maxTokens int, timeout string) (int, string) {
	f.g.Expect(emulator.AnswerLength(engine.Prompt{Text: prompt}, 0)).To(BeNumerically(">", maxTokens), "natural length of the answer to %q", prompt)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":%q}`, model, maxTokens, prompt)
	return f.post(entry, "/v1/completions", body, map[string]string{"X-Request-Timeout": timeout})
}

func (f *processFleet) post(entry int, path, body string, headers map[string]string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddresses[entry]+path, bytes.NewReader([]byte(body)))
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

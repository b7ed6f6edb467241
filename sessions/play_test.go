package sessions_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"connectrpc.com/connect"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
)

// transcriptHeaders are the response headers included in transcripts.
var transcriptHeaders = []string{"Content-Type", "Retry-After", "X-Request-Id", "X-Should-Retry"}

var createdField = regexp.MustCompile(`"created":\d+`)

// sessionRunner executes the steps of a session and writes its transcript.
type sessionRunner struct {
	fleet      *testFleet
	out        strings.Builder
	background map[string]chan string
}

func runSteps(t *testing.T, f *testFleet, s session) string {
	p := &sessionRunner{fleet: f, background: map[string]chan string{}}
	fmt.Fprintf(&p.out, "# %s\n", s.About)
	for _, step := range s.Steps {
		p.step(t, step)
	}
	return p.out.String()
}

func (p *sessionRunner) step(t *testing.T, s step) {
	switch {
	case s.Send != "" && s.Name != "":
		p.sendInBackground(t, s)
	case s.Send != "":
		fmt.Fprintf(&p.out, "\n> %s\n%s", s.Send, p.send(t, s, nil))
	case s.Await != "":
		fmt.Fprintf(&p.out, "\n> await %s\n%s", s.Await, <-p.background[s.Await])
	case s.Drain != "":
		p.drain(t, s.Drain)
	case s.Stop != "":
		p.stop(s.Stop)
	case s.Check != "":
		p.check(s.Check)
	case s.ReportRuns:
		p.fleet.service.mu.Lock()
		defer p.fleet.service.mu.Unlock()
		fmt.Fprintf(&p.out, "\n> the service ran %d\n", p.fleet.service.runs)
	}
}

// sendInBackground sends a request in the background and returns when the response
// has started.
func (p *sessionRunner) sendInBackground(t *testing.T, s step) {
	answer := make(chan string, 1)
	started := make(chan struct{})
	p.background[s.Name] = answer
	go func() { answer <- p.send(t, s, started) }()
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		t.Errorf("no response started within 10 s for %s", s.Name)
	}
	fmt.Fprintf(&p.out, "\n> %s, in the background as %s\n", s.Send, s.Name)
}

func (p *sessionRunner) send(t *testing.T, s step, started chan<- struct{}) string {
	g := NewWithT(t)
	method, path, _ := strings.Cut(s.Send, " ")
	body := strings.ReplaceAll(s.Body, "FILL", strings.Repeat("word ", s.Fill))
	request, err := http.NewRequest(method, "http://"+p.fleet.entry+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	for name, value := range s.Headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer\n"
	}
	defer response.Body.Close()
	if started != nil {
		close(started)
	}
	return formatResponse(response)
}

// formatResponse formats a response for the transcript and replaces values that
// differ between runs.
func formatResponse(r *http.Response) string {
	var out strings.Builder
	fmt.Fprintf(&out, "< %s\n", r.Status)
	for _, name := range transcriptHeaders {
		if value := r.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "< %s: %s\n", name, value)
		}
	}
	if r.Header.Get("Content-Type") == "text/event-stream" {
		out.WriteString(formatEvents(r.Body))
		return out.String()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		fmt.Fprintf(&out, "the answer broke off: %v\n", err)
	}
	out.Write(createdField.ReplaceAll(bytes.TrimSpace(body), []byte(`"created":TIME`)))
	out.WriteByte('\n')
	return out.String()
}

// formatEvents formats the events of a stream. Consecutive text deltas are joined,
// because their boundaries differ between runs.
func formatEvents(body io.Reader) string {
	var out, text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		delta, hasOther := eventText(data)
		text.WriteString(delta)
		if !hasOther {
			continue
		}
		if text.Len() > 0 {
			fmt.Fprintf(&out, "text: %s\n", text.String())
			text.Reset()
		}
		fmt.Fprintf(&out, "event: %s\n", createdField.ReplaceAllString(data, `"created":TIME`))
	}
	if text.Len() > 0 {
		fmt.Fprintf(&out, "text: %s\n", text.String())
	}
	return out.String()
}

// eventText returns the text of an event and whether it carries other data.
func eventText(data string) (string, bool) {
	var event struct {
		Choices []struct {
			Text         string                   `json:"text"`
			Delta        struct{ Content string } `json:"delta"`
			FinishReason *string                  `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return "", true
	}
	choice := event.Choices[0]
	return choice.Text + choice.Delta.Content, choice.FinishReason != nil
}

func (p *sessionRunner) drain(t *testing.T, name string) {
	address := p.fleet.members[name].daemon.Address()
	client := jacinthplankv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
	_, err := client.Drain(context.Background(), connect.NewRequest(&pb.DrainRequest{}))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&p.out, "\n> drain %s\n", name)
}

// stop starts a graceful shutdown and does not wait for it.
func (p *sessionRunner) stop(name string) {
	p.fleet.members[name].cancel()
	fmt.Fprintf(&p.out, "\n> shut down %s\n", name)
}

func (p *sessionRunner) check(text string) {
	_, err := settings.Parse("jacinthplankd.toml", []byte(text))
	lines := strings.Split(fmt.Sprint(err), "\n")
	sort.Strings(lines)
	fmt.Fprintf(&p.out, "\n> check settings\n%s\n", strings.Join(lines, "\n"))
}

package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// refusalFraming writes a refusal with the given head and body in one of the ways in which a
// response may end.
type refusalFraming struct {
	name  string
	write func(head, body string) string
}

var refusalFramings = []refusalFraming{
	{"length 0", func(head, _ string) string { return head + "Content-Length: 0\n\n" }},
	{"length", func(head, body string) string { return head + "Content-Length: " + itoa(len(body)) + "\n\n" + body }},
	{"chunks", func(head, body string) string {
		return head + "Transfer-Encoding: chunked\n\n" + itoa(len(body)) + "\n" + body + "\n0\n\n"
	}},
	{"no length", func(head, body string) string { return head + "\n" + body }},
	{"close", func(head, body string) string {
		return head + "Connection: close\nContent-Length: " + itoa(len(body)) + "\n\n" + body
	}},
	{"after an informational response", func(head, _ string) string {
		return "HTTP/1.1 103 Early Hints\n\n" + head + "Content-Length: 0\n\n"
	}},
}

// TestRepeatedRefusalAnswersNoOtherCall guards against a call that is reported as not run
// while the endpoint runs it: the endpoint writes an earlier refusal once more on a kept
// connection, with the id of that call, with none, an empty one or two.
func TestRepeatedRefusalAnswersNoOtherCall(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request", "408 Request Timeout"} {
		for _, framing := range refusalFramings {
			for _, ids := range []struct{ name, lines string }{
				{"its own id", "X-Id: first\n"},
				{"no id", ""},
				{"an empty id", "X-Id:\n"},
				{"its own id and that of the call", "X-Id: first\nX-Id: second\n"},
				{"the id of the call and its own", "X-Id: second\nX-Id: first\n"},
			} {
				t.Run(strings.Join([]string{status, framing.name, ids.name}, ", "), func(t *testing.T) {
					g := NewWithT(t)
					refusal := func(ids string) string {
						return framing.write("HTTP/1.1 "+status+"\nX-Refused: 1\n"+ids, "no")
					}
					isFirst := true
					_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
						if isFirst {
							isFirst = false
							return writeResponse(c, "HTTP/1.1 503 Service Unavailable\nX-Refused: 1\nX-Id: first\nContent-Length: 0\n\n")
						}
						writeResponse(c, refusal(ids.lines))
						return writeOK(c, "second", "ran")
					})
					c := NewClient(testDialect{})
					reply, err := get(t, c, target, "first")
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(reply.NotRun).To(BeTrue())
					_, err = reply.ReadAll(maxTestBody)
					g.Expect(err).NotTo(HaveOccurred())
					reply.Close()

					reply, err = get(t, c, target, "second")
					if err != nil {
						g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
						return
					}
					defer reply.Close()
					g.Expect(reply.NotRun).To(BeFalse())
					g.Expect(reply.ReadAll(maxTestBody)).To(BeEquivalentTo("ran"))
				})
			}
		}
	}
}

// TestRefusedRequestIsSentAgainOnAnotherConnection guards against a refusal that is taken for
// the answer to the same request sent again: both have one id, so only another connection
// tells them apart.
func TestRefusedRequestIsSentAgainOnAnotherConnection(t *testing.T) {
	for _, framing := range refusalFramings {
		t.Run(framing.name, func(t *testing.T) {
			g := NewWithT(t)
			refusal := framing.write("HTTP/1.1 503 Service Unavailable\nX-Refused: 1\nX-Id: a\n", "no")
			var refusedOn net.Conn
			e, target := startEndpoint(t, func(n int64, _ *http.Request, c net.Conn) bool {
				if n == 1 {
					refusedOn = c
					return writeResponse(c, "HTTP/1.1 503 Service Unavailable\nX-Refused: 1\nX-Id: a\nContent-Length: 0\n\n")
				}
				if c == refusedOn {
					writeResponse(c, refusal)
				}
				return writeOK(c, "a", "ran")
			})
			c := NewClient(testDialect{})
			reply, err := get(t, c, target, "a")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = reply.ReadAll(maxTestBody)
			g.Expect(err).NotTo(HaveOccurred())
			reply.Close()

			reply, err = get(t, c, target, "a")
			g.Expect(err).NotTo(HaveOccurred())
			defer reply.Close()
			g.Expect(reply.NotRun).To(BeFalse())
			g.Expect(reply.ReadAll(maxTestBody)).To(BeEquivalentTo("ran"))
			g.Expect(e.connections.Load()).To(BeEquivalentTo(2))
		})
	}
}

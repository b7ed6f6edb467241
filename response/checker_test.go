package response

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"
)

const plainHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

var soundResponses = []string{
	plainHead + "\r\nok",
	"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\nuntil the end\r\n",
	"HTTP/1.1 200 \r\nX-Empty:\r\nX-Text: \ta b\t \xe9 \r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + plainHead + "\r\nok" + plainHead + "\r\nno",
	"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n" + plainHead + "\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\nabc\r\nA;name=value\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n",
	"HTTP/1.1 503 Busy\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n" + plainHead + "\r\nok",
	plainHead + "Content-Length: 2\r\n\r\nok",
}

// malformed are bytes that no reader may take for a response, each with what is wrong.
var malformed = map[string]string{
	"status 000":                          "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                          "HTTP/1.1 099 OK\r\n\r\n",
	"status 600":                          "HTTP/1.1 600 OK\r\n\r\n",
	"status 000 before the response":      "HTTP/1.1 000 Wait\r\n\r\n" + plainHead + "\r\nok",
	"status of two digits":                "HTTP/1.1 20 OK\r\n\r\n",
	"status with a sign":                  "HTTP/1.1 +20 OK\r\n\r\n",
	"switch of protocols":                 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	"another version":                     "HTTP/2.0 200 OK\r\n\r\n",
	"version 1.2":                         "HTTP/1.2 200 OK\r\n\r\n",
	"control byte in the reason":          "HTTP/1.1 200 O\x00K\r\n\r\n",
	"blank in a name":                     plainHead + "X Y: 1\r\n\r\nok",
	"blank before the colon":              plainHead + "X : 1\r\n\r\nok",
	"blank before the colon of a length":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"tab in a name":                       plainHead + "X\tY: 1\r\n\r\nok",
	"control byte in a name":              plainHead + "X\x01Y: 1\r\n\r\nok",
	"byte beyond ASCII in a name":         plainHead + "X\xe9: 1\r\n\r\nok",
	"empty name":                          plainHead + ": 1\r\n\r\nok",
	"no colon":                            plainHead + "X\r\n\r\nok",
	"continued line":                      plainHead + "X: 1\r\n 2\r\n\r\nok",
	"control byte in a value":             plainHead + "X: \x00\r\n\r\nok",
	"CR inside a line":                    plainHead + "X: a\rb\r\n\r\nok",
	"LF alone":                            "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"two lengths":                         plainHead + "Content-Length: 3\r\n\r\nok",
	"list of lengths":                     "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
	"length with a sign":                  "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"length and chunks":                   plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"unknown encoding":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"chunks twice":                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks in version 1.0":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"size of a chunk":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
	"size of a chunk with a prefix":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
	"end of a chunk":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
	"blank in a trailer's name":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n",
	"blank before a trailer's colon":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : 1\r\n\r\n",
	"first byte":                          "?",
	"bytes after a response":              plainHead + "\r\nok!",
	"head without end":                    plainHead + strings.Repeat("X: y\r\n", maxHeadBytes/6),
	"line without end":                    plainHead + strings.Repeat("x", maxHeadBytes),
	"informational responses without end": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes/25+1),
	"trailer without end":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes/6+1),
	"line before a chunk without end":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", maxChunkLineBytes),
}

// checkInParts returns what a checker accepts of data that arrives in parts.
func checkInParts(data []byte, size int) (valid []byte, err error) {
	var c checker
	for len(data) > 0 {
		part := data[:min(size, len(data))]
		n, err := c.check(part)
		valid = append(valid, part[:n]...)
		if err != nil {
			return valid, err
		}
		data = data[len(part):]
	}
	return valid, nil
}

func TestSoundResponsesPass(t *testing.T) {
	g := NewWithT(t)
	for _, text := range soundResponses {
		for _, size := range []int{1, 3, len(text)} {
			valid, err := checkInParts([]byte(text), size)
			g.Expect(err).ToNot(HaveOccurred(), text)
			g.Expect(string(valid)).To(Equal(text))
		}
	}
	var c checker
	c.toHEAD = true
	_, err := c.check([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + plainHead + "\r\n"))
	g.Expect(err).ToNot(HaveOccurred(), "responses to HEAD have no body")
}

// TestMalformedResponsesAreRejected guards against bytes that are passed on as a response though
// they are none, whole and byte by byte.
func TestMalformedResponsesAreRejected(t *testing.T) {
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, size := range []int{1, 7, len(text)} {
				_, err := checkInParts([]byte(text), size)
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}

// FuzzChecker guards against a checker that depends on how bytes arrive, and against responses
// that net/http reads from what the checker accepts and that are none.
func FuzzChecker(f *testing.F) {
	for _, text := range soundResponses {
		f.Add([]byte(text), 5)
	}
	for _, text := range malformed {
		f.Add([]byte(text), 5)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		g := NewWithT(t)
		whole, wholeErr := checkInParts(data, max(len(data), 1))
		parts, partsErr := checkInParts(data, max(size, 1))
		g.Expect(partsErr == nil).To(Equal(wholeErr == nil))
		g.Expect(len(parts)).To(BeNumerically(">=", len(whole)), "a line is withheld from its start in the bytes that end it")
		reader := bufio.NewReader(bytes.NewReader(whole))
		for {
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, bodyErr := io.Copy(io.Discard, r.Body)
			g.Expect(r.StatusCode).To(And(BeNumerically(">=", 100), BeNumerically("<", 600), Not(Equal(101))))
			for _, h := range []http.Header{r.Header, r.Trailer} {
				for name, values := range h {
					g.Expect(httpguts.ValidHeaderFieldName(name)).To(BeTrue(), "%q", name)
					for _, v := range values {
						g.Expect(httpguts.ValidHeaderFieldValue(v)).To(BeTrue(), "%q", v)
					}
				}
			}
			if bodyErr != nil {
				return
			}
		}
	})
}

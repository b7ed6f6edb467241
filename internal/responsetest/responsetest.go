// Package responsetest holds servers for tests of clients: what they send is no response, has no
// end, or is cut by a reset.
package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Malformed returns answers that no client may take for a response, by what is wrong with them.
// fields are lines of a head, each with its end, such as an id that the client expects.
func Malformed(fields string) map[string]string {
	const ok, length, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n" + fields + length + "\r\nok",
		"status 000 before the response": "HTTP/1.1 000 Wait\r\n\r\n" + ok + fields + length + "\r\nok",
		"status 999":                     "HTTP/1.1 999 OK\r\n" + fields + length + "\r\nok",
		"blank in a name":                ok + fields + "X Y: 1\r\n" + length + "\r\nok",
		"blank before the colon":         ok + fields + "X : 1\r\n" + length + "\r\nok",
		"blank before a length's colon":  ok + fields + "Content-Length : 1\r\n\r\nok",
		"control byte in a name":         ok + fields + "X\x01Y: 1\r\n" + length + "\r\nok",
		"continued line":                 ok + fields + "X: 1\r\n 2\r\n" + length + "\r\nok",
		"blank in a trailer's name":      ok + fields + chunked + "\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
		"blank before a trailer's colon": ok + fields + chunked + "\r\n2\r\nok\r\n0\r\nX : 1\r\n\r\n",
		"length and chunks":              ok + fields + length + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
	}
}

// Endless returns what a server sends without end, as a start and the part that is repeated.
func Endless(fields string) map[string][2]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string][2]string{
		"no response":       {"", "\x00"},
		"empty lines":       {"", "\r\n"},
		"status line":       {"HTTP/1.1 200 ", "x"},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"header":            {ok + fields + "X-Long: ", "x"},
		"headers":           {ok + fields, "X-Other: y\r\n"},
		"body":              {ok + fields + "\r\n", "x"},
		"failure":           {"HTTP/1.1 500 Failed\r\n" + fields + "\r\n", "x"},
		"chunks":            {ok + fields + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"line of a chunk":   {ok + fields + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":           {ok + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Other: y\r\n"},
		"event":             {ok + fields + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
		"lines of an event": {ok + fields + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
	}
}

// serve accepts connections until the test ends and returns the address.
func serve(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body and reports whether it is whole.
func readRequest(c net.Conn) bool {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// Serve starts a server that sends an answer to the request on each connection.
func Serve(t *testing.T, answer string) (address string) {
	return serve(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if readRequest(c) {
			_, _ = io.WriteString(c, answer) // a client may close before
		}
	})
}

// ServeEndless starts a server that sends a start and then a part without end, until the client
// closes. sent is the number of bytes that it could send.
func ServeEndless(t *testing.T, start, part string) (address string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	chunk := []byte(strings.Repeat(part, max(1, (64<<10)/len(part))))
	address = serve(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		_ = c.SetWriteBuffer(64 << 10) // a larger one only makes the test less strict
		if !readRequest(c) {
			return
		}
		for _, err := io.WriteString(c, start); err == nil; {
			var n int
			n, err = c.Write(chunk)
			sent.Add(int64(n))
		}
	})
	return address, sent
}

// ServeReset starts a server that answers while the request is still being sent, and resets the
// connection after a part of its answer, which states no length.
func ServeReset(t *testing.T, head, part string) (address string) {
	return serve(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		_ = c.SetLinger(0) // Close resets the connection
		r := bufio.NewReaderSize(c, 4<<10)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, head+"\r\n"+part) // the client sees a reset either way
		_, _ = io.CopyN(io.Discard, r, 8<<10)
	})
}

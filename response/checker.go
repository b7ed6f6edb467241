package response

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Limits on what is no body.
const (
	maxHeadBytes      = 64 << 10 // of a head with all informational ones before it, and of a trailer
	maxChunkLineBytes = 4 << 10
)

// protocol begins each response. What begins otherwise is rejected before its line ends.
const protocol = "HTTP/1."

// Errors of bytes that are no response.
var (
	errHeadTooLong   = fmt.Errorf("response head exceeds %d bytes", maxHeadBytes)
	errStatusLine    = errors.New("malformed status line in a response")
	errFieldLine     = errors.New("malformed field line in a response")
	errFraming       = errors.New("response states its length in more than one way or in an unknown one")
	errChunk         = errors.New("malformed chunk in a response")
	errLineEnd       = errors.New("line of a response doesn't end with CRLF")
	errNotUpgradable = errors.New("response switches to a protocol that was not asked for")
)

// part is the part of a response that the next byte belongs to.
type part uint8

const (
	statusLine part = iota
	fieldLine
	fixedBody
	bodyToClose
	chunkLine
	chunkData
	chunkEnd
	trailerLine
)

// checker checks the responses on one connection byte by byte, as RFC 9112 defines them. It
// rejects what net/http tolerates, such as a blank in a field's name, a line that ends with LF
// alone or a status below 100.
type checker struct {
	part part
	line []byte // of the current line, without its end
	head int    // bytes of the current head and the informational ones before it, or of the trailer

	toHEAD   bool // the request was a HEAD, so that the response has no body
	version  byte // minor version
	status   int
	length   int64 // of the body; -1 if it isn't stated
	chunked  bool
	bodyLeft int64 // bytes of the body or of the current chunk that are still to come
}

// check checks the next bytes from the peer. It returns how many of them, from the start, may
// be passed on. After an error the connection holds no response any more.
func (c *checker) check(p []byte) (valid int, err error) {
	for valid < len(p) {
		rest := p[valid:]
		switch c.part {
		case bodyToClose:
			return len(p), nil
		case fixedBody, chunkData:
			n := min(c.bodyLeft, int64(len(rest)))
			valid += int(n)
			c.bodyLeft -= n
			if c.bodyLeft == 0 {
				c.endData()
			}
		default:
			n, err := c.checkLine(rest)
			if err != nil {
				return valid, err
			}
			valid += n
		}
	}
	return valid, nil
}

// endData enters the part that follows a body of known length or the data of a chunk.
func (c *checker) endData() {
	if c.part == chunkData {
		c.part = chunkEnd
		return
	}
	c.endResponse()
}

// checkLine checks the bytes of a line that p begins with, and the whole line once its end has
// come. It returns their number.
func (c *checker) checkLine(p []byte) (int, error) {
	for i, b := range p {
		if err := c.countLineByte(); err != nil {
			return 0, err
		}
		if n := len(c.line); c.part == statusLine && n < len(protocol) && b != protocol[n] {
			return 0, errStatusLine
		}
		if b != '\n' {
			c.line = append(c.line, b)
			continue
		}
		n := len(c.line) - 1
		if n < 0 || c.line[n] != '\r' {
			return 0, errLineEnd
		}
		line := string(c.line[:n])
		c.line = c.line[:0]
		return i + 1, c.endLine(line)
	}
	return len(p), nil
}

// countLineByte limits the bytes of heads, trailers and the lines between chunks.
func (c *checker) countLineByte() error {
	if c.part == chunkLine || c.part == chunkEnd {
		if len(c.line) >= maxChunkLineBytes {
			return errChunk
		}
		return nil
	}
	if c.head++; c.head > maxHeadBytes {
		return errHeadTooLong
	}
	return nil
}

// endLine checks a line without its end and enters the part that follows.
func (c *checker) endLine(line string) error {
	switch c.part {
	case statusLine:
		c.length, c.chunked = -1, false
		c.part = fieldLine
		return c.checkStatus(line)
	case fieldLine:
		if line == "" {
			return c.endHead()
		}
		return c.checkField(line)
	case chunkLine:
		return c.checkChunkSize(line)
	case chunkEnd:
		c.part = chunkLine
		if line != "" {
			return errChunk
		}
		return nil
	default: // trailerLine
		if line == "" {
			c.endResponse()
			return nil
		}
		_, _, err := cutField(line)
		return err
	}
}

// checkStatus checks a status line.
func (c *checker) checkStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if (version != "HTTP/1.0" && version != "HTTP/1.1") || len(code) != 3 || !isDigits(code) || !isText(reason) {
		return errStatusLine
	}
	c.version = version[len(version)-1]
	c.status, _ = strconv.Atoi(code) // three digits
	switch {
	case c.status < 100 || c.status > 599:
		return errStatusLine
	case c.status == http.StatusSwitchingProtocols:
		return errNotUpgradable
	}
	return nil
}

// checkField checks a field line and notes what frames the body.
func (c *checker) checkField(line string) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || !isDigits(value) || (c.length >= 0 && c.length != n) {
			return errFraming
		}
		c.length = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		if c.chunked || !strings.EqualFold(value, "chunked") || c.version == '0' {
			return errFraming
		}
		c.chunked = true
	}
	if c.chunked && c.length >= 0 {
		return errFraming
	}
	return nil
}

// endHead enters the body, or the next response if there is none.
func (c *checker) endHead() error {
	switch {
	case c.status < http.StatusOK:
		c.part = statusLine // the final response follows; its head counts with this one
	case c.toHEAD || c.status == http.StatusNoContent || c.status == http.StatusNotModified || c.length == 0:
		c.endResponse()
	case c.chunked:
		c.part, c.head = chunkLine, 0
	case c.length > 0:
		c.part, c.bodyLeft = fixedBody, c.length
		c.head = 0
	default:
		c.part = bodyToClose
	}
	return nil
}

func (c *checker) endResponse() { c.part, c.head = statusLine, 0 }

// checkChunkSize checks the line before a chunk.
func (c *checker) checkChunkSize(line string) error {
	digits, extension, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 63)
	if err != nil || size > math.MaxInt64 || strings.ContainsAny(digits, "_+xX") || !isText(extension) {
		return errChunk
	}
	c.bodyLeft = int64(size)
	c.part = chunkData
	if size == 0 {
		c.part = trailerLine
	}
	return nil
}

// cutField splits a field line of a head or trailer. The name is a token that the colon follows
// at once; a line that continues the one before it begins with a blank and has none.
func cutField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found || name == "" || !isText(value) {
		return "", "", errFieldLine
	}
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return "", "", errFieldLine
		}
	}
	return name, strings.Trim(value, " \t"), nil
}

func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isText reports whether text holds no control byte but tabs.
func isText(text string) bool {
	for i := range len(text) {
		if b := text[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}

// Package decision writes the daemon's log lines without ever holding up who
// decides: lines go to a bounded queue, a duty writes them out, and what does
// not fit is counted and told.
package decision

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Bounds of the log.
const (
	maxBuffered   = 1 << 20                // bytes that wait to be written
	linesPerS     = 400                    // lines about requests that one process writes; 20,000 requests/s over 840 entries are 24 a second each
	writeInterval = 100 * time.Millisecond // gathers lines into one write
)

var (
	dropped    = metrics.NewCounter("jacinthplank_log_lines_dropped_total")
	suppressed = metrics.NewCounter("jacinthplank_log_request_lines_suppressed_total")
)

// Log is the writer behind the loggers. It is safe for concurrent use.
type Log struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	lost    int
	second  int64
	written int
	held    int // request lines suppressed in this second
}

// New returns a log that Serve writes to out.
func New(out io.Writer) *Log { return &Log{out: out} }

// Logger returns a logger of JSON lines on this log.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer. It never blocks on the output.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer)+len(line) > maxBuffered {
		l.lost++
		dropped.Inc()
		return len(line), nil
	}
	l.buffer = append(l.buffer, line...)
	return len(line), nil
}

// AllowRequestLine reports whether one more line about a request fits into this second.
func (l *Log) AllowRequestLine(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
		if l.held > 0 {
			l.buffer = fmt.Appendf(l.buffer, "{\"level\":\"WARN\",\"msg\":\"request lines suppressed\",\"lines\":%d}\n", l.held)
			l.held = 0
		}
	}
	if l.written >= linesPerS {
		l.held++
		suppressed.Inc()
		return false
	}
	l.written++
	return true
}

// Name implements supervise.Duty.
func (l *Log) Name() string { return "log" }

// Serve implements supervise.Duty.
func (l *Log) Serve(ctx context.Context) error {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return ctx.Err()
		case <-ticker.C:
			l.Flush()
		}
	}
}

// Flush writes what waits.
func (l *Log) Flush() {
	l.mu.Lock()
	data := l.buffer
	l.buffer = nil
	if l.lost > 0 {
		data = fmt.Appendf(data, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", l.lost)
		l.lost = 0
	}
	l.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := l.out.Write(data); err != nil {
		// There is nowhere else to tell it.
		dropped.Inc()
	}
}

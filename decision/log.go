// Package decision writes the daemon's log without blocking the request path: lines
// are appended to a bounded buffer that a background duty flushes. Lines that do not
// fit are dropped, counted and reported.
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

// Limits of the log.
const (
	maxBuffered           = 1 << 20                // bytes that are buffered
	requestLinesPerSecond = 400                    // limit per process; 20,000 requests/s over 840 entries are 24 lines a second each
	writeInterval         = 100 * time.Millisecond // batches lines into one write
)

var (
	dropped    = metrics.NewCounter("jacinthplank_log_lines_dropped_total")
	suppressed = metrics.NewCounter("jacinthplank_log_request_lines_suppressed_total")
)

// Log is the buffered output of the loggers. It is safe for concurrent use.
type Log struct {
	out io.Writer

	mu         sync.Mutex
	buffer     []byte
	dropped    int
	second     int64
	admitted   int
	suppressed int // request lines suppressed since the last report
}

// New returns a log that Serve writes to out.
func New(out io.Writer) *Log { return &Log{out: out} }

// Logger returns a logger that writes JSON lines to the log.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer. It never blocks on the output.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer)+len(line) > maxBuffered {
		l.dropped++
		dropped.Inc()
		return len(line), nil
	}
	l.buffer = append(l.buffer, line...)
	return len(line), nil
}

// AllowRequestLine reports whether another request line is within this second's limit.
func (l *Log) AllowRequestLine(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.admitted = second, 0
		if l.suppressed > 0 {
			l.buffer = fmt.Appendf(l.buffer, "{\"level\":\"WARN\",\"msg\":\"request lines suppressed\",\"lines\":%d}\n", l.suppressed)
			l.suppressed = 0
		}
	}
	if l.admitted >= requestLinesPerSecond {
		l.suppressed++
		suppressed.Inc()
		return false
	}
	l.admitted++
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

// Flush writes the buffered lines.
func (l *Log) Flush() {
	l.mu.Lock()
	data := l.buffer
	l.buffer = nil
	if l.dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", l.dropped)
		l.dropped = 0
	}
	l.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := l.out.Write(data); err != nil {
		// The error can't be logged, as this is the log's own output.
		dropped.Inc()
	}
}

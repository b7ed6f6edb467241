package recovery_test

import (
	"bytes"
	"log/slog"
	"time"
)

// memberLog returns a logger of a member that writes into the model's log, so that a failure shows
// in virtual time which steps of elections and repairs took how long.
func (e *entry) memberLog() *slog.Logger {
	return slog.New(slog.NewTextHandler(memberLogWriter{e.model}, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			switch {
			case a.Key == slog.LevelKey:
				return slog.Attr{}
			case a.Value.Kind() == slog.KindTime:
				return slog.String(a.Key, a.Value.Time().Sub(e.model.begun).Round(time.Millisecond).String())
			}
			return a
		},
	})).With("entry", e.name)
}

// memberLogWriter writes lines into the log of a model.
type memberLogWriter struct{ model *model }

// Write implements io.Writer.
func (w memberLogWriter) Write(line []byte) (int, error) {
	w.model.logf("\n%s", bytes.TrimSpace(line))
	return len(line), nil
}

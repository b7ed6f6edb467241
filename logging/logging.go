// Package logging makes the daemon's logger from its settings.
package logging

import (
	"io"
	"log/slog"
)

// levels by the names that settings use.
var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// New returns a logger that writes to w. The level is debug, info, warn or
// error, the format text or json; an unknown name gives info or text.
func New(w io.Writer, level, format string) *slog.Logger {
	options := &slog.HandlerOptions{Level: levels[level]}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

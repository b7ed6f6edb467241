// Package logging creates the daemon's logger from its settings.
package logging

import (
	"io"
	"log/slog"
)

// levels maps the level names used in settings to slog levels.
var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// New returns a logger that writes to w. The level is debug, info, warn or error,
// and the format text or json; unknown values default to info and text.
func New(w io.Writer, level, format string) *slog.Logger {
	options := &slog.HandlerOptions{Level: levels[level]}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

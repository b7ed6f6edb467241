package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/internal/statefile"
)

// What is known of the ends of endpoints is kept on the disk of an entry that has one: after
// a restart of all entries nobody else remembers it.
const (
	blameFolder        = "blame" // in the data folder, next to the quorum's files
	blameFile          = "known.json"
	blameWriteInterval = 500 * time.Millisecond
	maxBlameBytes      = 8 << 20 // above what the bounds of package blame allow
)

// blameStore is the duty that writes what is known to the disk, which may stall for seconds.
type blameStore struct {
	store  *blame.Store
	folder string
	log    *slog.Logger
}

func newBlameStore(g *Gateway) *blameStore {
	return &blameStore{store: g.blame, folder: filepath.Join(g.settings.DataFolder, blameFolder), log: g.log}
}

// Name implements supervise.Duty.
func (b *blameStore) Name() string { return "blame store" }

// Serve implements supervise.Duty.
func (b *blameStore) Serve(ctx context.Context) error {
	ticker := time.NewTicker(blameWriteInterval)
	defer ticker.Stop()
	written, failing := b.store.Version(), false
	for {
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case <-ticker.C:
		}
		if version := b.store.Version(); version != written {
			err := b.write()
			if (err != nil) != failing {
				b.log.Warn("keeping the ends of endpoints", "step", "gateway.blame", "failing", err != nil, "error", errorText(err))
			}
			if failing = err != nil; !failing {
				written = version
			}
		}
		if ended {
			return ctx.Err()
		}
	}
}

func (b *blameStore) write() error {
	data, err := json.Marshal(b.store.Save(time.Now()))
	if err != nil {
		return err
	}
	return statefile.Write(b.folder, blameFile, data)
}

// restore adds what an earlier process has kept. What can't be read is given up: it only
// shortens the way to a verdict.
func (b *blameStore) restore() {
	data, err := statefile.Read(b.folder, blameFile, maxBlameBytes)
	var saved blame.Saved
	if err == nil && data != nil {
		err = json.Unmarshal(data, &saved)
	}
	if err != nil {
		b.log.Warn("the kept ends of endpoints can't be read", "step", "gateway.blame", "error", err.Error())
		return
	}
	if data == nil {
		return
	}
	b.store.Restore(saved, time.Now())
	b.log.Info("ends of endpoints restored from disk", "step", "gateway.blame", "ends", len(saved.Report.Ends), "verdicts", len(saved.Report.Verdicts))
}

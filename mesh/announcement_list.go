package mesh

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
)

var announcementsRefused = metrics.NewCounter("jacinthplank_mesh_announcements_refused_total")

// maxAnnouncementAge is more than the time for which an entry passes on an announcement.
const maxAnnouncementAge = time.Hour

// announcementList is a list of announcements of which those that can't be decoded are left
// out: one of a faulty writer must not cost the others.
type announcementList []announcement

// UnmarshalJSON implements json.Unmarshaler.
func (l *announcementList) UnmarshalJSON(data []byte) error {
	list, refused, err := decodeList[announcement](data)
	announcementsRefused.Add(refused)
	*l = list
	return err
}

// decodeList decodes the elements of a JSON list that can be decoded and counts the others.
func decodeList[T any](data []byte) (list []T, refused int, err error) {
	if json.Unmarshal(data, &list) == nil {
		return list, 0, nil
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return nil, 0, err
	}
	list = nil
	for _, element := range elements {
		var one T
		if json.Unmarshal(element, &one) != nil {
			refused++
			continue
		}
		list = append(list, one)
	}
	return list, refused, nil
}

// recordsOf returns the announcements that another entry sent now, without those that no
// sound endpoint makes.
func (m *Mesh) recordsOf(all announcementList, from string) []announce.Record {
	now := time.Now()
	records := make([]announce.Record, 0, len(all))
	lines := 0
	for _, a := range all {
		if err := a.validate(); err != nil {
			announcementsRefused.Inc()
			if lines++; lines <= maxLinesPerMessage {
				m.log.Warn("announcement refused", "step", "mesh.announce", "endpoint", shortened(a.ID), "from", from, "error", err.Error())
			}
			continue
		}
		age := max(time.Duration(a.AgeMs)*time.Millisecond, 0)
		records = append(records, announce.Record{Endpoint: a.Endpoint, At: now.Add(-age)})
	}
	return records
}

func (a *announcement) validate() error {
	if a.AgeMs > maxAnnouncementAge.Milliseconds() {
		return fmt.Errorf("announcement is %d ms old", a.AgeMs)
	}
	return a.Validate()
}

// shortened returns the start of a text from another writer for a log line.
func shortened(text string) string {
	const limit = 64
	return text[:min(len(text), limit)]
}

package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
)

// BenchmarkRecordEnd records ends during an incident: one cause, 16 requests on each
// endpoint, parts that a tenth of the requests share.
func BenchmarkRecordEnd(b *testing.B) {
	s := NewStore()
	for n := range b.N {
		keys := []Key{bad}
		for i := range 16 {
			keys = append(keys, Key(fmt.Sprint("part shared ", (n+i*7)%160)), Key(fmt.Sprint("part ", n, "-", i)))
		}
		now := at(float64(n) / 5)
		s.RecordEnd(announce.Run{ID: fmt.Sprint(n)}, keys, now.Add(-time.Second), now, now)
	}
}

package mesh

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
)

// Members of the quorum as the leader sees them; 0 on the other entries.
var (
	quorumVoters   = metrics.NewGauge("jacinthplank_mesh_quorum_voters", nil)
	quorumLearners = metrics.NewGauge("jacinthplank_mesh_quorum_learners", nil)
	quorumSilent   = metrics.NewGauge("jacinthplank_mesh_quorum_members_silent", nil)
)

// memberObserver reports members of the quorum that don't reply to this leader.
type memberObserver struct {
	manager *quorumManager
	silent  map[quorum.DiskIdentity]bool
}

// observe updates the gauges and logs each member that has become silent or replies again.
func (o *memberObserver) observe(s quorum.Status, view map[string]recovery.Disk) {
	silent := map[quorum.DiskIdentity]bool{}
	for _, m := range (quorum.Configuration{Voters: s.Voters, Learners: s.Learners}).Members() {
		silence := s.Progress[m.Disk].Silence
		if silence > recovery.GoneTimeout {
			silent[m.Disk] = true
		}
		if silent[m.Disk] == o.silent[m.Disk] {
			continue
		}
		_, known := view[m.Name]
		o.manager.log.Warn("quorum member", "step", "mesh.silent", "member", m.Name, "disk", m.Disk,
			"silent", silent[m.Disk], "silence_ms", silence.Round(time.Millisecond).Milliseconds(), "entry_known", known)
	}
	o.silent = silent
	quorumVoters.Set(float64(len(s.Voters)))
	quorumLearners.Set(float64(len(s.Learners)))
	quorumSilent.Set(float64(len(silent)))
}

// reset clears the gauges on an entry that doesn't lead.
func (o *memberObserver) reset() {
	o.silent = nil
	quorumVoters.Set(0)
	quorumLearners.Set(0)
	quorumSilent.Set(0)
}

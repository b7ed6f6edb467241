package distribution

import (
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	jacinthplankv1 "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

func decodeVersion(v *jacinthplankv1.Version) fleet.Version {
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

func encodeVersion(v fleet.Version) *jacinthplankv1.Version {
	return &jacinthplankv1.Version{Epoch: v.Epoch, Revision: v.Revision}
}

func encodeUpdate(u revision.Update) *jacinthplankv1.ConfigurationResponse {
	r := &jacinthplankv1.ConfigurationResponse{
		Version: encodeVersion(fleet.Version(u.Version)), Snapshot: u.Document, Digest: u.Digest,
	}
	for _, d := range u.Deltas {
		r.Deltas = append(r.Deltas, &jacinthplankv1.ConfigurationDelta{
			Version: encodeVersion(fleet.Version(d.Version)), Patch: d.Patch,
		})
	}
	return r
}

func decodeUpdate(r *jacinthplankv1.ConfigurationResponse) revision.Update {
	u := revision.Update{
		Version: revision.Version(decodeVersion(r.GetVersion())), Document: r.GetSnapshot(), Digest: r.GetDigest(),
	}
	for _, d := range r.GetDeltas() {
		u.Deltas = append(u.Deltas, revision.Delta{Version: revision.Version(decodeVersion(d.GetVersion())), Patch: d.GetPatch()})
	}
	return u
}

package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// pollPause is the time between two looks at the whole fleet.
const pollPause = 250 * time.Millisecond

// waitInForce waits until every daemon has the revision in force, and names
// those that have not when the wait is over.
func (a *acceptance) waitInForce(ctx context.Context, v revision.Version) error {
	wanted := fleet.Version(v)
	start := time.Now()
	for {
		reports, err := a.client.statuses(ctx)
		if err == nil {
			behind := behindOf(reports, wanted)
			if len(behind) == 0 {
				fmt.Fprintf(a.terminal.Out, "Revision %s is in force on all %d daemons.\n", v, len(reports))
				return nil
			}
			if time.Since(start) > a.command.Wait {
				return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone, but after %s it is not in force on %d of %d daemons:\n  %s",
					v, a.command.Wait, len(behind), len(reports), strings.Join(behind, "\n  "))
			}
		} else if time.Since(start) > a.command.Wait {
			return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone. Where it is in force is not known: %w", v, err)
		}
		if err := sleep(ctx, pollPause); err != nil {
			return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone. The wait was broken off", v)
		}
	}
}

// behindOf names the daemons that lack a revision, and what they have.
func behindOf(reports []report, wanted fleet.Version) []string {
	var behind []string
	for _, r := range reports {
		if r.err != nil {
			behind = append(behind, fmt.Sprintf("%s (%s): cannot be reached", r.name, r.failureDomain))
			continue
		}
		if has := versionOf(r.status.GetVersion()); has.Less(wanted) {
			behind = append(behind, fmt.Sprintf("%s (%s): has %s", r.name, r.failureDomain, writeVersion(has)))
		}
	}
	return behind
}

func versionOf(v *pb.Version) fleet.Version {
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

func writeVersion(v fleet.Version) string { return revision.Version(v).String() }

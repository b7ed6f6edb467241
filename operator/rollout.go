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

// pollInterval is the interval between status polls of the daemons that are behind.
const pollInterval = 250 * time.Millisecond

// waitInForce waits until every daemon has the revision in force. On a timeout, the
// error lists the daemons that do not.
func (a *acceptRun) waitInForce(ctx context.Context, v revision.Version) error {
	deadline := time.Now().Add(a.command.Wait)
	members, err := a.client.daemons(ctx)
	if err != nil {
		return exitWith(ExitIncomplete, "Revision %s is accepted and will not be undone. It is unknown on which daemons it is in force: %w", v, err)
	}
	total := len(members)
	for {
		behind := daemonsBehind(a.client.queryStatuses(ctx, members), fleet.Version(v))
		if len(behind) == 0 {
			fmt.Fprintf(a.terminal.Out, "Revision %s is in force on all %d daemons.\n", v, total)
			return nil
		}
		if time.Now().After(deadline) {
			return exitWith(ExitIncomplete, "Revision %s is accepted and will not be undone, but after %s it is not in force on %d of %d daemons:\n  %s",
				v, a.command.Wait, len(behind), total, strings.Join(describeBehind(behind), "\n  "))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return exitWith(ExitIncomplete, "Revision %s is accepted and will not be undone. The wait was interrupted", v)
		}
		members = membersOf(behind)
	}
}

// daemonsBehind returns the reports of daemons that have an older revision than wanted
// or did not answer.
func daemonsBehind(reports []statusReport, wanted fleet.Version) []statusReport {
	var behind []statusReport
	for _, r := range reports {
		if r.err != nil || versionFromProto(r.status.GetVersion()).Less(wanted) {
			behind = append(behind, r)
		}
	}
	return behind
}

func describeBehind(behind []statusReport) []string {
	var out []string
	for _, r := range behind {
		status := "cannot be reached"
		if r.err == nil {
			status = "has " + formatVersion(versionFromProto(r.status.GetVersion()))
		}
		out = append(out, fmt.Sprintf("%s (%s): %s", r.name, r.failureDomain, status))
	}
	return out
}

func membersOf(reports []statusReport) []member {
	members := make([]member, len(reports))
	for i, r := range reports {
		members[i] = r.member
	}
	return members
}

func versionFromProto(v *pb.Version) fleet.Version {
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

func formatVersion(v fleet.Version) string { return revision.Version(v).String() }

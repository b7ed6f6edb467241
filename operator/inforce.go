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

// pollPause is the time between two looks at the daemons that are behind.
const pollPause = 250 * time.Millisecond

// waitInForce waits until every daemon has the revision in force, and names
// those that have not when the wait is over.
func (a *acceptance) waitInForce(ctx context.Context, v revision.Version) error {
	end := time.Now().Add(a.command.Wait)
	members, err := a.client.daemons(ctx)
	if err != nil {
		return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone. Where it is in force is not known: %w", v, err)
	}
	all := len(members)
	for {
		behind := behindOf(a.client.ask(ctx, members), fleet.Version(v))
		if len(behind) == 0 {
			fmt.Fprintf(a.terminal.Out, "Revision %s is in force on all %d daemons.\n", v, all)
			return nil
		}
		if time.Now().After(end) {
			return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone, but after %s it is not in force on %d of %d daemons:\n  %s",
				v, a.command.Wait, len(behind), all, strings.Join(lines(behind), "\n  "))
		}
		if err := sleep(ctx, pollPause); err != nil {
			return exitWith(ExitNotYet, "Revision %s is accepted and will not be undone. The wait was broken off", v)
		}
		members = membersOf(behind)
	}
}

// behindOf returns the reports of daemons that lack a revision, or give no
// answer.
func behindOf(reports []report, wanted fleet.Version) []report {
	var behind []report
	for _, r := range reports {
		if r.err != nil || versionOf(r.status.GetVersion()).Less(wanted) {
			behind = append(behind, r)
		}
	}
	return behind
}

func lines(behind []report) []string {
	var out []string
	for _, r := range behind {
		what := "cannot be reached"
		if r.err == nil {
			what = "has " + writeVersion(versionOf(r.status.GetVersion()))
		}
		out = append(out, fmt.Sprintf("%s (%s): %s", r.name, r.failureDomain, what))
	}
	return out
}

func membersOf(reports []report) []member {
	members := make([]member, len(reports))
	for i, r := range reports {
		members[i] = r.member
	}
	return members
}

func versionOf(v *pb.Version) fleet.Version {
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

func writeVersion(v fleet.Version) string { return revision.Version(v).String() }

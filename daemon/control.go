package daemon

import (
	"net/http"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// controlDuty holds the quorum log.
type controlDuty struct{}

func (d *Daemon) provisionControl() error { return nil }

func (c *controlDuty) duties() []supervise.Duty { return nil }

func (c *controlDuty) register(*http.ServeMux) {}

func (c *controlDuty) status() *pb.QuorumStatus { return nil }

package endpoint

import "fmt"

// queueDetail returns the detail of the timeline event of an attempt that was
// just queued: how many attempts are queued before it and running. It is empty
// when there are none. The caller holds a.mu.
func (a *Agent) queueDetail() string {
	queued, running := a.queue.Queued()-1, a.queue.Running()
	if queued == 0 && running == 0 {
		return ""
	}
	return fmt.Sprintf("with %d waiting and %d running", queued, running)
}

package endpoint

import "fmt"

// ahead tells for the time line what an attempt that was just queued has before
// it. It is empty when there is nothing. a.mu is held.
func (a *Agent) ahead() string {
	waiting, running := a.queue.Queued()-1, a.queue.Running()
	if waiting == 0 && running == 0 {
		return ""
	}
	return fmt.Sprintf("with %d waiting and %d running", waiting, running)
}

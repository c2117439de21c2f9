package entry

import "github.com/balsamlock/balsamlock/crew"

// View returns the instance's view of the members.
func (i *Instance) View() *crew.View { return i.members.View() }

// Waiting returns the number of requests in the fair queue.
func (i *Instance) Waiting() int { return i.queue.Waiting() }

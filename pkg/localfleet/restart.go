package localfleet

import (
	"github.com/juju/errors"
)

// KillAgent ends a target's agent as a crash does and waits for its end. The
// target itself goes on.
func (f *Fleet) KillAgent(target *Target) {
	target.Agent.Daemon.Kill()
	<-target.Agent.ended
	target.Agent = nil
}

// StopAgent stops a target's agent as planned.
func (f *Fleet) StopAgent(target *Target) error {
	err := target.Agent.Stop()
	target.Agent = nil
	return errors.Trace(err)
}

// RestartAgent stops the agent of target number i gracefully and starts it
// again at the same address. At most one call for a target runs at a time.
func (f *Fleet) RestartAgent(i int) error {
	if err := f.StopAgent(f.Targets[i]); err != nil {
		return errors.Trace(err)
	}
	return f.StartAgent(f.Targets[i])
}

// RestartRouter starts another router in the place of router number i at a new
// address, once the old one has stopped gracefully. At most one call runs at a
// time.
func (f *Fleet) RestartRouter(i int) error {
	if err := f.Routers[i].Stop(); err != nil {
		return errors.Trace(err)
	}
	if err := f.AddRouter(i); err != nil {
		return errors.Trace(err)
	}
	last := len(f.Routers) - 1
	f.Routers[i] = f.Routers[last]
	f.Routers = f.Routers[:last]
	return nil
}

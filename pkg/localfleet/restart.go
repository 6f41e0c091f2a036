package localfleet

import (
	"github.com/juju/errors"
)

// KillAgent simulates a crash of a target's agent and waits until its process
// has ended. The target itself keeps running.
func (f *Fleet) KillAgent(target *Target) {
	target.Agent.Daemon.Kill()
	<-target.Agent.done
	target.Agent = nil
}

// StopAgent stops a target's agent gracefully.
func (f *Fleet) StopAgent(target *Target) error {
	err := target.Agent.Stop()
	target.Agent = nil
	return errors.Trace(err)
}

// RestartAgent stops the agent of Targets[index] gracefully and starts it again
// at the same address. It must not be called concurrently for the same target.
func (f *Fleet) RestartAgent(index int) error {
	if err := f.StopAgent(f.Targets[index]); err != nil {
		return errors.Trace(err)
	}
	return f.StartAgent(f.Targets[index])
}

// RestartRouter stops Routers[index] gracefully and replaces it with a new
// router at a new address. It must not be called concurrently.
func (f *Fleet) RestartRouter(index int) error {
	if err := f.Routers[index].Stop(); err != nil {
		return errors.Trace(err)
	}
	if err := f.AddRouter(index); err != nil {
		return errors.Trace(err)
	}
	last := len(f.Routers) - 1
	f.Routers[index] = f.Routers[last]
	f.Routers = f.Routers[:last]
	return nil
}

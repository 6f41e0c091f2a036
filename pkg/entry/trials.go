package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

// requestTrial requests a trial of a suspect, unless one is requested already.
func (k *quarantineKeeper) requestTrial(suspect quarantine.Suspect) {
	select {
	case k.refusedSuspects <- suspect:
	default:
	}
}

// beginTrial lets this process send one request with a quarantined suspect to a target. The
// trial has to be in the store first, so that no two processes begin the same one: the write
// fails if the store holds a trial that this process doesn't know.
func (k *quarantineKeeper) beginTrial(ctx context.Context, suspect quarantine.Suspect) {
	k.trialCount++
	id := fmt.Sprintf("%s-%d", k.entry.bootID, k.trialCount)
	_, revision := k.storedRecords()
	trial, records, due := k.table.ProposeTrial(time.Now(), suspect, id)
	if !due {
		return
	}
	err := k.writeRecords(ctx, records, revision)
	switch {
	case err == nil:
		k.table.AddTrial(suspect, trial)
		k.table.Grant(time.Now(), suspect, trial)
		k.entry.log.Log(eventlog.TrialBegun, "fingerprint", suspect.Request, "part", suspect.Part, "trial", id)
		return
	case errors.Is(err, kv.ErrConflict):
		err = k.read(ctx)
	default:
		// The write may have taken effect.
		trial.Unused = true
		k.table.AddTrial(suspect, trial)
	}
	if err != nil && ctx.Err() == nil {
		k.entry.log.Log(eventlog.DutyFailed, "duty", "quarantine", "err", errors.Annotate(err, "writing a trial"))
	}
}

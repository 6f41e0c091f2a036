package cli

import (
	"bytes"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

func waitFlag() *cli.DurationFlag {
	return &cli.DurationFlag{Name: waitOption, Usage: "wait at most `TIME` until the named routers have it in force"}
}

// rollReport is the JSON output of bundle roll.
type rollReport struct {
	// Outcome is rollPublished, rollAlreadyPublished or rollSuperseded.
	Outcome string `json:"outcome"`
	envelopeReport
	// ConcurrentChanges lists the changes published since the version that the
	// envelope is based on. It is set only if the roll is superseded and that
	// version is still retained.
	ConcurrentChanges *diffReport    `json:"meanwhile,omitempty"`
	RouterBundles     []routerBundle `json:"in_force,omitempty"`
}

// Outcomes of bundle roll.
const (
	rollPublished        = "published"
	rollAlreadyPublished = "already_published"
	rollSuperseded       = "superseded"
)

// rollEnvelope publishes an approved envelope after confirmation. Repeating it
// after a failure is safe.
func rollEnvelope(c *cli.Context) error {
	args, err := positionalArguments(c, "ENVELOPE")
	if err != nil {
		return err
	}
	signed, proposed, err := readVerifiedEnvelope(c, args[0])
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	defer store.Close()
	published, err := readPublished(c, store)
	if err != nil {
		return err
	}
	current, err := published.Bundle()
	if err != nil {
		return errors.Trace(err)
	}
	if published.Signed != nil && bytes.Equal(published.Signed.Bundle, signed.Bundle) {
		return completeEarlierRoll(c, store, published, proposed)
	}
	if proposed.Version != current.Version+1 {
		return reportSuperseded(c, store, published, proposed)
	}
	report, err := newDiffReport(current, proposed)
	if err != nil {
		return err
	}
	question := fmt.Sprintf("Roll version %d over the whole fleet? It can't be taken back, only followed by a newer version", proposed.Version)
	if err := confirm(c, report.text(), question); err != nil {
		return err
	}
	if err := publishEnvelope(c, store, published, signed, proposed); err != nil {
		return err
	}
	return reportRoll(c, rollPublished, signed, proposed)
}

// readVerifiedEnvelope reads an envelope and verifies its signature and
// approvals against the trusted keys.
func readVerifiedEnvelope(c *cli.Context, path string) (bundle.Signed, bundle.Bundle, error) {
	trust, err := loadTrustPolicy(c)
	if err != nil {
		return bundle.Signed{}, bundle.Bundle{}, err
	}
	signed, proposed, err := readEnvelope(c, path)
	if err != nil {
		return signed, proposed, err
	}
	if _, problems := signed.Verify(trust); len(problems) > 0 {
		return signed, proposed, reportProblems(c, path, problems)
	}
	return signed, proposed, nil
}

// publishEnvelope publishes an envelope. The exit code of its error depends on
// the cause of the failure.
func publishEnvelope(c *cli.Context, store kv.Store, previous bundlesync.Published, signed bundle.Signed, proposed bundle.Bundle) error {
	err := bundlesync.Publish(c.Context, store, previous, signed)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bundlesync.ErrUnfinished):
		return cli.Exit(fmt.Sprintf("version %d is published; the copy for processes that start isn't written yet, "+
			"since the key-value service stopped answering: repeat the command to finish", proposed.Version), ExitUnfinished)
	case errors.Is(err, bundlesync.ErrSuperseded):
		published, readErr := readPublished(c, store)
		if readErr != nil {
			return readErr
		}
		return reportSuperseded(c, store, published, proposed)
	case isUnavailable(err):
		return cli.Exit(fmt.Sprintf("the key-value service stopped answering: whether version %d is published isn't known; "+
			"repeat the command, which is safe", proposed.Version), ExitUnfinished)
	default:
		return errors.Trace(err)
	}
}

// completeEarlierRoll completes an earlier roll of the same bundle, which may
// have failed after publishing the bundle, and reports the bundle as published.
func completeEarlierRoll(c *cli.Context, store kv.Store, published bundlesync.Published, proposed bundle.Bundle) error {
	if err := bundlesync.CompletePublish(c.Context, store, published); err != nil {
		return errors.Annotate(err, "finishing an earlier roll")
	}
	return reportRoll(c, rollAlreadyPublished, *published.Signed, proposed)
}

// reportRoll reports a published version after waiting for the routers named on
// the command line.
func reportRoll(c *cli.Context, outcome string, signed bundle.Signed, proposed bundle.Bundle) error {
	report := rollReport{Outcome: outcome, envelopeReport: newEnvelopeReport("", proposed.Version, signed)}
	routerBundles, waitErr := waitForRouters(c, proposed.Version)
	report.RouterBundles = routerBundles
	text := "published " + report.text()
	if outcome == rollAlreadyPublished {
		text = "published already: " + report.text()
	}
	if len(routerBundles) > 0 {
		text += formatRouterBundles(routerBundles)
	}
	if err := printResult(c, report, text); err != nil {
		return err
	}
	return waitErr
}

// routerPollInterval is the interval between status queries to the routers.
const routerPollInterval = 200 * time.Millisecond

// waitForRouters waits until a version is active on the routers named on the
// command line, and prints the number of such routers on standard error
// whenever it changes. Without --wait it queries the routers once.
func waitForRouters(c *cli.Context, version uint64) ([]routerBundle, error) {
	addresses := c.StringSlice(routerOption)
	if len(addresses) == 0 {
		return nil, nil
	}
	deadline := time.Now().Add(c.Duration(waitOption))
	lastPrinted := -1
	for {
		routerBundles, err := queryRouters(c.Context, addresses)
		if err != nil {
			return nil, err
		}
		updated := 0
		for _, state := range routerBundles {
			if state.Version >= version {
				updated++
			}
		}
		if updated != lastPrinted {
			lastPrinted = updated
			_, _ = fmt.Fprintf(c.App.ErrWriter, "version %d in force at %d of %d routers\n", version, updated, len(routerBundles))
		}
		if updated == len(routerBundles) || c.Duration(waitOption) == 0 {
			return routerBundles, nil
		}
		if time.Now().After(deadline) || !clock.Sleep(c.Context, routerPollInterval) {
			return routerBundles, cli.Exit(fmt.Sprintf("version %d is published, and in force at %d of %d routers after %v",
				version, updated, len(routerBundles), c.Duration(waitOption)), ExitUnfinished)
		}
	}
}

// reportSuperseded reports an envelope whose version isn't the next one after
// the published version. The report includes the changes published since the
// version that the envelope is based on.
func reportSuperseded(c *cli.Context, store kv.Store, published bundlesync.Published, proposed bundle.Bundle) error {
	current, err := published.Bundle()
	if err != nil {
		return errors.Trace(err)
	}
	if proposed.Version > current.Version+1 {
		return usageError{errors.Errorf("version %d is published, so that the next one is %d, not %d: start from baobab bundle init --platform",
			current.Version, current.Version+1, proposed.Version)}
	}
	report := rollReport{
		Outcome:        rollSuperseded,
		envelopeReport: newEnvelopeReport("", current.Version, *published.Signed),
	}
	text := fmt.Sprintf("version %d by %s was published first; yours, version %d, is not published\n",
		current.Version, published.Signed.KeyID, proposed.Version)
	base, found, err := findVersion(c, store, published, proposed.Version-1)
	if err != nil {
		return err
	}
	if found {
		concurrentChanges, err := newDiffReport(base, current)
		if err != nil {
			return err
		}
		report.ConcurrentChanges = &concurrentChanges
		text += "changed meanwhile, " + concurrentChanges.text()
	} else {
		text += "the version that yours is based on is no longer kept: see baobab bundle diff\n"
	}
	text += "to go on: baobab bundle init --platform writes a draft of the published version; make your changes there\n"
	if err := printResult(c, report, text); err != nil {
		return err
	}
	return cli.Exit(fmt.Sprintf("version %d was published first", current.Version), ExitSuperseded)
}

// findVersion returns the bundle of a retained version and true, or false if
// the version is not retained. Version 0 is the empty bundle.
func findVersion(c *cli.Context, store kv.Store, published bundlesync.Published, version uint64) (bundle.Bundle, bool, error) {
	if version == 0 {
		return bundle.Bundle{}, true, nil
	}
	history, err := bundlesync.History(c.Context, store, published)
	if isUnavailable(err) {
		return bundle.Bundle{}, false, newUnavailableError(c)
	}
	if err != nil {
		return bundle.Bundle{}, false, errors.Trace(err)
	}
	for _, retained := range history {
		if retained.Bundle.Version == version {
			return retained.Bundle, true, nil
		}
	}
	return bundle.Bundle{}, false, nil
}

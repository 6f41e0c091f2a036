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

// rollReport is the JSON form of a roll's end.
type rollReport struct {
	// Outcome is published, already_published or superseded.
	Outcome string `json:"outcome"`
	envelopeReport
	// Meanwhile is what another operator changed; superseded only.
	Meanwhile *changeReport `json:"meanwhile,omitempty"`
	InForce   []inForce     `json:"in_force,omitempty"`
}

// Outcomes of a roll.
const (
	rollPublished  = "published"
	rollAlready    = "already_published"
	rollSuperseded = "superseded"
)

func rollEnvelope(c *cli.Context) error {
	args, err := arguments(c, "ENVELOPE")
	if err != nil {
		return err
	}
	signed, offered, err := readVerified(c, args[0])
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
		return alreadyPublished(c, store, published, offered)
	}
	if offered.Version != current.Version+1 {
		return superseded(c, store, published, offered)
	}
	report, err := newChangeReport(current, offered)
	if err != nil {
		return err
	}
	question := fmt.Sprintf("Roll version %d over the whole fleet? It can't be taken back, only followed by a newer version", offered.Version)
	if err := confirm(c, report.text(), question); err != nil {
		return err
	}
	if err := publish(c, store, published, signed, offered); err != nil {
		return err
	}
	return rolled(c, rollPublished, signed, offered)
}

// readVerified reads an envelope whose signature and approvals are by trusted
// keys.
func readVerified(c *cli.Context, path string) (bundle.Signed, bundle.Bundle, error) {
	trust, err := loadTrust(c)
	if err != nil {
		return bundle.Signed{}, bundle.Bundle{}, err
	}
	signed, offered, err := readEnvelope(c, path)
	if err != nil {
		return signed, offered, err
	}
	if _, problems := signed.Verify(trust); len(problems) > 0 {
		return signed, offered, refuse(c, path, problems)
	}
	return signed, offered, nil
}

func publish(c *cli.Context, store kv.Store, before bundlesync.Published, signed bundle.Signed, offered bundle.Bundle) error {
	err := bundlesync.Publish(c.Context, store, before, signed)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bundlesync.ErrUnfinished):
		return cli.Exit(fmt.Sprintf("version %d is published; the copy for processes that start isn't written yet, "+
			"since the key-value service stopped answering: repeat the command to finish", offered.Version), ExitUnfinished)
	case errors.Is(err, bundlesync.ErrSuperseded):
		published, readErr := readPublished(c, store)
		if readErr != nil {
			return readErr
		}
		return superseded(c, store, published, offered)
	case isUnavailable(err):
		return cli.Exit(fmt.Sprintf("the key-value service stopped answering: whether version %d is published isn't known; "+
			"repeat the command, which is safe", offered.Version), ExitUnfinished)
	default:
		return errors.Trace(err)
	}
}

func alreadyPublished(c *cli.Context, store kv.Store, published bundlesync.Published, offered bundle.Bundle) error {
	if err := bundlesync.CompletePublish(c.Context, store, published); err != nil {
		return errors.Annotate(err, "finishing an earlier roll")
	}
	return rolled(c, rollAlready, *published.Signed, offered)
}

// rolled reports a published version, after a wait for the named routers.
func rolled(c *cli.Context, outcome string, signed bundle.Signed, offered bundle.Bundle) error {
	report := rollReport{Outcome: outcome, envelopeReport: newEnvelopeReport("", offered.Version, signed)}
	answers, waitErr := awaitRouters(c, offered.Version)
	report.InForce = answers
	text := "published " + report.text()
	if outcome == rollAlready {
		text = "published already: " + report.text()
	}
	if len(answers) > 0 {
		text += inForceText(answers)
	}
	if err := show(c, report, text); err != nil {
		return err
	}
	return waitErr
}

// routerPoll is the time between two looks at routers that lag.
const routerPoll = 200 * time.Millisecond

// awaitRouters waits until the named routers have a version in force, and shows
// on standard error how many have.
func awaitRouters(c *cli.Context, version uint64) ([]inForce, error) {
	addresses := c.StringSlice(routerOption)
	if len(addresses) == 0 {
		return nil, nil
	}
	deadline := time.Now().Add(c.Duration(waitOption))
	shown := -1
	for {
		answers, err := askRouters(c.Context, addresses)
		if err != nil {
			return nil, err
		}
		have := 0
		for _, answer := range answers {
			if answer.Version >= version {
				have++
			}
		}
		if have != shown {
			shown = have
			_, _ = fmt.Fprintf(c.App.ErrWriter, "version %d in force at %d of %d routers\n", version, have, len(answers))
		}
		if have == len(answers) || c.Duration(waitOption) == 0 {
			return answers, nil
		}
		if time.Now().After(deadline) || !clock.Sleep(c.Context, routerPoll) {
			return answers, cli.Exit(fmt.Sprintf("version %d is published, and in force at %d of %d routers after %v",
				version, have, len(answers), c.Duration(waitOption)), ExitUnfinished)
		}
	}
}

// superseded tells an operator whose envelope doesn't follow the published
// version what others changed since the version that it is based on.
func superseded(c *cli.Context, store kv.Store, published bundlesync.Published, offered bundle.Bundle) error {
	current, err := published.Bundle()
	if err != nil {
		return errors.Trace(err)
	}
	if offered.Version > current.Version+1 {
		return usageError{errors.Errorf("version %d is published, so that the next one is %d, not %d: start from baobab bundle init --platform",
			current.Version, current.Version+1, offered.Version)}
	}
	report := rollReport{
		Outcome:        rollSuperseded,
		envelopeReport: newEnvelopeReport("", current.Version, *published.Signed),
	}
	text := fmt.Sprintf("version %d by %s was published first; yours, version %d, is not published\n",
		current.Version, published.Signed.KeyID, offered.Version)
	base, found, err := versionOf(c, store, published, offered.Version-1)
	if err != nil {
		return err
	}
	if found {
		meanwhile, err := newChangeReport(base, current)
		if err != nil {
			return err
		}
		report.Meanwhile = &meanwhile
		text += "changed meanwhile, " + meanwhile.text()
	} else {
		text += "the version that yours is based on is no longer kept: see baobab bundle diff\n"
	}
	text += "to go on: baobab bundle init --platform writes a draft of the published version; make your changes there\n"
	if err := show(c, report, text); err != nil {
		return err
	}
	return cli.Exit(fmt.Sprintf("version %d was published first", current.Version), ExitSuperseded)
}

// versionOf returns the content of a kept version; version 0 is the empty bundle.
func versionOf(c *cli.Context, store kv.Store, published bundlesync.Published, version uint64) (bundle.Bundle, bool, error) {
	if version == 0 {
		return bundle.Bundle{}, true, nil
	}
	versions, err := bundlesync.History(c.Context, store, published)
	if isUnavailable(err) {
		return bundle.Bundle{}, false, unavailable(c)
	}
	if err != nil {
		return bundle.Bundle{}, false, errors.Trace(err)
	}
	for _, kept := range versions {
		if kept.Bundle.Version == version {
			return kept.Bundle, true, nil
		}
	}
	return bundle.Bundle{}, false, nil
}

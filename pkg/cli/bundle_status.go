package cli

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// withdrawVersion signs the content of an earlier version as the next one.
func withdrawVersion(c *cli.Context) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	key, err := loadKey(c.String(keyOption))
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
	wanted := c.Uint64("to")
	if wanted == 0 || wanted >= current.Version {
		return usageError{errors.Errorf("--to %d: want a version before the published one, %d", wanted, current.Version)}
	}
	earlier, found, err := versionOf(c, store, published, wanted)
	if err != nil {
		return err
	}
	if !found {
		return usageError{errors.Errorf("--to %d: that version isn't kept; see baobab bundle history", wanted)}
	}
	earlier.Version = current.Version + 1
	changes, err := newChangeReport(current, earlier)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(c.App.ErrWriter, changes.text())
	warnOfKeys(c, changes)
	return signTo(c, earlier, key)
}

// warnOfKeys names the API keys that a withdrawal would make valid again.
func warnOfKeys(c *cli.Context, changes changeReport) {
	for _, change := range changes.Changes {
		if change.After != "" && strings.HasSuffix(change.Path, "].hash") {
			_, _ = fmt.Fprintf(c.App.ErrWriter, "warning: this brings back a key that was withdrawn since: %s\n",
				strings.TrimSuffix(change.Path, ".hash"))
		}
	}
}

// bundleStatusReport is the JSON form of the bundles' status.
type bundleStatusReport struct {
	ServiceAnswers bool            `json:"service_answers"`
	Published      *envelopeReport `json:"published,omitempty"`
	InForce        []inForce       `json:"in_force"`
	NotPossible    string          `json:"not_possible,omitempty"`
	StillPossible  string          `json:"still_possible,omitempty"`
}

func bundleStatus(c *cli.Context) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	defer store.Close()
	answers, err := askRouters(c.Context, c.StringSlice(routerOption))
	if err != nil {
		return err
	}
	report := bundleStatusReport{InForce: answers}
	published, err := bundlesync.ReadPublished(c.Context, store)
	if isUnavailable(err) {
		return serviceDown(c, report)
	}
	if err != nil {
		return errors.Trace(err)
	}
	report.ServiceAnswers = true
	text := "published: nothing yet\n"
	if published.Signed != nil {
		version, err := published.Version()
		if err != nil {
			return errors.Trace(err)
		}
		envelope := newEnvelopeReport("", version, *published.Signed)
		report.Published = &envelope
		text = "published: " + envelope.text()
	}
	return show(c, report, text+inForceText(answers))
}

// serviceDown shows what is known without the key-value service.
func serviceDown(c *cli.Context, report bundleStatusReport) error {
	report.NotPossible, report.StillPossible = notPossible, stillPossible
	text := fmt.Sprintf("published: not known, the key-value service at %s does not answer\n%snot possible now: %s\nstill possible: %s\n",
		c.String("platform"), inForceText(report.InForce), notPossible, stillPossible)
	if err := show(c, report, text); err != nil {
		return err
	}
	return cli.Exit("the key-value service does not answer", ExitUnavailable)
}

// historyEntry is one kept version.
type historyEntry struct {
	envelopeReport
	Comment string `json:"comment,omitempty"`
	// Changes lead from the version before; empty for the oldest kept one.
	Changes []bundle.Change `json:"changes"`
}

func bundleHistory(c *cli.Context) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	defer store.Close()
	entries, err := readHistory(c, store)
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, entry := range entries {
		fmt.Fprintf(&text, "%6d  signed by %s, approved by %s, %d changes  %s\n", entry.Version, entry.Signer,
			names(entry.Approvals), len(entry.Changes), entry.Comment)
	}
	return show(c, entries, text.String())
}

func readHistory(c *cli.Context, store *platform.Client) ([]historyEntry, error) {
	published, err := readPublished(c, store)
	if err != nil {
		return nil, err
	}
	versions, err := bundlesync.History(c.Context, store, published)
	if isUnavailable(err) {
		return nil, unavailable(c)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	entries := []historyEntry{}
	for i, version := range versions {
		entry := historyEntry{
			envelopeReport: newEnvelopeReport("", version.Bundle.Version, version.Signed),
			Comment:        version.Bundle.Comment,
			Changes:        []bundle.Change{},
		}
		if i+1 < len(versions) {
			entry.Changes, err = bundle.Changes(versions[i+1].Bundle, version.Bundle)
			if err != nil {
				return nil, errors.Trace(err)
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

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

// withdrawVersion signs the content of an earlier version as the next version.
func withdrawVersion(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
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
	requested := c.Uint64("to")
	if requested == 0 || requested >= current.Version {
		return usageError{errors.Errorf("--to %d: want a version before the published one, %d", requested, current.Version)}
	}
	earlier, found, err := findVersion(c, store, published, requested)
	if err != nil {
		return err
	}
	if !found {
		return usageError{errors.Errorf("--to %d: that version isn't kept; see baobab bundle history", requested)}
	}
	earlier.Version = current.Version + 1
	changes, err := newDiffReport(current, earlier)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(c.App.ErrWriter, changes.text())
	warnRestoredKeys(c, changes)
	return signAndWrite(c, earlier, key)
}

// warnRestoredKeys prints a warning for each API key that a withdrawal would
// make valid again.
func warnRestoredKeys(c *cli.Context, changes diffReport) {
	for _, change := range changes.Changes {
		if change.After != "" && strings.HasSuffix(change.Path, "].hash") {
			_, _ = fmt.Fprintf(c.App.ErrWriter, "warning: this brings back a key that was withdrawn since: %s\n",
				strings.TrimSuffix(change.Path, ".hash"))
		}
	}
}

// bundleStatusReport is the JSON output of bundle status.
type bundleStatusReport struct {
	ServiceAvailable      bool            `json:"service_answers"`
	Published             *envelopeReport `json:"published,omitempty"`
	RouterBundles         []routerBundle  `json:"in_force"`
	UnavailableOperations string          `json:"not_possible,omitempty"`
	AvailableOperations   string          `json:"still_possible,omitempty"`
}

func bundleStatus(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	defer store.Close()
	routerBundles, err := queryRouters(c.Context, c.StringSlice(routerOption))
	if err != nil {
		return err
	}
	report := bundleStatusReport{RouterBundles: routerBundles}
	published, err := bundlesync.ReadPublished(c.Context, store)
	if isUnavailable(err) {
		return reportServiceDown(c, report)
	}
	if err != nil {
		return errors.Trace(err)
	}
	report.ServiceAvailable = true
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
	return printResult(c, report, text+formatRouterBundles(routerBundles))
}

// reportServiceDown prints the status that is known without the key-value
// service.
func reportServiceDown(c *cli.Context, report bundleStatusReport) error {
	report.UnavailableOperations, report.AvailableOperations = unavailableOperations, availableOperations
	text := fmt.Sprintf("published: not known, the key-value service at %s does not answer\n%snot possible now: %s\nstill possible: %s\n",
		c.String("platform"), formatRouterBundles(report.RouterBundles), unavailableOperations, availableOperations)
	if err := printResult(c, report, text); err != nil {
		return err
	}
	return cli.Exit("the key-value service does not answer", ExitUnavailable)
}

// historyEntry describes a retained version in the output of bundle history.
type historyEntry struct {
	envelopeReport
	Comment string `json:"comment,omitempty"`
	// Changes are those since the previous version; empty for the oldest
	// retained version.
	Changes []bundle.Change `json:"changes"`
}

func bundleHistory(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
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
			joinNames(entry.Approvals), len(entry.Changes), entry.Comment)
	}
	return printResult(c, entries, text.String())
}

// readHistory returns the retained versions, newest first.
func readHistory(c *cli.Context, store *platform.Client) ([]historyEntry, error) {
	published, err := readPublished(c, store)
	if err != nil {
		return nil, err
	}
	versions, err := bundlesync.History(c.Context, store, published)
	if isUnavailable(err) {
		return nil, newUnavailableError(c)
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

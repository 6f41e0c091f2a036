package cli

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
)

// keySaltBytes is the size of a bundle's key salt in bytes.
const keySaltBytes = 32

// emptyDraft returns a draft of version 1 without accounts, models and routes.
func emptyDraft() bundle.Bundle {
	salt := make([]byte, keySaltBytes)
	// Read never returns an error: the runtime aborts the process if the
	// system's random source fails.
	_, _ = rand.Read(salt)
	return bundle.Bundle{
		Version:  1,
		KeySalt:  hex.EncodeToString(salt),
		Accounts: []bundle.ClientAccount{},
		Models:   []bundle.Model{},
		Routes:   []bundle.Route{},
		Rollout: bundle.Rollout{
			MaxConcurrentLoads: 2, CanaryShare: 0.05, CanaryTime: bundle.Duration(time.Minute),
			MaxErrorRatio: 1.5, MaxFirstTokenRatio: 1.5, MinReadyShare: 0.6,
		},
	}
}

// nextDraft returns the published bundle with its version incremented, or an
// empty draft if no bundle is published.
func nextDraft(c *cli.Context) (bundle.Bundle, error) {
	store, err := openStore(c)
	if err != nil {
		return bundle.Bundle{}, err
	}
	defer store.Close()
	published, err := readPublished(c, store)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if published.Signed == nil {
		return emptyDraft(), nil
	}
	draft, err := published.Bundle()
	if err != nil {
		return draft, errors.Trace(err)
	}
	draft.Version++
	return draft, nil
}

// draftReport is the JSON output of a command that writes a draft.
type draftReport struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
}

func initDraft(c *cli.Context) error {
	args, err := positionalArguments(c, "DRAFT")
	if err != nil {
		return err
	}
	draft := emptyDraft()
	if c.IsSet("platform") {
		if draft, err = nextDraft(c); err != nil {
			return err
		}
	}
	if err := writeDraft(args[0], draft, false); err != nil {
		return err
	}
	return printResult(c, draftReport{File: args[0], Version: draft.Version},
		fmt.Sprintf("wrote %s, a draft of version %d\n", args[0], draft.Version))
}

func writeDraft(path string, draft bundle.Bundle, replace bool) error {
	data, err := json.MarshalIndent(draft, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return writeFile(path, append(data, '\n'), replace)
}

// readDraft reads a draft and fails if it has any problems.
func readDraft(c *cli.Context, path string) (bundle.Bundle, error) {
	data, err := readFile(path)
	if err != nil {
		return bundle.Bundle{}, err
	}
	draft, problems := bundle.Decode(data)
	if len(problems) > 0 {
		return draft, reportProblems(c, path, problems)
	}
	return draft, nil
}

// readBundle reads a bundle from a draft or an envelope.
func readBundle(c *cli.Context, path string) (bundle.Bundle, error) {
	data, err := readFile(path)
	if err != nil {
		return bundle.Bundle{}, err
	}
	var envelope struct {
		Signature *json.RawMessage `json:"signature"`
	}
	if json.Unmarshal(data, &envelope) != nil || envelope.Signature == nil {
		return readDraft(c, path)
	}
	_, content, err := readEnvelope(c, path)
	return content, err
}

// readEnvelope reads an envelope and decodes its bundle. It does not verify the
// signature and approvals.
func readEnvelope(c *cli.Context, path string) (bundle.Signed, bundle.Bundle, error) {
	data, err := readFile(path)
	if err != nil {
		return bundle.Signed{}, bundle.Bundle{}, err
	}
	signed, problems := bundle.DecodeSigned(bytes.TrimSpace(data))
	if len(problems) > 0 {
		return signed, bundle.Bundle{}, reportProblems(c, path, problems)
	}
	content, problems := bundle.Decode(signed.Bundle)
	if len(problems) > 0 {
		return signed, content, reportProblems(c, path, problems)
	}
	return signed, content, nil
}

func checkBundle(c *cli.Context) error {
	args, err := positionalArguments(c, "FILE")
	if err != nil {
		return err
	}
	content, err := readBundle(c, args[0])
	if err != nil {
		return err
	}
	return printResult(c, problemReport{File: args[0], Problems: []bundle.Problem{}},
		fmt.Sprintf("%s: version %d, no problems\n", args[0], content.Version))
}

// diffReport is the JSON form of the changes between two bundle versions.
type diffReport struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

func newDiffReport(older, newer bundle.Bundle) (diffReport, error) {
	changes, err := bundle.Changes(older, newer)
	return diffReport{From: older.Version, To: newer.Version, Changes: changes}, errors.Trace(err)
}

func (r diffReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d to version %d:\n", r.From, r.To)
	for _, change := range r.Changes {
		fmt.Fprintf(&text, "  %s\n", change)
	}
	return text.String()
}

func diffBundles(c *cli.Context) error {
	var older bundle.Bundle
	names := []string{"OLD", "NEW"}
	if c.IsSet("platform") {
		names = names[1:]
	}
	args, err := positionalArguments(c, names...)
	if err != nil {
		return err
	}
	if c.IsSet("platform") {
		older, err = publishedBundle(c)
	} else {
		older, err = readBundle(c, args[0])
	}
	if err != nil {
		return err
	}
	newer, err := readBundle(c, args[len(args)-1])
	if err != nil {
		return err
	}
	report, err := newDiffReport(older, newer)
	if err != nil {
		return err
	}
	return printResult(c, report, report.text())
}

func publishedBundle(c *cli.Context) (bundle.Bundle, error) {
	store, err := openStore(c)
	if err != nil {
		return bundle.Bundle{}, err
	}
	defer store.Close()
	published, err := readPublished(c, store)
	if err != nil {
		return bundle.Bundle{}, err
	}
	content, err := published.Bundle()
	return content, errors.Trace(err)
}

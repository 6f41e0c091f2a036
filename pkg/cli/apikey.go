package cli

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"slices"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
)

const (
	// apiKeyPrefix makes API keys recognizable to people and secret scanners.
	apiKeyPrefix = "bbk_"
	// apiKeyBytes is the number of random bytes in an API key.
	apiKeyBytes = 32
	// keyIDBytes is the number of random bytes in a generated key ID.
	keyIDBytes = 6
)

func keyCommand() *cli.Command {
	account := &cli.StringFlag{Name: "account", Usage: "`NAME` of the client account", Required: true}
	return &cli.Command{
		Name:  "key",
		Usage: "grant and withdraw callers' API keys in a draft",
		Subcommands: []*cli.Command{
			{
				Name: "grant", Usage: "add a key to a draft and print it, once",
				UsageText: "baobab key grant --account acme draft.json", ArgsUsage: "DRAFT", Action: grantKey,
				Flags: []cli.Flag{account, &cli.StringFlag{Name: "id", Usage: "`NAME` of the key; drawn when left out"}, jsonFlag()},
			},
			{
				Name: "withdraw", Usage: "take a key out of a draft",
				UsageText: "baobab key withdraw --account acme --id acme-1 draft.json", ArgsUsage: "DRAFT", Action: withdrawKey,
				Flags: []cli.Flag{account, &cli.StringFlag{Name: "id", Usage: "`NAME` of the key", Required: true}, jsonFlag()},
			},
		},
	}
}

// keyReport is the JSON output of the key commands.
type keyReport struct {
	draftReport
	Account string `json:"account"`
	KeyID   string `json:"key_id"`
	// Key is set by grant only; the bundle holds just its hash.
	Key string `json:"key,omitempty"`
}

func grantKey(c *cli.Context) error {
	args, err := positionalArguments(c, "DRAFT")
	if err != nil {
		return err
	}
	draft, account, err := readDraftAccount(c, args[0])
	if err != nil {
		return err
	}
	id := c.String("id")
	if id == "" {
		id = account.Name + "-" + randomToken(keyIDBytes)
	}
	key := apiKeyPrefix + randomToken(apiKeyBytes)
	hash, err := bundle.HashKey(draft.KeySalt, key)
	if err != nil {
		return errors.New("the draft's key salt can't be used")
	}
	account.Keys = append(account.Keys, bundle.Key{ID: id, Hash: hash})
	if problems := bundle.Validate(draft); len(problems) > 0 {
		return reportProblems(c, args[0], problems)
	}
	if err := writeDraft(args[0], draft, true); err != nil {
		return err
	}
	report := keyReport{
		draftReport: draftReport{File: args[0], Version: draft.Version}, Account: account.Name, KeyID: id, Key: key,
	}
	return printResult(c, report, fmt.Sprintf("key %s of account %s, shown only now: %s\n%s holds its hash; it counts once version %d is in force\n",
		id, account.Name, key, args[0], draft.Version))
}

func withdrawKey(c *cli.Context) error {
	args, err := positionalArguments(c, "DRAFT")
	if err != nil {
		return err
	}
	draft, account, err := readDraftAccount(c, args[0])
	if err != nil {
		return err
	}
	id := c.String("id")
	index := slices.IndexFunc(account.Keys, func(key bundle.Key) bool { return key.ID == id })
	if index < 0 {
		return usageError{errors.Errorf("%s: account %q has no key %q", args[0], account.Name, id)}
	}
	account.Keys = slices.Delete(account.Keys, index, index+1)
	if err := writeDraft(args[0], draft, true); err != nil {
		return err
	}
	report := keyReport{draftReport: draftReport{File: args[0], Version: draft.Version}, Account: account.Name, KeyID: id}
	return printResult(c, report, fmt.Sprintf("key %s of account %s is withdrawn once version %d is in force\n", id, account.Name, draft.Version))
}

// readDraftAccount reads a draft and returns it with a pointer to the account
// that the command names.
func readDraftAccount(c *cli.Context, path string) (bundle.Bundle, *bundle.ClientAccount, error) {
	draft, err := readDraft(c, path)
	if err != nil {
		return draft, nil, err
	}
	name := c.String("account")
	for i := range draft.Accounts {
		if draft.Accounts[i].Name == name {
			return draft, &draft.Accounts[i], nil
		}
	}
	return draft, nil, usageError{errors.Errorf("%s: no account %q", path, name)}
}

// randomToken returns size random bytes in URL-safe base64.
func randomToken(size int) string {
	raw := make([]byte, size)
	// Read never returns an error: the runtime aborts the process if the
	// system's random source fails.
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

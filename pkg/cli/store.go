package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/operatorclient"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

func routerFlag() *cli.StringSliceFlag {
	return &cli.StringSliceFlag{
		Name: routerOption, Usage: "`ADDR` of a router's operators' listener; may be repeated",
		EnvVars: []string{"BAOBAB_ROUTERS"},
	}
}

func platformFlag(required bool) *cli.StringFlag {
	return &cli.StringFlag{
		Name: "platform", Usage: "`ADDR` of the key-value service", Required: required,
		EnvVars: []string{"BAOBAB_PLATFORM"},
	}
}

// openStore returns a client of the key-value service.
func openStore(c *cli.Context) (*platform.Client, error) {
	address := c.String("platform")
	if err := checkAddress("platform", address); err != nil {
		return nil, err
	}
	settings := platform.DefaultConfig(address)
	settings.CallTimeout = callTimeout
	return platform.NewClient(settings), nil
}

// readPublished reads the newest bundle, and says what is in force when the
// service is down.
func readPublished(c *cli.Context, store kv.Store) (bundlesync.Published, error) {
	published, err := bundlesync.ReadPublished(c.Context, store)
	if isUnavailable(err) {
		return published, unavailable(c)
	}
	return published, errors.Trace(err)
}

func isUnavailable(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrBudgetExhausted)
}

// notPossible and stillPossible say what an outage of the key-value service
// stops and what it leaves.
const (
	notPossible   = "roll, withdraw, history, init --platform, diff --platform"
	stillPossible = "init without --platform, check, diff of two files, sign, approve, keygen, key grant and key withdraw on drafts, status --router"
)

// inForce is the bundle that one router has in force.
type inForce struct {
	Router string `json:"router"`
	VM     string `json:"vm,omitempty"`
	// Version is 0 when the router didn't answer or has no bundle.
	Version uint64 `json:"version"`
	Problem string `json:"problem,omitempty"`
}

// askRouters asks the given routers for their bundles.
func askRouters(ctx context.Context, addresses []string) ([]inForce, error) {
	answers := make([]inForce, 0, len(addresses))
	for _, address := range addresses {
		if err := checkAddress(routerOption, address); err != nil {
			return nil, err
		}
		client := operatorclient.New(address)
		status, err := client.Status(ctx)
		client.Close()
		answer := inForce{Router: address, VM: status.VM, Version: status.BundleVersion}
		if err != nil {
			answer.Problem = "no answer: " + err.Error()
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

func inForceText(answers []inForce) string {
	if len(answers) == 0 {
		return "in force: not known; name a router's operators' listener with --router\n"
	}
	var text strings.Builder
	for _, answer := range answers {
		if answer.Problem != "" {
			fmt.Fprintf(&text, "in force: router %s: %s\n", answer.Router, answer.Problem)
			continue
		}
		fmt.Fprintf(&text, "in force: version %d at %s (router %s)\n", answer.Version, answer.VM, answer.Router)
	}
	return text.String()
}

// unavailable says that the key-value service is down, what is in force and
// what isn't possible.
func unavailable(c *cli.Context) error {
	answers, err := askRouters(c.Context, c.StringSlice(routerOption))
	if err != nil {
		return err
	}
	return cli.Exit(fmt.Sprintf("the key-value service at %s does not answer\n%snot possible now: %s\nstill possible: %s",
		c.String("platform"), inForceText(answers), notPossible, stillPossible), ExitUnavailable)
}

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

// openStore returns a client for the key-value service that --platform names.
func openStore(c *cli.Context) (*platform.Client, error) {
	address := c.String("platform")
	if err := checkAddress("platform", address); err != nil {
		return nil, err
	}
	settings := platform.DefaultConfig(address)
	settings.CallTimeout = kvCallTimeout
	return platform.NewClient(settings), nil
}

// readPublished reads the newest published bundle. If the key-value service is
// unavailable, the error reports the routers' active bundle versions.
func readPublished(c *cli.Context, store kv.Store) (bundlesync.Published, error) {
	published, err := bundlesync.ReadPublished(c.Context, store)
	if isUnavailable(err) {
		return published, newUnavailableError(c)
	}
	return published, errors.Trace(err)
}

func isUnavailable(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrBudgetExhausted)
}

// unavailableOperations and availableOperations list what operators can't and
// can do during an outage of the key-value service.
const (
	unavailableOperations = "roll, withdraw, history, init --platform, diff --platform"
	availableOperations   = "init without --platform, check, diff of two files, sign, approve, keygen, key grant and key withdraw on drafts, status --router"
)

// routerBundle is the active bundle version of a router, or the error of the
// query.
type routerBundle struct {
	Router string `json:"router"`
	VM     string `json:"vm,omitempty"`
	// Version is 0 if the router didn't respond or has no bundle.
	Version uint64 `json:"version"`
	Error   string `json:"problem,omitempty"`
}

// queryRouters queries the active bundle version of each router.
func queryRouters(ctx context.Context, addresses []string) ([]routerBundle, error) {
	routerBundles := make([]routerBundle, 0, len(addresses))
	for _, address := range addresses {
		if err := checkAddress(routerOption, address); err != nil {
			return nil, err
		}
		client := operatorclient.New(address)
		status, err := client.Status(ctx)
		client.Close()
		result := routerBundle{Router: address, VM: status.VM, Version: status.BundleVersion}
		if err != nil {
			result.Error = "no answer: " + err.Error()
		}
		routerBundles = append(routerBundles, result)
	}
	return routerBundles, nil
}

func formatRouterBundles(routerBundles []routerBundle) string {
	if len(routerBundles) == 0 {
		return "in force: not known; name a router's operators' listener with --router\n"
	}
	var text strings.Builder
	for _, state := range routerBundles {
		if state.Error != "" {
			fmt.Fprintf(&text, "in force: router %s: %s\n", state.Router, state.Error)
			continue
		}
		fmt.Fprintf(&text, "in force: version %d at %s (router %s)\n", state.Version, state.VM, state.Router)
	}
	return text.String()
}

// newUnavailableError returns an error for an outage of the key-value service
// that reports the routers' active bundle versions and the operations that
// remain possible.
func newUnavailableError(c *cli.Context) error {
	routerBundles, err := queryRouters(c.Context, c.StringSlice(routerOption))
	if err != nil {
		return err
	}
	return cli.Exit(fmt.Sprintf("the key-value service at %s does not answer\n%snot possible now: %s\nstill possible: %s",
		c.String("platform"), formatRouterBundles(routerBundles), unavailableOperations, availableOperations), ExitUnavailable)
}

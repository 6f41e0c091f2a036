package cli

import (
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/strictjson"
)

// operatorKey is an operator's private key with its ID.
type operatorKey struct {
	id         string
	privateKey ed25519.PrivateKey
}

// privateKeyFile is the JSON content of a private key file.
type privateKeyFile struct {
	ID string `json:"id"`
	// Seed is the Ed25519 seed, 32 bytes in hexadecimal.
	Seed string `json:"seed"`
}

func keyFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name: keyOption, Usage: "operator's private key `FILE`, made by keygen", Required: true, TakesFile: true,
		EnvVars: []string{"BAOBAB_KEY_FILE"},
	}
}

func trustFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name: trustOption, Usage: "`FILE` with trusted_keys and min_approvals, as in the processes' settings",
		Required: true, TakesFile: true, EnvVars: []string{"BAOBAB_TRUST_FILE"},
	}
}

func keygenCommand() *cli.Command {
	return &cli.Command{
		Name:      "keygen",
		Usage:     "make an operator's key pair; the public key goes into the processes' settings",
		UsageText: "baobab keygen --id ana --out ana.key",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "`NAME` of the key", Required: true},
			&cli.StringFlag{Name: outOption, Usage: "new private key `FILE`", Required: true, TakesFile: true},
			jsonFlag(),
		},
		Action: keygen,
	}
}

func keygen(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := json.Marshal(privateKeyFile{ID: c.String("id"), Seed: hex.EncodeToString(private.Seed())})
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeFile(c.String("out"), data, false); err != nil {
		return err
	}
	trustedKey := config.TrustedKey{ID: c.String("id"), PublicKey: hex.EncodeToString(public)}
	encodedKey, err := json.Marshal(trustedKey)
	if err != nil {
		return errors.Trace(err)
	}
	return printResult(c, trustedKey, fmt.Sprintf("wrote %s; keep it to yourself\nentry for trusted_keys: %s\n", c.String("out"), encodedKey))
}

// loadKey reads a private key file. Its errors never include the file's
// content.
func loadKey(path string) (operatorKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return operatorKey{}, usageError{err}
	}
	if mode := info.Mode().Perm(); mode&nonOwnerPermissions != 0 {
		return operatorKey{}, usageError{errors.Errorf("%s: mode %04o lets others read the private key: chmod 600", path, mode)}
	}
	data, err := readFile(path)
	if err != nil {
		return operatorKey{}, err
	}
	var file privateKeyFile
	problems := strictjson.Decode(data, &file)
	seed, err := hex.DecodeString(file.Seed)
	if len(problems) > 0 || err != nil || len(seed) != ed25519.SeedSize || file.ID == "" {
		return operatorKey{}, usageError{errors.Errorf("%s: not a private key file made by keygen", path)}
	}
	return operatorKey{id: file.ID, privateKey: ed25519.NewKeyFromSeed(seed)}, nil
}

// loadTrustPolicy reads the file with the trusted keys and the number of
// required approvals.
func loadTrustPolicy(c *cli.Context) (*bundle.TrustPolicy, error) {
	path := c.String(trustOption)
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	var settings config.Bundles
	if problems := strictjson.Decode(data, &settings); len(problems) > 0 {
		return nil, reportProblems(c, path, problems)
	}
	trust, err := daemon.NewTrust(settings)
	if err != nil {
		return nil, usageError{errors.Annotate(err, path)}
	}
	return trust, nil
}

// kvCallTimeout limits the duration of one call to the key-value service.
const kvCallTimeout = 2 * time.Second

package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
)

// Additional exit codes of the operator command baobab.
const (
	// ExitUnavailable reports that the key-value service or all routers didn't
	// respond.
	ExitUnavailable = 4
	// ExitSuperseded reports that another operator's bundle was published
	// first.
	ExitSuperseded = 5
	// ExitUnfinished reports an operation that started but did not complete, or
	// whose result is unknown.
	ExitUnfinished = 6
)

// Names of the options that several commands share.
const (
	jsonOption   = "json"
	keyOption    = "key"
	trustOption  = "trust"
	routerOption = "router"
	outOption    = "out"
	waitOption   = "wait"
	yesOption    = "yes"
)

// privateFileMode is the mode of files that only their owner may read and
// write.
const privateFileMode = 0o600

// nonOwnerPermissions are the permission bits that private files must not have.
const nonOwnerPermissions = 0o077

// maxFileBytes limits the size of the drafts, envelopes, keys and settings that
// the commands read.
const maxFileBytes = 2 << 20

func jsonFlag() *cli.BoolFlag {
	return &cli.BoolFlag{Name: jsonOption, Usage: "print one JSON object"}
}

// printResult prints document as JSON if --json is set, and text otherwise.
func printResult(c *cli.Context, document any, text string) error {
	if !c.Bool(jsonOption) {
		_, err := io.WriteString(c.App.Writer, text)
		return errors.Trace(err)
	}
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(c.App.Writer, string(data))
	return errors.Trace(err)
}

// problemReport is the JSON output for a checked file.
type problemReport struct {
	File     string           `json:"file"`
	Problems []bundle.Problem `json:"problems"`
}

// reportProblems returns a usage error that lists all problems of a file, and
// prints them as JSON if --json is set.
func reportProblems(c *cli.Context, file string, problems []bundle.Problem) error {
	if c.Bool(jsonOption) {
		if err := printResult(c, problemReport{File: file, Problems: problems}, ""); err != nil {
			return err
		}
	}
	return usageError{errors.Errorf("%s: problems: %d\n%s", file, len(problems), bundle.FormatProblems(problems))}
}

// positionalArguments returns the command's positional arguments. It returns a
// usage error unless there is exactly one for each name.
func positionalArguments(c *cli.Context, names ...string) ([]string, error) {
	args := c.Args().Slice()
	for _, argument := range args {
		if strings.HasPrefix(argument, "-") {
			return nil, usageError{errors.Errorf("option %s stands after an argument: options come first", argument)}
		}
	}
	if len(args) != len(names) {
		return nil, usageError{errors.Errorf("want %s, found %d arguments", strings.Join(names, " "), len(args))}
	}
	return args, nil
}

// checkAddress returns a usage error unless the value of an option has the form
// IP:PORT.
func checkAddress(option, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{errors.Errorf("--%s %q: want an IP address and a port, such as 127.0.0.1:8090", option, address)}
	}
	return nil
}

// readFile reads a file of at most maxFileBytes bytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError{err}
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxFileBytes {
		return nil, usageError{errors.Errorf("%s: above %d bytes", path, maxFileBytes)}
	}
	return data, nil
}

// writeFile writes a file. With replace it replaces an existing file
// atomically; otherwise the file must not exist.
func writeFile(path string, data []byte, replace bool) error {
	if !replace {
		return createFile(path, data)
	}
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if err := writeAndClose(file, data); err != nil {
		return err
	}
	return errors.Trace(os.Rename(file.Name(), path))
}

// createFile writes a new file and fails if it exists.
func createFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if errors.Is(err, os.ErrExist) {
		return usageError{errors.Errorf("%s: the file exists and is left as it is", path)}
	}
	if err != nil {
		return errors.Trace(err)
	}
	return writeAndClose(file, data)
}

// writeAndClose writes data, syncs the file to disk and closes it.
func writeAndClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

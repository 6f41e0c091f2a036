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

// Further exit codes of the operators' command.
const (
	// ExitUnavailable means that the key-value service didn't answer.
	ExitUnavailable = 4
	// ExitSuperseded means that another operator's bundle was published first.
	ExitSuperseded = 5
	// ExitUnfinished means that the work was begun and its end isn't known.
	ExitUnfinished = 6
)

// Names of options that several commands share.
const (
	jsonOption   = "json"
	keyOption    = "key"
	trustOption  = "trust"
	routerOption = "router"
	outOption    = "out"
	waitOption   = "wait"
	yesOption    = "yes"
)

// privateMode is the mode of files that only their owner may read.
const privateMode = 0o600

// othersMode are the rights that private files give to nobody else.
const othersMode = 0o077

// maxFileBytes bounds the drafts, envelopes and keys that are read.
const maxFileBytes = 2 << 20

func jsonFlag() *cli.BoolFlag {
	return &cli.BoolFlag{Name: jsonOption, Usage: "print one JSON object"}
}

// show prints a document as JSON or as text for a person.
func show(c *cli.Context, document any, text string) error {
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

// problemReport is the JSON form of a refused file.
type problemReport struct {
	File     string           `json:"file"`
	Problems []bundle.Problem `json:"problems"`
}

// refuse reports all problems of a file.
func refuse(c *cli.Context, file string, problems []bundle.Problem) error {
	if c.Bool(jsonOption) {
		if err := show(c, problemReport{File: file, Problems: problems}, ""); err != nil {
			return err
		}
	}
	return usageError{errors.Errorf("%s: problems: %d\n%s", file, len(problems), bundle.FormatProblems(problems))}
}

// arguments returns the command's arguments, one for each name.
func arguments(c *cli.Context, names ...string) ([]string, error) {
	found := c.Args().Slice()
	for _, argument := range found {
		if strings.HasPrefix(argument, "-") {
			return nil, usageError{errors.Errorf("option %s stands after an argument: options come first", argument)}
		}
	}
	if len(found) != len(names) {
		return nil, usageError{errors.Errorf("want %s, found %d arguments", strings.Join(names, " "), len(found))}
	}
	return found, nil
}

// checkAddress checks an option of the form IP:PORT.
func checkAddress(option, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{errors.Errorf("--%s %q: want an IP address and a port, such as 127.0.0.1:8090", option, address)}
	}
	return nil
}

// readFile reads a bounded file.
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

// writeFile replaces a file as a whole; without replace the file must be new.
func writeFile(path string, data []byte, replace bool) error {
	if !replace {
		return writeNew(path, data)
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

func writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if errors.Is(err, os.ErrExist) {
		return usageError{errors.Errorf("%s: the file exists and is left as it is", path)}
	}
	if err != nil {
		return errors.Trace(err)
	}
	return writeAndClose(file, data)
}

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

package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
)

func yesFlag() *cli.BoolFlag {
	return &cli.BoolFlag{Name: yesOption, Usage: "don't ask for confirmation"}
}

// confirm prints a preview on standard error and asks for confirmation. It
// fails if standard input is not a terminal, unless --yes is set.
func confirm(c *cli.Context, preview, question string) error {
	if c.Bool(yesOption) {
		return nil
	}
	if !isTerminal(c.App.Reader) {
		return usageError{errors.New("no terminal to ask for confirmation: read the difference, then repeat with --yes")}
	}
	return promptYes(c.App.Reader, c.App.ErrWriter, preview+question)
}

// promptYes prints a question and returns an error unless the answer, without
// surrounding white space, is "yes".
func promptYes(in io.Reader, out io.Writer, question string) error {
	if _, err := fmt.Fprintf(out, "%s [yes/no]: ", question); err != nil {
		return errors.Trace(err)
	}
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Trace(err)
	}
	if strings.TrimSpace(line) != "yes" {
		return usageError{errors.New("not confirmed; nothing was changed")}
	}
	return nil
}

func isTerminal(in io.Reader) bool {
	file, ok := in.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

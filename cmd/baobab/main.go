// Command baobab is the command-line tool for operators.
package main

import (
	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/platform"
)

func main() {
	cli.Main(cli.NewOperatorApp(cli.OperatorPlatform{DecodeDocument: platform.DecodeDocument}))
}

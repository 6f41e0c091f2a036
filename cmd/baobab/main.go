// Command baobab is the command-line tool for operators.
package main

import "github.com/baobabhub/baobabhub/pkg/cli"

func main() { cli.Main(cli.NewOperatorApp()) }

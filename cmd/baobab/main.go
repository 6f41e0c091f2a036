// Command baobab is the operators' command.
package main

import "github.com/baobabhub/baobabhub/pkg/cli"

func main() { cli.Main(cli.NewOperatorApp()) }

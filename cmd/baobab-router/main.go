// Command baobab-router serves callers on an entry VM.
package main

import "github.com/baobabhub/baobabhub/pkg/cli"

func main() { cli.Main(cli.NewRouterApp()) }

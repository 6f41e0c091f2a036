// Command baobab-agent serves routers beside one target.
package main

import "github.com/baobabhub/baobabhub/pkg/cli"

func main() { cli.Main(cli.NewAgentApp()) }

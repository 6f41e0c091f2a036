// Command baobab-agent runs an agent, which serves routers on behalf of one target.
package main

import "github.com/baobabhub/baobabhub/pkg/cli"

func main() { cli.Main(cli.NewAgentApp()) }

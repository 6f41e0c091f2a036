// Command baobab-entry serves callers on an entry VM of the users' platform.
package main

import (
	"os"

	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/platform"
)

func main() {
	cli.Main(cli.NewEntryApp(cli.EntryPlatform{
		SettingsPath: os.Getenv(platform.SettingsVariable),
		LoadSettings: platform.LoadSettings,
		NewAdapter:   platform.New,
	}))
}

// Command chestnutpond runs the processes of the scheduler and its command-line
// tools as subcommands.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond/internal/tool/client"
	"github.com/chestnutpond/chestnutpond/internal/tool/launch"
)

func main() {
	root := &cli.Command{
		Name:     "chestnutpond",
		Usage:    "places the work of client accounts on a shared fleet of workers with accelerators",
		Action:   client.NoCommand,
		Commands: slices.Concat(launch.Commands(), launch.FleetCommands(), client.Commands()),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutpond:", err)
		os.Exit(client.ExitFailed)
	}
}

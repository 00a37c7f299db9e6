// Command chestnutpond is the scheduler: its subcommands are the processes and
// the tools.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond/internal/tool/launch"
)

func main() {
	app := &cli.Command{
		Name: "chestnutpond", Usage: "place work of client accounts on a shared fleet",
		Commands: launch.Commands(),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

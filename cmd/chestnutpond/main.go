// Command chestnutpond is the scheduler: its subcommands are the processes and
// the tools.
package main

func main() {
}

// Package launch has the subcommands that run processes: entry, agent and demo.
//
// It reads the settings, makes the clients of the platform, and runs the process
// until SIGTERM or SIGINT. The first signal starts a graceful stop; a second one
// ends the process at once.
package launch

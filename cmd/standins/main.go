// Command standins serves small stand-ins of the platform for tests: the log
// service, a worker and an upstream.
package main

func main() {
}

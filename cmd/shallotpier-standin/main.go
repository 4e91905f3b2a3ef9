// Command shallotpier-standin simulates the platform and the backend servers of a
// deployment on loopback, so that shallotpierd and shallotpier can be tried as
// separate processes.
package main

import (
	"os"

	"github.com/shallotpier/shallotpier/internal/launch"
)

func main() {
	s := launch.StandIn{Stderr: os.Stderr}
	os.Exit(s.Main(os.Args))
}

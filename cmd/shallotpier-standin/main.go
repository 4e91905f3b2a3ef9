// Command shallotpier-standin runs small stand-ins of the platform and of a
// deployment's backend servers on loopback, for trying the daemon and the
// command line as separate processes.
package main

import (
	"os"

	"github.com/shallotpier/shallotpier/internal/launch"
)

func main() {
	s := launch.StandIn{Stderr: os.Stderr}
	os.Exit(s.Main(os.Args))
}

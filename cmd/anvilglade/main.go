// Command anvilglade is the balancer, the agent and the operators' commands.
package main

import (
	"os"

	"github.com/anvilglade/anvilglade/internal/operate/agcommand"
)

func main() {
	os.Exit(agcommand.Run(os.Args[1:]))
}

// Command anvilglade runs a balancer, an agent or a command for operators.
package main

import (
	"os"

	"github.com/anvilglade/anvilglade/internal/operate/agcommand"
)

func main() {
	os.Exit(agcommand.Run(os.Args[1:]))
}

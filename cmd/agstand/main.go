// Command agstand runs the test doubles for tests and measurements.
package main

import (
	"os"

	"github.com/anvilglade/anvilglade/internal/stand/agstand"
)

func main() {
	os.Exit(agstand.Run(os.Args[1:]))
}

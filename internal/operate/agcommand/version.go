package agcommand

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

type versionVerb struct{}

func newVersionVerb() Verb {
	return &versionVerb{}
}

// Bind does nothing, because the subcommand has no flags.
func (*versionVerb) Bind(*flaggy.Subcommand) {}

// Run prints the module version and the Go version of the build.
func (*versionVerb) Run(context.Context) int {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("anvilglade (no build information)")
		return ExitDone
	}
	fmt.Println("anvilglade", info.Main.Version, info.GoVersion)
	return ExitDone
}

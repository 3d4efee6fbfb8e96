// Command stand runs the scripts of the review: it starts the project's processes on
// loopback addresses beside stand-ins for the platform, the hosts and the clients.
package main

import (
	"context"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(ctx context.Context, recordPath string, trouble bool) (int, error){
	"idle-before-first-request":     idleBeforeFirstRequest,
	"port-used-again":               portUsedAgain,
	"cold-after-evacuation":         coldAfterEvacuation,
	"agent-killed-beside-cold-host": agentKilledBesideColdHost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitFailed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	code, err := cases[os.Args[1]](ctx, os.Args[2], os.Getenv("TROUBLE") != "0")
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
	}
	os.Exit(code)
}

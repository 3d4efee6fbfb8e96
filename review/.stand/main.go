// Command stand runs the scripts of the review: it starts the project's processes on
// loopback addresses beside stand-ins for the platform, the hosts and the clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case that has not ended is stopped.
const longest = 110 * time.Second

// current is the deployment of the case.
var current = &world{}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(ctx context.Context, recordPath string, trouble bool) (int, error){
	"idle-before-first-request": idleBeforeFirstRequest,
	"port-used-at-leaving-host": portUsedAtLeavingHost,
	"port-used-at-another-host": portUsedAtAnotherHost,
	"port-used-again":           portUsedAgain,
	"zone-loses-power":          zoneLosesPower,
	"cold-after-evacuation":     coldAfterEvacuation,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitFailed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](ctx, os.Args[2], os.Getenv("TROUBLE") != "0")
		if err != nil {
			fmt.Fprintln(os.Stderr, "stand:", err)
		}
		ended <- code
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		cancel()
		os.Exit(code)
	case <-signals:
	case <-time.After(longest):
		fmt.Fprintln(os.Stderr, "stand: the case takes too long")
	}
	cancel()
	current.stopAll()
	os.Exit(exitFailed)
}

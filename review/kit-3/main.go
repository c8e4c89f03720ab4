// Command kit-3 plays the script cases of the third independent review. It starts gateways
// as processes with the command of the deploy file, beside stand-ins of the platform, its
// servers and its clients on loopback, and judges by what clients and servers saw.
//
// Usage: kit-3 CASE FOLDER. The record goes to FOLDER/record.txt. The exit code is 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 110 * time.Second
)

// cases maps the names of the cases to what they do.
var cases = map[string]func(*world) (bool, error){
	"power-cut":   playPowerCut,
	"take-up":     playTakeUp,
	"hot-lookup":  playHotLookup,
	"head-limit":  playHeadLimit,
	"pause":       playPause,
	"limit":       playLimit,
	"crash-again": playCrashAgain,
	"far-part":    playFarPart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-3 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case in a world of its own and returns the exit code.
func play(name, folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit-3:", err)
		return couldNot
	}
	defer w.close()
	time.AfterFunc(timeLimit, func() { w.giveUp("time limit") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { w.giveUp((<-signals).String()) }()
	wasBroken, err := cases[name](w)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return couldNot
	case wasBroken:
		w.logf("RULE BROKEN")
		return broken
	default:
		w.logf("rule held")
		return held
	}
}

// giveUp ends all processes and the case.
func (w *world) giveUp(reason string) {
	w.logf("the case ends early: %s", reason)
	w.close()
	os.Exit(couldNot)
}

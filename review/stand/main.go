// Command stand plays one case of the review: it starts daemons as separate processes with the
// command of the deploy file, beside stand-ins of the store, the upstreams and the clients, and
// judges what these saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestCase is how long a case may run.
const longestCase = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are the arguments of a case.
type options struct {
	program   string
	directory string
	trouble   bool
}

// play runs one case and returns whether its rule was broken.
type play func(stand *stand, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"quota":     playQuota,
	"pipelined": playPipelined,
	"gone":      playGone,
	"replaced":  playReplaced,
}

func main() {
	var given options
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&given.program, "program", "target/springstackd", "program of the daemons")
	flag.Parse()
	given.trouble = os.Getenv("TROUBLE") != "0"
	chosen, found := plays[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitFailed)
	}
	os.Exit(run(chosen, given, *record))
}

// run plays a case and returns its exit code. All processes have ended on return.
func run(chosen play, given options, recordPath string) int {
	program, err := filepath.Abs(given.program)
	if err != nil {
		return fail(err)
	}
	given.program = program
	if given.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return fail(err)
	}
	defer os.RemoveAll(given.directory)
	recorder, err := newRecorder(recordPath)
	if err != nil {
		return fail(err)
	}
	defer recorder.close()
	made := newStand(given, recorder)
	defer made.close()
	outcome := make(chan int, 1)
	go func() { outcome <- playCase(made, chosen, given.trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-outcome:
		return code
	case <-signals:
		return fail(fmt.Errorf("it was interrupted"))
	case <-time.After(longestCase):
		return fail(fmt.Errorf("it took longer than %s", longestCase))
	}
}

func playCase(made *stand, chosen play, trouble bool) int {
	broken, err := chosen(made, trouble)
	if err != nil {
		return fail(err)
	}
	made.record.note("trouble=%t broken=%t", trouble, broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitFailed
}

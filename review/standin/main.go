//go:build review

// Command standin runs the cases of the review: it starts controllers with the command of the
// deploy file, plays the state service, the cloud, the workers and the users as the pages
// describe them, and checks the rules by what these see.
//
//	standin CASE FOLDER
//
// TROUBLE=0 leaves the case's disruption out. It exits with 0 if the rule held, 1 if it was
// broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases maps a name to the function that plays it and returns an exit code.
var cases = map[string]func(r *recorder, trouble bool) int{}

// maxCase is the time after which a case is given up.
const maxCase = 117 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannot)
	}
	r, err := newRecorder(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxCase):
			r.note("given up", "after", maxCase)
		}
		endProcesses()
		os.Exit(cannot)
	}()
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	endProcesses()
	r.note("exit", "code", code)
	fmt.Println(r.summary())
	os.Exit(code)
}

// recorder writes what was sent, answered and run, with seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	last  string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// since returns the seconds since the start of the record.
func (r *recorder) since() float64 { return time.Since(r.start).Seconds() }

// note writes a line: what happened, followed by names and values in turn.
func (r *recorder) note(what string, facts ...any) {
	line := fmt.Sprintf("%8.3f %s", r.since(), what)
	for i := 0; i+1 < len(facts); i += 2 {
		line += fmt.Sprintf(" %v=%v", facts[i], facts[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line)
}

// verdict writes the result of a case and keeps it for the summary.
func (r *recorder) verdict(text string) {
	r.note("VERDICT: " + text)
	r.mu.Lock()
	r.last = text
	r.mu.Unlock()
}

func (r *recorder) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

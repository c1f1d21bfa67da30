// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pinerun.example/pinerun/command"
	"pinerun.example/pinerun/platform/platformtest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pinerun": func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScenarios runs each scenario over real processes. Its commands beside
// those of testscript:
//
//	ports A B            set variables to free ports, each with the next one free
//	expand FILE          replace $VARIABLES in a file
//	await URL            until it answers 200
//	call METHOD URL [HEADER:VALUE...] [@FILE]
//	                     print status, Pinerun-Outcome and body
//	ask METHOD URL...    the same, setting REQUEST to the request's id
//	begin NAME METHOD... the same in the background
//	end NAME             wait for it and print what call prints
//	today A              set a variable to the day
//	now A, deadline A    set a variable to the time, or to one soon after
//	until PATTERN URL    until an operator's call answers so
//	planid stdout A      set a variable to the id of the plan printed last
//	above A PATTERN URL  until an operator's call answers with a number, the pattern's
//	                     group, above that of a variable
//	holder N M           freeze whichever of the processes of e1 and e2 holds the
//	                     director's lease; set HOLDER, OTHER to the other's port, and
//	                     EPOCH to the lease's epoch
//	freeze N, thaw N     SIGSTOP and SIGCONT to the N-th background process
func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs("examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scenarios",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Values[callsKey] = calls{}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":  setPorts,
			"expand": expandFile,
			"await":  await,
			"call":   callNow,
			"begin":  beginCall,
			"end":    endCall,
			"until":  until,
			"above":  above,
			"holder": holder,
			"ask":    askFor,
			"today": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Setenv(args[0], time.Now().UTC().Format("20060102"))
			},
			"planid": planID,
			"now":    func(ts *testscript.TestScript, _ bool, args []string) { setTime(ts, args[0], 0) },
			"deadline": func(ts *testscript.TestScript, _ bool, args []string) {
				setTime(ts, args[0], shortDeadline)
			},
			"freeze": func(ts *testscript.TestScript, _ bool, args []string) { signalTo(ts, args[0], syscall.SIGSTOP) },
			"thaw":   func(ts *testscript.TestScript, _ bool, args []string) { signalTo(ts, args[0], syscall.SIGCONT) },
		},
	})
}

// calls holds the calls of a scenario that run in the background.
type calls map[string]chan string

const callsKey = "calls"

func setPorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		ts.Setenv(name, strconv.Itoa(platformtest.FreePort()))
	}
}

func expandFile(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

const (
	awaitLimit = time.Minute
	awaitPause = 10 * time.Millisecond
)

func await(ts *testscript.TestScript, neg bool, urls []string) {
	for _, url := range urls {
		for end := time.Now().Add(awaitLimit); ; time.Sleep(awaitPause) {
			res, err := http.Get(url)
			if err == nil {
				_ = res.Body.Close()
			}
			if (err == nil && res.StatusCode == http.StatusOK) != neg {
				break
			}
			if time.Now().After(end) {
				ts.Fatalf("%s: not as awaited: %v", url, err)
			}
		}
	}
}

func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	awaitAnswer(ts, args[1], pattern.MatchString)
}

func above(ts *testscript.TestScript, _ bool, args []string) {
	known, err := strconv.Atoi(ts.Getenv(args[0]))
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	awaitAnswer(ts, args[2], func(answer string) bool {
		for _, m := range pattern.FindAllStringSubmatch(answer, -1) {
			if n, err := strconv.Atoi(m[1]); err == nil && n > known {
				return true
			}
		}
		return false
	})
}

// awaitAnswer makes an operator's call until its answer is as wanted.
func awaitAnswer(ts *testscript.TestScript, url string, wanted func(answer string) bool) {
	ask := request(ts, []string{http.MethodGet, url, "Authorization:Bearer " + ts.Getenv("PINERUN_OPERATOR_KEY")})
	for end := time.Now().Add(awaitLimit); ; time.Sleep(awaitPause) {
		answer := ask()
		if wanted(answer) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("never so: %s", answer)
		}
	}
}

func callNow(ts *testscript.TestScript, _ bool, args []string) {
	_, err := io.WriteString(ts.Stdout(), request(ts, args)())
	ts.Check(err)
}

var idPattern = regexp.MustCompile(`r-[0-9a-f]{16}`)

func askFor(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv("REQUEST", idPattern.FindString(request(ts, args)()))
}

func beginCall(ts *testscript.TestScript, _ bool, args []string) {
	done := make(chan string, 1)
	send := request(ts, args[1:])
	go func() { done <- send() }()
	ts.Value(callsKey).(calls)[args[0]] = done
}

func endCall(ts *testscript.TestScript, _ bool, args []string) {
	_, err := io.WriteString(ts.Stdout(), <-ts.Value(callsKey).(calls)[args[0]])
	ts.Check(err)
}

// request returns a function that sends a call and tells its end.
func request(ts *testscript.TestScript, args []string) func() string {
	var body []byte
	header := http.Header{}
	for _, a := range args[2:] {
		if file, ok := strings.CutPrefix(a, "@"); ok {
			body = []byte(ts.ReadFile(file))
			continue
		}
		name, value, _ := strings.Cut(a, ":")
		header.Set(name, value)
	}
	return func() string {
		ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, args[0], args[1], bytes.NewReader(body))
		if err != nil {
			return err.Error()
		}
		q.Header = header
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			return "no answer: " + err.Error() + "\n"
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		if err != nil {
			return "answer cut off: " + err.Error() + "\n"
		}
		return fmt.Sprintf("%d %s\n%s\n", res.StatusCode, res.Header.Get("Pinerun-Outcome"), text)
	}
}

// shortDeadline is what a scenario waits at most for a refusal at the deadline.
const shortDeadline = 1500 * time.Millisecond

func setTime(ts *testscript.TestScript, name string, ahead time.Duration) {
	ts.Setenv(name, time.Now().Add(ahead).UTC().Format(time.RFC3339Nano))
}

var planPattern = regexp.MustCompile(`p-[0-9a-f]{12}`)

func planID(ts *testscript.TestScript, _ bool, args []string) {
	id := planPattern.FindString(ts.ReadFile(args[0]))
	if id == "" {
		ts.Fatalf("no plan was printed")
	}
	ts.Setenv(args[1], id)
}

var leasePattern = regexp.MustCompile(`"holder":"(e[12])","epoch":(\d+)`)

// holder freezes whoever holds the lease, and looks again: another entry may have taken it
// meanwhile.
func holder(ts *testscript.TestScript, _ bool, args []string) {
	ask := request(ts, []string{http.MethodGet, "http://127.0.0.1:" + ts.Getenv("PLATFORM") + "/objects/lease/director"})
	for end := time.Now().Add(awaitLimit); ; time.Sleep(awaitPause) {
		lease := leasePattern.FindStringSubmatch(ask())
		if lease == nil {
			ts.Check(lateBy(end))
			continue
		}
		held, other := args[0], "O2"
		if lease[1] == "e2" {
			held, other = args[1], "O1"
		}
		signalTo(ts, held, syscall.SIGSTOP)
		if again := leasePattern.FindStringSubmatch(ask()); again != nil && again[0] == lease[0] {
			ts.Setenv("HOLDER", held)
			ts.Setenv("OTHER", ts.Getenv(other))
			ts.Setenv("EPOCH", lease[2])
			return
		}
		signalTo(ts, held, syscall.SIGCONT)
		ts.Check(lateBy(end))
	}
}

// lateBy returns an error once the lease has had no steady holder until a time.
func lateBy(end time.Time) error {
	if time.Now().After(end) {
		return errors.New("the lease has no holder that stays")
	}
	return nil
}

func signalTo(ts *testscript.TestScript, number string, s os.Signal) {
	n, err := strconv.Atoi(number)
	ts.Check(err)
	p := ts.BackgroundCmds()[n-1].Process
	ts.Check(p.Signal(s))
	if s == syscall.SIGSTOP {
		// A step that fails meanwhile ends the scenario, which waits for its processes before
		// it prints what they wrote: one that stands still would never end.
		ts.Defer(func() { _ = p.Signal(syscall.SIGCONT) })
	}
}

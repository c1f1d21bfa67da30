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

// TestScenarios runs each scenario with real processes. The scenarios use these commands
// besides those of testscript:
//
//	ports A B            set variables to free ports, each with the next one free
//	expand FILE          replace $VARIABLES in a file
//	await URL            wait until the URL answers 200
//	call METHOD URL [HEADER:VALUE...] [@FILE]
//	                     send a request; print status, Pinerun-Outcome and body
//	ask METHOD URL...    send the same request; set REQUEST to the request's id
//	begin NAME METHOD... send the same request in the background
//	end NAME             wait for a background request and print what call prints
//	today A              set a variable to the current date in UTC
//	now A, deadline A    set a variable to the current time, or to a time soon after
//	until PATTERN URL    repeat an operator's call until its response matches
//	planid stdout A      set a variable to the id of the plan printed last
//	above A PATTERN URL  repeat an operator's call until its response has a number, the
//	                     pattern's group, above that of a variable
//	holder N M           freeze the background process, N for entry e1 and M for e2, that
//	                     holds the director's lease; set HOLDER to its number, OTHER to
//	                     the other entry's port, and EPOCH to the lease's epoch
//	freeze N, thaw N     send SIGSTOP or SIGCONT to the N-th background process
func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs("examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scenarios",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Values[backgroundCallsKey] = backgroundCalls{}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":  setPorts,
			"expand": expandFile,
			"await":  waitForStatus,
			"call":   callAndPrint,
			"begin":  beginCall,
			"end":    endCall,
			"until":  waitForAnswer,
			"above":  waitForLargerNumber,
			"holder": freezeLeaseHolder,
			"ask":    callForID,
			"today": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Setenv(args[0], time.Now().UTC().Format("20060102"))
			},
			"planid": planID,
			"now":    func(ts *testscript.TestScript, _ bool, args []string) { setTime(ts, args[0], 0) },
			"deadline": func(ts *testscript.TestScript, _ bool, args []string) {
				setTime(ts, args[0], refusalDeadline)
			},
			"freeze": func(ts *testscript.TestScript, _ bool, args []string) { signalProcess(ts, args[0], syscall.SIGSTOP) },
			"thaw":   func(ts *testscript.TestScript, _ bool, args []string) { signalProcess(ts, args[0], syscall.SIGCONT) },
		},
	})
}

// backgroundCalls holds the background requests of a scenario by name. Each channel receives
// the printed response.
type backgroundCalls map[string]chan string

const backgroundCallsKey = "calls"

// setPorts implements the command ports.
func setPorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		ts.Setenv(name, strconv.Itoa(platformtest.FreePort()))
	}
}

// expandFile implements the command expand.
func expandFile(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

const (
	pollTimeout  = time.Minute
	pollInterval = 10 * time.Millisecond
)

// waitForStatus implements the command await. Negated, it waits until the URL does not answer
// 200.
func waitForStatus(ts *testscript.TestScript, neg bool, urls []string) {
	for _, url := range urls {
		for deadline := time.Now().Add(pollTimeout); ; time.Sleep(pollInterval) {
			res, err := http.Get(url)
			if err == nil {
				_ = res.Body.Close()
			}
			if (err == nil && res.StatusCode == http.StatusOK) != neg {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("%s: not in the expected state: %v", url, err)
			}
		}
	}
}

// waitForAnswer implements the command until.
func waitForAnswer(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	pollOperator(ts, args[1], pattern.MatchString)
}

// waitForLargerNumber implements the command above.
func waitForLargerNumber(ts *testscript.TestScript, _ bool, args []string) {
	lowerBound, err := strconv.Atoi(ts.Getenv(args[0]))
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	pollOperator(ts, args[2], func(response string) bool {
		for _, m := range pattern.FindAllStringSubmatch(response, -1) {
			if n, err := strconv.Atoi(m[1]); err == nil && n > lowerBound {
				return true
			}
		}
		return false
	})
}

// pollOperator repeats an operator's call until its response is accepted.
func pollOperator(ts *testscript.TestScript, url string, accepted func(response string) bool) {
	call := newCall(ts, []string{http.MethodGet, url, "Authorization:Bearer " + ts.Getenv("PINERUN_OPERATOR_KEY")})
	for deadline := time.Now().Add(pollTimeout); ; time.Sleep(pollInterval) {
		answer := call()
		if accepted(answer) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no accepted response within the time limit; the last one: %s", answer)
		}
	}
}

// callAndPrint implements the command call.
func callAndPrint(ts *testscript.TestScript, _ bool, args []string) {
	_, err := io.WriteString(ts.Stdout(), newCall(ts, args)())
	ts.Check(err)
}

var idPattern = regexp.MustCompile(`r-[0-9a-f]{16}`)

// callForID implements the command ask.
func callForID(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv("REQUEST", idPattern.FindString(newCall(ts, args)()))
}

// beginCall implements the command begin.
func beginCall(ts *testscript.TestScript, _ bool, args []string) {
	done := make(chan string, 1)
	call := newCall(ts, args[1:])
	go func() { done <- call() }()
	ts.Value(backgroundCallsKey).(backgroundCalls)[args[0]] = done
}

// endCall implements the command end.
func endCall(ts *testscript.TestScript, _ bool, args []string) {
	_, err := io.WriteString(ts.Stdout(), <-ts.Value(backgroundCallsKey).(backgroundCalls)[args[0]])
	ts.Check(err)
}

// newCall returns a function that sends a request and returns its response, or its failure,
// as text.
func newCall(ts *testscript.TestScript, args []string) func() string {
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
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, args[0], args[1], bytes.NewReader(body))
		if err != nil {
			return err.Error()
		}
		req.Header = header
		res, err := http.DefaultClient.Do(req)
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

// refusalDeadline is the time to the deadline of a request that is refused at its deadline.
const refusalDeadline = 1500 * time.Millisecond

// setTime sets a variable to the current time plus an offset.
func setTime(ts *testscript.TestScript, name string, offset time.Duration) {
	ts.Setenv(name, time.Now().Add(offset).UTC().Format(time.RFC3339Nano))
}

var planPattern = regexp.MustCompile(`p-[0-9a-f]{12}`)

// planID implements the command planid.
func planID(ts *testscript.TestScript, _ bool, args []string) {
	id := planPattern.FindString(ts.ReadFile(args[0]))
	if id == "" {
		ts.Fatalf("no plan was printed")
	}
	ts.Setenv(args[1], id)
}

var leasePattern = regexp.MustCompile(`"holder":"(e[12])","epoch":(\d+)`)

// freezeLeaseHolder freezes the process that holds the lease, then reads the lease again. If
// another entry acquired it in the meantime, freezeLeaseHolder resumes the process and retries.
func freezeLeaseHolder(ts *testscript.TestScript, _ bool, args []string) {
	readLease := newCall(ts, []string{http.MethodGet, "http://127.0.0.1:" + ts.Getenv("PLATFORM") + "/objects/lease/director"})
	for deadline := time.Now().Add(pollTimeout); ; time.Sleep(pollInterval) {
		lease := leasePattern.FindStringSubmatch(readLease())
		if lease == nil {
			ts.Check(checkDeadline(deadline))
			continue
		}
		holder, other := args[0], "O2"
		if lease[1] == "e2" {
			holder, other = args[1], "O1"
		}
		signalProcess(ts, holder, syscall.SIGSTOP)
		if again := leasePattern.FindStringSubmatch(readLease()); again != nil && again[0] == lease[0] {
			ts.Setenv("HOLDER", holder)
			ts.Setenv("OTHER", ts.Getenv(other))
			ts.Setenv("EPOCH", lease[2])
			return
		}
		signalProcess(ts, holder, syscall.SIGCONT)
		ts.Check(checkDeadline(deadline))
	}
}

// checkDeadline returns an error after the time until which the lease must have a stable
// holder.
func checkDeadline(deadline time.Time) error {
	if time.Now().After(deadline) {
		return errors.New("the lease has no stable holder")
	}
	return nil
}

// signalProcess sends a signal to the background process with this number.
func signalProcess(ts *testscript.TestScript, number string, s os.Signal) {
	n, err := strconv.Atoi(number)
	ts.Check(err)
	p := ts.BackgroundCmds()[n-1].Process
	ts.Check(p.Signal(s))
	if s == syscall.SIGSTOP {
		// If a later step fails, testscript waits for the scenario's processes before it
		// prints their output. A frozen process would never exit, so it is resumed.
		ts.Defer(func() { _ = p.Signal(syscall.SIGCONT) })
	}
}

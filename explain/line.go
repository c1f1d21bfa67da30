// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Line is a log line with the fields that this package uses.
type Line struct {
	Time        time.Time `json:"time"`
	Event       int       `json:"event"`
	Entry       string    `json:"entry"`
	Request     string    `json:"request"`
	Kind        string    `json:"kind"`
	Message     string    `json:"message"`
	Cause       string    `json:"cause"`
	Reason      string    `json:"reason"`
	Path        string    `json:"path"`
	Endpoint    string    `json:"endpoint"`
	Runner      string    `json:"runner"`
	AtFault     string    `json:"at_fault"`
	Status      int       `json:"status"`
	Attempt     int       `json:"attempt"`
	Events      int       `json:"events"`
	Sends       int       `json:"sends"`
	TookMS      int64     `json:"took_ms"`
	FirstMS     int64     `json:"first_ms"`
	PauseMS     int64     `json:"pause_ms"`
	SilentMS    int64     `json:"silent_ms"`
	HeldMS      int64     `json:"held_ms"`
	ConfirmedMS int64     `json:"confirmed_ms"`
	Routing     uint64    `json:"routing"`
	Lines       int64     `json:"lines"`
	Call        string    `json:"call"`
	Objects     string    `json:"objects"`
	Fingerprint string    `json:"fingerprint"`

	text string
}

// String returns the line as it was read.
func (l *Line) String() string { return l.text }

// maxLineBytes limits the length of a line.
const maxLineBytes = 1 << 20

// Read returns the log lines of a reader. It skips lines without JSON, and any text before the
// JSON of a line, such as the prefix of a log collector.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var lines []Line
	for s.Scan() {
		_, rest, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		l := Line{text: "{" + rest}
		if err := json.Unmarshal([]byte(l.text), &l); err != nil || l.Event == 0 {
			continue
		}
		lines = append(lines, l)
	}
	if errors.Is(s.Err(), bufio.ErrTooLong) {
		return lines, fmt.Errorf("a line is longer than %d bytes; is this a log of pinerun?", maxLineBytes)
	}
	return lines, s.Err()
}

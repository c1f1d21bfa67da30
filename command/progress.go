// SPDX-License-Identifier: Apache-2.0

package command

import (
	"fmt"
	"os"
	"time"
)

// progressInterval is the minimum time between two updates of the progress line.
const progressInterval = 200 * time.Millisecond

// progress returns a function that updates a progress line, or nil if the error stream is
// not a terminal.
func (o *output) progress() func(done, total int) {
	f, ok := o.err.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var lastDraw time.Time
	return func(done, total int) {
		now := time.Now()
		if now.Sub(lastDraw) < progressInterval && done < total {
			return
		}
		lastDraw = now
		fmt.Fprintf(o.err, "\r%d of %d requests", done, total)
		if done == total {
			fmt.Fprintln(o.err)
		}
	}
}

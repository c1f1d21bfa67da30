// SPDX-License-Identifier: Apache-2.0

package command

import (
	"fmt"
	"os"
	"time"
)

// progressEvery is how often a progress line is drawn anew.
const progressEvery = 200 * time.Millisecond

// progress returns a function that draws one line on a terminal, and draws
// nothing anywhere else.
func (o *output) progress() func(done, total int) {
	f, ok := o.err.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var drawn time.Time
	return func(done, total int) {
		now := time.Now()
		if now.Sub(drawn) < progressEvery && done < total {
			return
		}
		drawn = now
		fmt.Fprintf(o.err, "\r%d of %d requests", done, total)
		if done == total {
			fmt.Fprintln(o.err)
		}
	}
}

// SPDX-License-Identifier: Apache-2.0

package scheduling

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// account is what the kernel accounts for the threads of this process.
type account struct {
	ran    time.Duration // on a processor
	waited time.Duration // runnable, but waiting for a processor, added up over the threads
}

// accountFiles matches the kernel's accounts of this process's threads. Each holds the time on a
// processor and the wait for one, in nanoseconds. On a system without them every account is zero.
const accountFiles = "/proc/self/task/*/schedstat"

// readAccount returns the account of all threads.
func readAccount() account {
	var total account
	files, err := filepath.Glob(accountFiles)
	if err != nil {
		return total
	}
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(content), &ran, &waited); err != nil {
			continue
		}
		total.ran += time.Duration(ran)
		total.waited += time.Duration(waited)
	}
	return total
}

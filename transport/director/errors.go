// SPDX-License-Identifier: Apache-2.0

package director

import "fmt"

// Misdirected says that an order met another process than the engine that it is for.
type Misdirected struct {
	Address string
	Owner   string // ID of the process, "" if it did not tell
}

func (e *Misdirected) Error() string {
	return fmt.Sprintf("at %s answers %q and not the engine; decide again from the records in use", e.Address, e.Owner)
}

// SPDX-License-Identifier: Apache-2.0

package director

import "fmt"

// Misdirected reports that another process than the intended engine answered an order.
type Misdirected struct {
	Address string
	Owner   string // endpoint ID of the process that answered, "" if it sent none
}

// Error names the address and the process that answered, and the remedy.
func (e *Misdirected) Error() string {
	return fmt.Sprintf("%q answers at %s instead of the engine; plan again from the current endpoint records", e.Owner, e.Address)
}

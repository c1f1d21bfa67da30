// SPDX-License-Identifier: Apache-2.0

// Package scheduling tells how late this process runs.
//
// A process that was not run for two seconds, and one whose calls were lost for two seconds, both see
// two seconds of silence. A Monitor tells them apart: its own loop wakes late only in the first case.
// What the kernel accounts for the process says why:
//
//	m := &scheduling.Monitor{Counters: counters, Logger: logger}
//	m.Start()
//	if m.LateSince(asked) { ... } // the silence may be this process's own
package scheduling

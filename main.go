// SPDX-License-Identifier: Apache-2.0

// Command pinerun routes requests through model pipelines whose layers are split over
// different kinds of accelerators. See README.md.
package main

import (
	"os"

	"pinerun.example/pinerun/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

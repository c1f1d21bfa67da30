// SPDX-License-Identifier: Apache-2.0

// Command pinerun is a router that carries requests through model pipelines
// split over mixed accelerators. See README.md.
package main

import (
	"os"

	"pinerun.example/pinerun/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

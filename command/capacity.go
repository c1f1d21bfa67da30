// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/capacity"
)

// capacityCommand extrapolates the costs at the planned size from measured points.
type capacityCommand struct {
	docs  string
	write bool
}

func (c *capacityCommand) define() *flaggy.Subcommand {
	c.docs = "docs"
	s := flaggy.NewSubcommand("capacity")
	s.Description = "Work out the costs at the planned size from docs/capacity/points.csv"
	s.String(&c.docs, "d", "docs", "the directory that holds CAPACITY.md and capacity/points.csv")
	s.Bool(&c.write, "w", "write", "write the tables into CAPACITY.md and the pictures beside the points")
	return s
}

func (c *capacityCommand) run(_ context.Context, o *output) int {
	file, err := os.Open(filepath.Join(c.docs, "capacity", "points.csv"))
	if err != nil {
		return o.fail(exitUsage, fmt.Errorf("the points can't be read: %w; check -docs", err))
	}
	defer func() { _ = file.Close() }() // the file was opened for reading only
	points, err := capacity.Read(file)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	fits, err := capacity.FitAll(points)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if !c.write {
		fmt.Fprint(o.out, capacity.Tables(fits))
		return exitOK
	}
	if err := c.update(fits); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitOK
}

// update replaces the tables between the markers in CAPACITY.md and draws the plots.
func (c *capacityCommand) update(fits *capacity.Fits) error {
	name := filepath.Join(c.docs, "CAPACITY.md")
	page, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	before, rest, foundBegin := strings.Cut(string(page), capacity.BeginMarker+"\n")
	_, after, foundEnd := strings.Cut(rest, capacity.EndMarker)
	if !foundBegin || !foundEnd {
		return errors.New("CAPACITY.md has no marks; put back the lines " + capacity.BeginMarker + " and " + capacity.EndMarker)
	}
	text := before + capacity.BeginMarker + "\n" + capacity.Tables(fits) + capacity.EndMarker + after
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		return err
	}
	return capacity.Plot(fits, filepath.Join(c.docs, "capacity"))
}

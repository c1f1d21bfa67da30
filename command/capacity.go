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

// capacityVerb works out the planned size's costs from measured points.
type capacityVerb struct {
	docs  string
	write bool
}

func (v *capacityVerb) define() *flaggy.Subcommand {
	v.docs = "docs"
	s := flaggy.NewSubcommand("capacity")
	s.Description = "Work out the costs at the planned size from docs/capacity/points.csv"
	s.String(&v.docs, "d", "docs", "the directory that holds CAPACITY.md and capacity/points.csv")
	s.Bool(&v.write, "w", "write", "write the tables into CAPACITY.md and the pictures beside the points")
	return s
}

func (v *capacityVerb) run(_ context.Context, o *output) int {
	file, err := os.Open(filepath.Join(v.docs, "capacity", "points.csv"))
	if err != nil {
		return o.fail(exitUsage, fmt.Errorf("the points can't be read: %w; check -docs", err))
	}
	defer func() { _ = file.Close() }() // it was only read
	points, err := capacity.Read(file)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	fits, err := capacity.FitAll(points)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if !v.write {
		fmt.Fprint(o.out, capacity.Tables(fits))
		return exitGood
	}
	if err := v.update(fits); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitGood
}

func (v *capacityVerb) update(fits *capacity.Fits) error {
	name := filepath.Join(v.docs, "CAPACITY.md")
	page, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	before, rest, begun := strings.Cut(string(page), capacity.BeginMarker+"\n")
	_, after, ended := strings.Cut(rest, capacity.EndMarker)
	if !begun || !ended {
		return errors.New("CAPACITY.md has no marks; put back the lines " + capacity.BeginMarker + " and " + capacity.EndMarker)
	}
	text := before + capacity.BeginMarker + "\n" + capacity.Tables(fits) + capacity.EndMarker + after
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		return err
	}
	return capacity.Plot(fits, filepath.Join(v.docs, "capacity"))
}

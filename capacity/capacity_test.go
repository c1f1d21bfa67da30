// SPDX-License-Identifier: Apache-2.0

package capacity_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/capacity"
)

// readFits fits the points of docs/capacity/points.csv.
func readFits(t *testing.T) *capacity.Fits {
	file, err := os.Open(filepath.Join("..", "docs", "capacity", "points.csv"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }() // the file was opened for reading only
	points, err := capacity.Read(file)
	require.NoError(t, err)
	f, err := capacity.FitAll(points)
	require.NoError(t, err)
	return f
}

// TestDocumentedTablesMatchPoints computes the tables from the measured points and compares
// them with docs/CAPACITY.md. It fails if the points or the computation change without the
// page.
func TestDocumentedTablesMatchPoints(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "CAPACITY.md"))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), capacity.BeginMarker+"\n")
	require.True(t, found)
	tables, _, found := strings.Cut(rest, capacity.EndMarker)
	require.True(t, found)
	require.Equal(t, capacity.Tables(readFits(t)), tables, "run: pinerun capacity -write")
}

func TestEverySlopeHasPlot(t *testing.T) {
	for _, s := range capacity.Slopes() {
		require.FileExists(t, filepath.Join("..", "docs", "capacity", s.ID()+".svg"))
	}
}

func TestFitRecoversLine(t *testing.T) {
	points := map[string][]capacity.Point{}
	for _, s := range capacity.Slopes() {
		got, err := capacity.Read(strings.NewReader("slope,x,y\n" + s.ID() + ",1,5\n" + s.ID() + ",2,7\n" + s.ID() + ",4,11\n"))
		require.NoError(t, err)
		points[s.ID()] = got[s.ID()]
	}
	f, err := capacity.FitAll(points)
	require.NoError(t, err)
	require.InDelta(t, 23, f.ByID("choose_us").At(10), 1e-9)
}

func TestInvalidPointsAreReported(t *testing.T) {
	for _, text := range []string{"slope,x,y\nchoose_us,one,2\n", "slope,x,y\n\"", "slope,x,y\n"} {
		points, err := capacity.Read(strings.NewReader(text))
		if err == nil {
			_, err = capacity.FitAll(points)
		}
		var bad *capacity.PointsError
		require.ErrorAs(t, err, &bad)
	}
}

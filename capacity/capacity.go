// SPDX-License-Identifier: Apache-2.0

// Package capacity extrapolates the costs of pinerun at its planned size from
// measurements at smaller sizes. It fits a straight line to the measurements of
// each cost and adds up the costs that share a budget.
//
//	points, err := capacity.Read(file)
//	fits, err := capacity.FitAll(points)
//	fmt.Print(capacity.Tables(fits)) // the tables of docs/CAPACITY.md
package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a slope: the cost y at the size x.
type Point struct{ x, y float64 }

// X returns the size at which the cost was measured.
func (p Point) X() float64 { return p.x }

// Y returns the measured cost.
func (p Point) Y() float64 { return p.y }

// Slope describes a cost that grows linearly with a size, such as the number of runners.
type Slope struct {
	id        string
	benchmark string // the command that reproduces the points
	xUnit     string
	yUnit     string
	planned   float64 // the size to design for
}

// ID returns the slope's name in the CSV file of points.
func (s Slope) ID() string { return s.id }

// Commands that reproduce the points of several slopes.
const (
	overheadCommand = "load on examples/overhead.jsonc at 10 to 80 requests/s, processor time from /debug/vars"
	spreadCommand   = "go test -run xxx -bench Spread -benchtime 10x ./transport/follow"
	claimsCommand   = "go test -run xxx -bench Claims -benchtime 4000x ./transport/claims"
	viewCommand     = "go test -run xxx -bench View -benchtime 20x ./state/fleet"
	buildCommand    = "go test -run xxx -bench Build ./state/config"
)

// Slopes returns every slope in the order of the tables.
func Slopes() []Slope {
	return []Slope{
		{"entry_cores", overheadCommand, "tokens/s", "cores", tokensPerSecondPerEntry},
		{"choose_us", "go test -run xxx -bench Choose ./coordination/path", "runners compared", "µs", spansPerModel * runnersPerSpan},
		{"admit_us", "go test -run xxx -bench Offer ./coordination/admit", "teams waiting", "µs", teamCount},
		{"claim_writes", claimsCommand, "claims/s", "writes/s", claimWritesPerSecond},
		{"claim_heap", "go test -run xxx -bench Keys -benchtime 1x ./coordination/claim", "keys", "B", keysPerShard},
		{"takeover_ms", "go test -run xxx -bench Takeover -benchtime 3x ./transport/claims", "batches", "ms", retainedBatches},
		{"spread_p99_ms", spreadCommand, "entries", "ms", entryCount},
		{"change_bytes", spreadCommand, "entries", "B/entry", entryCount},
		{"beat_bytes", spreadCommand, "entries", "B/s/entry", entryCount},
		{"reads_per_change", spreadCommand, "entries", "reads", entryCount},
		{"config_ms", buildCommand, "teams", "ms", teamCount},
		{"config_heap", buildCommand, "teams", "B", teamCount},
		{"fleet_heap", viewCommand, "runners", "B", runnerCount},
		{"view_ms", viewCommand, "runners", "ms", runnerCount},
		{"view_heap", viewCommand, "runners", "B", runnerCount},
		{"story_heap", "go test -run xxx -bench Log -benchtime 1x ./state/trace", "stories", "B", retainedTraces},
		{"report_us", "go test -run xxx -bench Report ./transport/engine", "reports", "µs", 1},
		{"report_bytes", "go test -run xxx -bench Report ./transport/engine", "reports", "B", 1},
		{"beat_us", "go test -run xxx -bench Beat ./protocol", "heartbeats", "µs", 1},
		{"beat_frame_bytes", "go test -run xxx -bench Beat ./protocol", "heartbeats", "B", 1},
	}
}

// Fit is the straight line fitted to a slope's points: y = intercept + gradient·x.
// With a single point the line goes through the origin.
type Fit struct {
	slope     Slope
	points    []Point
	intercept float64
	gradient  float64
	rSquared  float64 // R², the fraction of the variance that the line explains
}

// At returns the cost at the size x.
func (f *Fit) At(x float64) float64 { return f.intercept + f.gradient*x }

// Planned returns the cost at the planned size.
func (f *Fit) Planned() float64 { return f.At(f.slope.planned) }

// Points returns the measurements. The caller must not change the slice.
func (f *Fit) Points() []Point { return f.points }

// Fits holds the fitted line of every slope.
type Fits struct{ byID map[string]*Fit }

// ByID returns the fit of the slope with this ID, which must be one of Slopes.
func (f *Fits) ByID(id string) *Fit { return f.byID[id] }

// PointsError reports an invalid or incomplete file of points.
type PointsError struct{ problem string }

// Error returns the problem and its remedy.
func (e *PointsError) Error() string {
	return "points: " + e.problem + "; give lines of slope,x,y with every slope of 'pinerun capacity'"
}

// Read reads a CSV file of points with the columns slope, x and y. It returns the points by
// the ID of their slope. The first line is a header.
func Read(r io.Reader) (map[string][]Point, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, &PointsError{problem: err.Error()}
	}
	points := map[string][]Point{}
	for i, row := range rows {
		if i == 0 || len(row) != 3 {
			continue
		}
		x, errX := strconv.ParseFloat(row[1], 64)
		y, errY := strconv.ParseFloat(row[2], 64)
		if errX != nil || errY != nil {
			return nil, &PointsError{problem: fmt.Sprintf("line %d holds no numbers", i+1)}
		}
		points[row[0]] = append(points[row[0]], Point{x: x, y: y})
	}
	return points, nil
}

// FitAll fits a line to the points of every slope. It fails with a PointsError if a slope
// has no points.
func FitAll(points map[string][]Point) (*Fits, error) {
	fits := &Fits{byID: map[string]*Fit{}}
	for _, s := range Slopes() {
		f, err := fitLine(s, points[s.id])
		if err != nil {
			return nil, err
		}
		fits.byID[s.id] = f
	}
	return fits, nil
}

// fitLine fits the line by linear regression.
func fitLine(s Slope, points []Point) (*Fit, error) {
	f := &Fit{slope: s, points: points}
	switch len(points) {
	case 0:
		return nil, &PointsError{problem: "slope " + s.id + " has no points"}
	case 1:
		f.gradient = points[0].y / points[0].x
		f.rSquared = 1
		return f, nil
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.x, p.y
	}
	f.intercept, f.gradient = stat.LinearRegression(xs, ys, nil, false)
	f.rSquared = stat.RSquared(xs, ys, nil, f.intercept, f.gradient)
	return f, nil
}

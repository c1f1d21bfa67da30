// SPDX-License-Identifier: Apache-2.0

// Package capacity works out what pinerun costs at its planned size from points
// that were measured at smaller ones.
//
//	points, err := capacity.Read(file)
//	fits, err := capacity.FitAll(points)
//	fmt.Print(capacity.Page(fits)) // the tables of docs/CAPACITY.md
package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a slope.
type Point struct{ x, y float64 }

// X returns the size measured at.
func (p Point) X() float64 { return p.x }

// Y returns what was measured.
func (p Point) Y() float64 { return p.y }

// Slope is a cost that grows with a size. Planned is the size to design for.
type Slope struct {
	id      string
	command string
	xUnit   string
	yUnit   string
	planned float64
}

// ID returns the slope's name in the file of points.
func (s Slope) ID() string { return s.id }

// The commands that reproduce the points.
const (
	overheadRun = "load on examples/overhead.jsonc at 10 to 80 requests/s, processor time from /debug/vars"
	spreadRun   = "go test -run xxx -bench Spread -benchtime 10x ./transport/follow"
	claimsRun   = "go test -run xxx -bench Claims -benchtime 4000x ./transport/claims"
	viewRun     = "go test -run xxx -bench View -benchtime 20x ./state/fleet"
	buildRun    = "go test -run xxx -bench Build ./state/config"
)

// Slopes returns every slope, in the order of the page.
func Slopes() []Slope {
	return []Slope{
		{"entry_cores", overheadRun, "tokens/s", "cores", tokensPerNode},
		{"choose_us", "go test -run xxx -bench Choose ./coordination/path", "runners compared", "µs", spansPerModel * subset},
		{"admit_us", "go test -run xxx -bench Offer ./coordination/admit", "teams waiting", "µs", teams},
		{"claim_writes", claimsRun, "claims/s", "writes/s", claimRecords},
		{"claim_heap", "go test -run xxx -bench Keys -benchtime 1x ./coordination/claim", "keys", "B", keysPerShard},
		{"takeover_ms", "go test -run xxx -bench Takeover -benchtime 3x ./transport/claims", "batches", "ms", batchesKept},
		{"spread_p99_ms", spreadRun, "entries", "ms", nodes},
		{"change_bytes", spreadRun, "entries", "B/entry", nodes},
		{"beat_bytes", spreadRun, "entries", "B/s/entry", nodes},
		{"reads_per_change", spreadRun, "entries", "reads", nodes},
		{"config_ms", buildRun, "teams", "ms", teams},
		{"config_heap", buildRun, "teams", "B", teams},
		{"fleet_heap", viewRun, "runners", "B", runners},
		{"view_ms", viewRun, "runners", "ms", runners},
		{"view_heap", viewRun, "runners", "B", runners},
		{"story_heap", "go test -run xxx -bench Log -benchtime 1x ./state/trace", "stories", "B", storiesKept},
		{"report_us", "go test -run xxx -bench Report ./transport/engine", "reports", "µs", 1},
		{"report_bytes", "go test -run xxx -bench Report ./transport/engine", "reports", "B", 1},
		{"beat_us", "go test -run xxx -bench Beat ./protocol", "heartbeats", "µs", 1},
		{"beat_frame_bytes", "go test -run xxx -bench Beat ./protocol", "heartbeats", "B", 1},
	}
}

// Fit is the straight line through a slope's points: y = base + each·x. With a
// single point the line goes through the origin.
type Fit struct {
	slope  Slope
	points []Point
	base   float64
	each   float64
	spread float64 // R², the part of the variation that the line explains
}

// At returns the cost at a size.
func (f *Fit) At(x float64) float64 { return f.base + f.each*x }

// Planned returns the cost at the planned size.
func (f *Fit) Planned() float64 { return f.At(f.slope.planned) }

// Points returns the measurements. The caller must not change the slice.
func (f *Fit) Points() []Point { return f.points }

// Fits holds the fit of every slope.
type Fits struct{ byID map[string]*Fit }

// ByID returns the fit of a slope that Slopes lists.
func (f *Fits) ByID(id string) *Fit { return f.byID[id] }

// PointsError is the error for a file of points that can't be used.
type PointsError struct{ what string }

// Error tells what is wrong and the remedy.
func (b *PointsError) Error() string {
	return "points: " + b.what + "; give lines of slope,x,y with every slope of 'pinerun capacity'"
}

// Read reads a CSV file of points with the columns slope, x and y.
func Read(r io.Reader) (map[string][]Point, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, &PointsError{what: err.Error()}
	}
	points := map[string][]Point{}
	for i, row := range rows {
		if i == 0 || len(row) != 3 {
			continue
		}
		x, errX := strconv.ParseFloat(row[1], 64)
		y, errY := strconv.ParseFloat(row[2], 64)
		if errX != nil || errY != nil {
			return nil, &PointsError{what: fmt.Sprintf("line %d holds no numbers", i+1)}
		}
		points[row[0]] = append(points[row[0]], Point{x: x, y: y})
	}
	return points, nil
}

// FitAll fits every slope.
func FitAll(points map[string][]Point) (*Fits, error) {
	fits := &Fits{byID: map[string]*Fit{}}
	for _, s := range Slopes() {
		f, err := fit(s, points[s.id])
		if err != nil {
			return nil, err
		}
		fits.byID[s.id] = f
	}
	return fits, nil
}

func fit(s Slope, points []Point) (*Fit, error) {
	f := &Fit{slope: s, points: points}
	switch len(points) {
	case 0:
		return nil, &PointsError{what: "slope " + s.id + " has no points"}
	case 1:
		f.each = points[0].y / points[0].x
		f.spread = 1
		return f, nil
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.x, p.y
	}
	f.base, f.each = stat.LinearRegression(xs, ys, nil, false)
	f.spread = stat.RSquared(xs, ys, nil, f.base, f.each)
	return f, nil
}

// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"fmt"
	"strings"
)

// Marker lines in docs/CAPACITY.md. The text between them is the result of Tables.
const (
	BeginMarker = "<!-- from here: pinerun capacity -->"
	EndMarker   = "<!-- to here -->"
)

// Tables returns the tables of slopes and budgets, and the benchmark commands, as Markdown.
func Tables(f *Fits) string {
	var b strings.Builder
	b.WriteString("| slope | measured at | fit | R² | planned size | there |\n|---|---|---|---|---|---|\n")
	for _, s := range Slopes() {
		fit := f.ByID(s.id)
		fmt.Fprintf(&b, "| [%s](capacity/%s.svg) | %s %s | %s + %s·x %s | %.3f | %s %s | %s %s |\n",
			s.id, s.id, formatSizes(fit.points), s.xUnit, formatNumber(fit.intercept), formatNumber(fit.gradient), s.yUnit, fit.rSquared,
			formatNumber(s.planned), s.xUnit, formatNumber(fit.Planned()), s.yUnit)
	}
	for _, budget := range Budgets(f) {
		fmt.Fprintf(&b, "\n| %s | %s | worked out from |\n|---|---|---|\n", budget.name, budget.unit)
		for _, item := range budget.items {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", item.name, formatNumber(item.amount), item.formula)
		}
		verdict := "fits"
		if !budget.WithinLimit() {
			verdict = "**does not fit**"
		}
		fmt.Fprintf(&b, "| **total** | **%s** | budget %s: %s |\n", formatNumber(budget.Total()), formatNumber(budget.limit), verdict)
	}
	b.WriteString("\nThe commands:\n\n")
	printed := map[string]bool{}
	for _, s := range Slopes() {
		if !printed[s.benchmark] {
			fmt.Fprintf(&b, "- `%s`\n", s.benchmark)
		}
		printed[s.benchmark] = true
	}
	return b.String()
}

// formatSizes lists the sizes of the points, without repeating equal neighbours.
func formatSizes(points []Point) string {
	var xs []string
	for _, p := range points {
		if x := formatNumber(p.x); len(xs) == 0 || xs[len(xs)-1] != x {
			xs = append(xs, x)
		}
	}
	return strings.Join(xs, ", ")
}

// formatNumber writes integers in full, rounds numbers of magnitude 1000 and above to
// integers, and formats all others with three significant digits.
func formatNumber(x float64) string {
	switch {
	case x == float64(int64(x)):
		return fmt.Sprintf("%d", int64(x))
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}

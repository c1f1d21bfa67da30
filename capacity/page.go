// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"fmt"
	"strings"
)

// Marks between which docs/CAPACITY.md holds what Page returns.
const (
	BeginMarker = "<!-- from here: pinerun capacity -->"
	EndMarker   = "<!-- to here -->"
)

// Tables returns the tables of slopes and sums as Markdown.
func Tables(f *Fits) string {
	var b strings.Builder
	b.WriteString("| slope | measured at | fit | R² | planned size | there |\n|---|---|---|---|---|---|\n")
	for _, s := range Slopes() {
		x := f.ByID(s.id)
		fmt.Fprintf(&b, "| [%s](capacity/%s.svg) | %s %s | %s + %s·x %s | %.3f | %s %s | %s %s |\n",
			s.id, s.id, sizes(x.points), s.xUnit, number(x.base), number(x.each), s.yUnit, x.spread,
			number(s.planned), s.xUnit, number(x.Planned()), s.yUnit)
	}
	for _, s := range Budgets(f) {
		fmt.Fprintf(&b, "\n| %s | %s | worked out from |\n|---|---|---|\n", s.name, s.unit)
		for _, i := range s.items {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", i.name, number(i.amount), i.how)
		}
		verdict := "fits"
		if !s.WithinLimit() {
			verdict = "**does not fit**"
		}
		fmt.Fprintf(&b, "| **total** | **%s** | budget %s: %s |\n", number(s.Total()), number(s.budget), verdict)
	}
	b.WriteString("\nThe commands:\n\n")
	told := map[string]bool{}
	for _, s := range Slopes() {
		if !told[s.command] {
			fmt.Fprintf(&b, "- `%s`\n", s.command)
		}
		told[s.command] = true
	}
	return b.String()
}

func sizes(points []Point) string {
	var xs []string
	for _, p := range points {
		if x := number(p.x); len(xs) == 0 || xs[len(xs)-1] != x {
			xs = append(xs, x)
		}
	}
	return strings.Join(xs, ", ")
}

// number writes three significant digits, and whole numbers in full.
func number(x float64) string {
	switch {
	case x == float64(int64(x)):
		return fmt.Sprintf("%d", int64(x))
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}

package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the cells as a human-readable table.
func WriteTable(w io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "profile\tpolicy\tload\tgoodput %\t±\tof bound %\twaste %\t±\tttft p95 ms\ttpot p95 ms\tcached %\tabroad KB/s\tdrafts lost\tbroken")
	for _, c := range cells {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%d\n",
			c.Profile, c.Policy, c.Load,
			100*c.Goodput.Mean, 100*c.Goodput.Deviation, 100*c.BoundShare.Mean,
			100*c.Waste.Mean, 100*c.Waste.Deviation,
			c.FirstTokenP95MS.Mean, c.PerTokenP95MS.Mean, 100*c.CachedShare.Mean,
			c.CrossRegionKBPerSecond.Mean, c.DraftsLost, c.Broken)
	}
	return t.Flush()
}

package crew

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/gonum/stat"
)

// slope is a straight line fitted to one quantity over the node counts.
type slope struct {
	Quantity string `json:"quantity"`
	// PerNode is the increase for each additional node. AtZero is the value at zero
	// nodes.
	PerNode float64 `json:"per_node"`
	AtZero  float64 `json:"at_zero"`
	// Residual is the standard deviation of the rows from the line.
	Residual float64 `json:"residual"`
	R2       float64 `json:"r_squared"`
}

func fitLine(quantity string, rows []scaleRow, of func(r scaleRow) float64) slope {
	var x, y []float64
	for _, r := range rows {
		x = append(x, float64(r.Nodes))
		y = append(y, of(r))
	}
	zero, perNode := stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		off := y[i] - zero - perNode*x[i]
		squares += off * off
	}
	return slope{
		Quantity: quantity,
		PerNode:  perNode,
		AtZero:   zero,
		Residual: math.Sqrt(squares / float64(len(x))),
		R2:       stat.RSquared(x, y, nil, zero, perNode),
	}
}

// scaleReport is the content of the file that make scale writes.
type scaleReport struct {
	Command string     `json:"command"`
	Seed    uint64     `json:"seed"`
	Wire    wireCost   `json:"wire"`
	Rows    []scaleRow `json:"rows"`
	Slopes  []slope    `json:"slopes"`
}

// writeReport writes the report as JSON and as a text table.
func writeReport(c *qt.C, file string, cost wireCost, rows []scaleRow) {
	slopes := []slope{
		fitLine("bytes_per_second", rows, func(r scaleRow) float64 { return r.DayBytesPerSecond }),
		fitLine("messages_per_second", rows, func(r scaleRow) float64 { return r.MessagesPerSecond }),
		fitLine("core_percent", rows, func(r scaleRow) float64 { return r.CorePercent }),
		fitLine("memory_mb", rows, func(r scaleRow) float64 { return r.MemoryMB }),
		fitLine("fresh_from_peers_bytes", rows, func(r scaleRow) float64 { return r.FromPeers.Bytes }),
		fitLine("fresh_from_list_bytes", rows, func(r scaleRow) float64 { return r.FromList.Bytes }),
	}
	raw, err := json.MarshalIndent(scaleReport{
		Command: "make scale",
		Seed:    1,
		Wire:    cost,
		Rows:    rows,
		Slopes:  slopes,
	}, "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(os.MkdirAll(filepath.Dir(file), 0o755), qt.IsNil)
	c.Assert(os.WriteFile(file, append(raw, '\n'), 0o600), qt.IsNil)
	table := strings.TrimSuffix(file, filepath.Ext(file)) + ".txt"
	c.Assert(os.WriteFile(table, []byte(formatTable(rows, slopes)), 0o600), qt.IsNil)
}

// formatTable returns the report as a text table. Its last line summarizes the result at
// the largest node count, for the comparison with the bounds in the line before.
func formatTable(rows []scaleRow, slopes []slope) string {
	var b strings.Builder
	fmt.Fprintln(&b, "nodes servers  bytes/s  peak/s  messages/s  % core     MB   own load ms p50 p99 max  leaving ms   fresh ms and kB, peers, list")
	for _, r := range rows {
		fmt.Fprintf(&b, "%5d %7d %8.0f %7.0f %11.1f %7.3f %6.2f %15.0f %3.0f %3.0f %11.0f %10.0f %4.0f  %5.0f %4.0f\n",
			r.Nodes, r.Servers, r.DayBytesPerSecond, r.PeakSecondBytes, r.MessagesPerSecond, r.CorePercent, r.MemoryMB,
			r.OwnLoad.P50, r.OwnLoad.P99, r.OwnLoad.Max, r.LeavingKnownMS,
			r.FromPeers.ReadyMS, r.FromPeers.Bytes/1000, r.FromList.ReadyMS, r.FromList.Bytes/1000)
	}
	for _, s := range slopes {
		fmt.Fprintf(&b, "slope %s: %.4g + %.4g a node, residual %.3g, R2 %.3f\n", s.Quantity, s.AtZero, s.PerNode, s.Residual, s.R2)
	}
	last := rows[len(rows)-1]
	fmt.Fprintf(&b, "bounds: %d bytes/s %.1f %% core %d MB for all control of a node; these rows are membership and loads\n", maxBytesPerSecond, maxCorePercent, maxMemoryMB)
	fmt.Fprintf(&b, "scale: at %d nodes %.0f bytes/s %.3f %% core %.1f MB\n", last.Nodes, last.DayBytesPerSecond, last.CorePercent, last.MemoryMB)
	return b.String()
}

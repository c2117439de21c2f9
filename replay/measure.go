package replay

import (
	"fmt"
	"io"
	"time"
)

// Bounds and parameters of the measurement. Loads are fractions of the decode
// capacity.
const (
	minGoodput           = 0.95
	minBoundShare        = 0.90
	maxWaste             = 0.01
	minFaultGoodputRatio = 0.90
	maxFaultWaste        = 0.03
	maxOthersP95Ratio    = 1.10
	nearCapacityLoad     = 0.9
	overloadLoad         = 1.5
	hogLoad              = 0.7
	hogFactor            = 10
	measureSeconds       = 22
	measureWarmUp        = 6 * time.Second
	ablationSeeds        = 3
	plotSeeds            = 2
	minMeasureSeeds      = 10
)

// MeasureConfig configures a measurement of the router's policy.
type MeasureConfig struct {
	// Seeds is the number of seeds. Fewer than minMeasureSeeds are raised to it.
	Seeds int
	// Run runs the jobs, each in a synctest bubble of its own.
	Run func(jobs []func()) error
	// Progress is called after each run. It must not be nil.
	Progress func(step string, done, all int)
}

// Measurement is the result of a measurement.
type Measurement struct {
	Command  string    `json:"command"`
	Seeds    []uint64  `json:"seeds"`
	Seconds  float64   `json:"seconds"`
	WarmUpMS int64     `json:"warm_up_ms"`
	Profiles []Profile `json:"profiles"`
	// Compared holds the router's policy and the baselines, Ablations the policy
	// with each mechanism disabled in turn, WithFaults the policy under
	// StandardFaults, and Curve the cells of the plot.
	Compared   []Cell `json:"compared"`
	Ablations  []Cell `json:"ablations"`
	WithFaults []Cell `json:"faulty"`
	WithoutHog []Cell `json:"without_hog"`
	WithHog    []Cell `json:"with_hog"`
	Curve      []Cell `json:"curve"`
	// Verdicts compare the measured values with their bounds.
	Verdicts []Verdict `json:"verdicts"`
}

// Verdict compares one measured value with its bound.
type Verdict struct {
	Profile string  `json:"profile"`
	Name    string  `json:"name"`
	Value   float64 `json:"figure"`
	Bound   float64 `json:"bound"`
	Met     bool    `json:"met"`
}

// Measure runs all steps of the measurement and compares the results with the
// bounds.
func Measure(cfg MeasureConfig) (Measurement, error) {
	m := Measurement{
		Seconds:  measureSeconds,
		WarmUpMS: measureWarmUp.Milliseconds(),
		Profiles: Profiles(),
	}
	for i := range max(cfg.Seeds, minMeasureSeeds) {
		m.Seeds = append(m.Seeds, uint64(i+1))
	}
	full := Baselines()[:1]
	steps := []struct {
		name      string
		cells     *[]Cell
		policies  []Policy
		loads     []float64
		seeds     int
		faults    Faults
		hogFactor float64
	}{
		{
			name:     "baselines",
			cells:    &m.Compared,
			policies: Baselines(),
			loads:    []float64{nearCapacityLoad, overloadLoad},
			seeds:    len(m.Seeds),
		},
		{
			name:     "faults",
			cells:    &m.WithFaults,
			policies: full,
			loads:    []float64{nearCapacityLoad},
			seeds:    len(m.Seeds),
			faults:   StandardFaults(),
		},
		{
			name:     "without hog",
			cells:    &m.WithoutHog,
			policies: full,
			loads:    []float64{hogLoad},
			seeds:    len(m.Seeds),
		},
		{
			name:      "with hog",
			cells:     &m.WithHog,
			policies:  full,
			loads:     []float64{hogLoad},
			seeds:     len(m.Seeds),
			hogFactor: hogFactor,
		},
		{
			name:     "mechanisms off",
			cells:    &m.Ablations,
			policies: Ablations(),
			loads:    []float64{nearCapacityLoad, overloadLoad},
			seeds:    ablationSeeds,
		},
		{
			name:     "picture",
			cells:    &m.Curve,
			policies: Baselines(),
			loads:    []float64{0.5, 0.7, 0.9, 1.1, 1.3, 1.5},
			seeds:    plotSeeds,
		},
	}
	for _, step := range steps {
		cells, err := Compare(CompareConfig{
			Profiles:  m.Profiles,
			Policies:  step.policies,
			Loads:     step.loads,
			Seeds:     m.Seeds[:step.seeds],
			Faults:    step.faults,
			Seconds:   measureSeconds,
			WarmUp:    measureWarmUp,
			HogFactor: step.hogFactor,
			Run:       cfg.Run,
			Progress:  func(done, all int) { cfg.Progress(step.name, done, all) },
		})
		if err != nil {
			return m, fmt.Errorf("measure %s: %w", step.name, err)
		}
		*step.cells = cells
	}
	m.evaluate()
	return m, nil
}

// findCell returns the cell of the router's policy for a profile and a load. It
// returns the zero Cell if there is none.
func findCell(cells []Cell, profile string, load float64) Cell {
	for _, c := range cells {
		if c.Profile == profile && c.Policy == PolicyFull && c.Load == load {
			return c
		}
	}
	return Cell{}
}

func (m *Measurement) evaluate() {
	for _, profile := range m.Profiles {
		nearCapacity := findCell(m.Compared, profile.Name, nearCapacityLoad)
		overloaded := findCell(m.Compared, profile.Name, overloadLoad)
		withFaults := findCell(m.WithFaults, profile.Name, nearCapacityLoad)
		m.requireMin(profile, "goodput at 0.9", nearCapacity.Goodput.Mean, minGoodput)
		m.requireMax(profile, "waste at 0.9", nearCapacity.Waste.Mean, maxWaste)
		m.requireMin(profile, "goodput of the bound at 1.5", overloaded.BoundShare.Mean, minBoundShare)
		m.requireMax(profile, "waste at 1.5", overloaded.Waste.Mean, maxWaste)
		m.requireMin(profile, "goodput with faults over without", ratio(withFaults.Goodput.Mean, nearCapacity.Goodput.Mean), minFaultGoodputRatio)
		m.requireMax(profile, "waste with faults", withFaults.Waste.Mean, maxFaultWaste)
		withoutHog := findCell(m.WithoutHog, profile.Name, hogLoad)
		withHog := findCell(m.WithHog, profile.Name, hogLoad)
		m.requireMax(profile, "others' first token p95 beside a hog", ratio(withHog.OthersP95MS.Mean, withoutHog.OthersP95MS.Mean), maxOthersP95Ratio)
		linkKBPerSecond := profile.LinkMbit * 1e6 / 8 / 1000
		m.requireMax(profile, "KB/s across regions at 1.5", overloaded.CrossRegionKBPerSecond.Max, linkKBPerSecond)
	}
}

func (m *Measurement) requireMin(profile Profile, name string, value, bound float64) {
	m.Verdicts = append(m.Verdicts, Verdict{
		Profile: profile.Name,
		Name:    name,
		Value:   value,
		Bound:   bound,
		Met:     value >= bound,
	})
}

func (m *Measurement) requireMax(profile Profile, name string, value, bound float64) {
	m.Verdicts = append(m.Verdicts, Verdict{
		Profile: profile.Name,
		Name:    name,
		Value:   value,
		Bound:   bound,
		Met:     value <= bound,
	})
}

// Met reports whether every value is within its bound.
func (m *Measurement) Met() bool {
	for _, v := range m.Verdicts {
		if !v.Met {
			return false
		}
	}
	return true
}

// Write prints a human-readable report of the measurement. Its last line is a
// summary.
func (m *Measurement) Write(w io.Writer) error {
	for _, cells := range [][]Cell{m.Compared, m.Ablations, m.WithFaults, m.WithoutHog, m.WithHog} {
		if err := WriteTable(w, cells); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, v := range m.Verdicts {
		result := "met"
		if !v.Met {
			result = "MISSED"
		}
		_, _ = fmt.Fprintf(w, "%-10s %-38s %10.4f  bound %10.4f  %s\n", v.Profile, v.Name, v.Value, v.Bound, result)
	}
	_, err := fmt.Fprintf(w, "measure: goodput %s waste %s at 0.9; goodput %s waste %s at 1.5\n",
		m.formatMetric(nearCapacityLoad, func(c Cell) float64 { return c.Goodput.Mean }),
		m.formatMetric(nearCapacityLoad, func(c Cell) float64 { return c.Waste.Mean }),
		m.formatMetric(overloadLoad, func(c Cell) float64 { return c.BoundShare.Mean }),
		m.formatMetric(overloadLoad, func(c Cell) float64 { return c.Waste.Mean }))
	return err
}

func (m *Measurement) formatMetric(load float64, metric func(Cell) float64) string {
	text := ""
	for i, profile := range m.Profiles {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.3f", metric(findCell(m.Compared, profile.Name, load)))
	}
	return text
}

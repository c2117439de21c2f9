// Package prooftest implements randomized tests of the guarantees of the system.
//
// Each test, called a proof, runs once per seed and injects the failures that follow from
// the seed. Its result is logged as one line that "make prove" collects.
//
// # Usage
//
//	func TestProofOrderRunsOnce(t *testing.T) {
//		prooftest.Run(t, prooftest.Row{
//			Promise:  "at most once",
//			Failures: "owner killed between claim and dispatch",
//		}, 200, func(c *qt.C, seed uint64) { ... })
//	}
//
// BALSAMLOCK_SEED=n runs only the seed n, to reproduce a failure. BALSAMLOCK_SEEDS=n
// changes the number of seeds.
package prooftest

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/invariant"
)

// Environment variables that select the seeds of a run.
const (
	EnvSeed  = "BALSAMLOCK_SEED"
	EnvSeeds = "BALSAMLOCK_SEEDS"
)

// LinePrefix is the prefix of the line that reports the result of a proof.
const LinePrefix = "proof: "

// Row is a row in the table of proofs: the tested guarantee, the injected failures and the
// result.
type Row struct {
	Promise  string `json:"promise"`
	Failures string `json:"failures"`
	// Test, Runs, FirstSeed, LastSeed and Violations are set by Run.
	Test       string `json:"test"`
	Runs       int    `json:"runs"`
	FirstSeed  uint64 `json:"first_seed"`
	LastSeed   uint64 `json:"last_seed"`
	Violations int    `json:"violations"`
}

// Run calls run for the seeds 1 to n, or for the seeds that the environment selects. A seed
// counts as a violation if an assertion fails or an invariant is violated. The seeds run
// one after the other, because the invariant handler is global to the process.
func Run(t *testing.T, row Row, n int, run func(c *qt.C, seed uint64)) {
	t.Helper()
	first, last := seedRange(t, n)
	row.Test = t.Name()
	row.FirstSeed = first
	row.LastSeed = last
	for seed := first; seed <= last; seed++ {
		row.Runs++
		if !runSeed(t, seed, run) {
			row.Violations++
		}
	}
	raw, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(LinePrefix + string(raw))
}

func runSeed(t *testing.T, seed uint64, run func(c *qt.C, seed uint64)) bool {
	t.Helper()
	var mu sync.Mutex
	var violations []string
	restore := invariant.SetHandler(func(name invariant.Name, message string) {
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, fmt.Sprintf("%s: %s", name, message))
	})
	defer restore()
	return t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
		t.Cleanup(func() {
			mu.Lock()
			defer mu.Unlock()
			for _, message := range violations {
				t.Errorf("invariant violated at seed %d: %s", seed, message)
			}
			if t.Failed() {
				test, _, _ := strings.Cut(t.Name(), "/")
				t.Logf("reproduce in this package: %s=%d go test -run '^%s$' .", EnvSeed, seed, test)
			}
		})
		run(qt.New(t), seed)
	})
}

func seedRange(t *testing.T, n int) (first, last uint64) {
	t.Helper()
	if text := os.Getenv(EnvSeed); text != "" {
		seed := parseUint(t, EnvSeed, text)
		return seed, seed
	}
	if text := os.Getenv(EnvSeeds); text != "" {
		return 1, parseUint(t, EnvSeeds, text)
	}
	return 1, uint64(n)
}

func parseUint(t *testing.T, name, text string) uint64 {
	t.Helper()
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s=%q: want an unsigned integer", name, text)
	}
	return v
}

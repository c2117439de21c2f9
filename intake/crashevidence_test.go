package intake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/receipt"
)

// crashes returns the evidence of crashes, each given as the request, the server and the parts.
func crashes(list ...[]string) CrashEvidence {
	var e CrashEvidence
	for _, c := range list {
		e = e.WithCrash(Crash{
			Request:   c[0],
			Server:    c[1],
			Parts:     c[2:],
			LearnedAt: time.Unix(1000, 0),
		})
	}
	return e
}

func blocks(e CrashEvidence, parts ...string) bool {
	_, blocked := e.Blocking(parts, time.Unix(1000, 0))
	return blocked
}

func TestCrashEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		evidence CrashEvidence
		blocked  [][]string
		allowed  [][]string
	}{
		"two crashes are too few": {
			evidence: crashes([]string{"r1", "s1", "f", "dead"}, []string{"r2", "s2", "f", "dead"}),
			allowed:  [][]string{{"f", "dead"}},
		},
		"one request proves nothing about its parts": {
			evidence: crashes([]string{"r1", "s1", "f", "g"}, []string{"r1", "s2", "f", "g"}, []string{"r1", "s3", "f", "g"}),
			allowed:  [][]string{{"f", "g"}},
		},
		"one server proves nothing": {
			evidence: crashes([]string{"r1", "s1", "f", "g"}, []string{"r2", "s1", "f", "g"}, []string{"r3", "s1", "f", "g"}),
			allowed:  [][]string{{"f", "g"}},
		},
		"repeated reports count once": {
			evidence: crashes([]string{"r1", "s1", "f"}, []string{"r1", "s1", "f"}, []string{"r2", "s2", "f"}),
			allowed:  [][]string{{"f"}},
		},
		"common parts block together": {
			evidence: crashes([]string{"r1", "s1", "f", "dead"}, []string{"r1", "s2", "f", "dead"}, []string{"r2", "s3", "f", "dead"}),
			blocked:  [][]string{{"f", "dead"}, {"dead", "x", "f"}},
			allowed:  [][]string{{"f"}, {"dead"}, {"f", "x"}, nil},
		},
		"another first part leaves the one that crashes": {
			evidence: crashes([]string{"r1", "s1", "f", "dead"}, []string{"r1", "s2", "f", "dead"}, []string{"r2", "s3", "f", "dead"}, []string{"r3", "s4", "g", "dead"}),
			blocked:  [][]string{{"f", "dead"}, {"h", "dead"}},
			allowed:  [][]string{{"f"}, {"g"}},
		},
		"a sound request on a crashed server": {
			evidence: crashes([]string{"r1", "s1", "f", "dead"}, []string{"r9", "s1", "f"}, []string{"r2", "s2", "f", "dead"}, []string{"r3", "s3", "f", "dead"}).WithServed([]string{"f"}),
			blocked:  [][]string{{"f", "dead"}, {"dead"}},
			allowed:  [][]string{{"f"}},
		},
		"served parts leave a set": {
			evidence: crashes([]string{"r1", "s1", "f", "dead"}, []string{"r2", "s2", "f", "dead"}, []string{"r3", "s3", "f", "dead"}).WithServed([]string{"f"}),
			blocked:  [][]string{{"g", "dead"}},
			allowed:  [][]string{{"f"}},
		},
		"two parts that crash": {
			evidence: crashes([]string{"r1", "s1", "a"}, []string{"r2", "s2", "b"}, []string{"r3", "s3", "a"}, []string{"r4", "s4", "b"}, []string{"r5", "s5", "a"}, []string{"r6", "s6", "b"}),
			blocked:  [][]string{{"a"}, {"b", "x"}},
			allowed:  [][]string{{"x"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, parts := range test.blocked {
				c.Check(blocks(test.evidence, parts...), qt.IsTrue, qt.Commentf("%v", parts))
			}
			for _, parts := range test.allowed {
				c.Check(blocks(test.evidence, parts...), qt.IsFalse, qt.Commentf("%v", parts))
			}
		})
	}
}

// Many servers that crash at once, for another reason, take requests with them that have little in common.
func TestMassCrashQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var e CrashEvidence
		for n := range 12 {
			e = e.WithCrash(Crash{
				Request:   fmt.Sprintf("r%d", n),
				Server:    fmt.Sprintf("s%d", random.IntN(10)),
				Parts:     []string{fmt.Sprintf("first%d", random.IntN(2000))},
				LearnedAt: time.Unix(1000, 0),
			})
		}
		c.Assert(e.Sets(), qt.HasLen, 0)
	}
}

func TestCrashesAreForgotten(t *testing.T) {
	c := qt.New(t)
	e := crashes([]string{"r1", "s1", "f"}, []string{"r2", "s2", "f"})
	e = e.WithCrash(Crash{
		Request:   "r3",
		Server:    "s3",
		Parts:     []string{"f"},
		LearnedAt: time.Unix(1000, 0).Add(crashMemory),
	})
	c.Assert(e.Sets(), qt.HasLen, 0)
}

func TestQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := NewQuarantine()
		c.Assert(q.Served([]string{"first"}), qt.HasLen, 0)
		for n := range 3 {
			q.AddCrash(Crash{
				Request:   fmt.Sprintf("r%d", n),
				Server:    fmt.Sprintf("s%d", n),
				Parts:     []string{"first", "dead"},
				LearnedAt: time.Now(),
			})
		}
		reason := q.Check([]string{"first", "dead", "x"})
		c.Assert(reason != nil, qt.IsTrue)
		c.Assert(reason.Code, qt.Equals, receipt.CodeQuarantined)
		c.Assert(reason.RetryAfter, qt.Equals, quarantineTime)
		c.Assert(q.Check([]string{"first"}) == nil, qt.IsTrue)
		c.Assert(q.Check(nil) == nil, qt.IsTrue)
		served, others := q.SplitServed([]string{"first", "dead"})
		c.Assert(served, qt.DeepEquals, []string{"first"})
		c.Assert(others, qt.DeepEquals, []string{"dead"})
		c.Assert(q.Served([]string{"first"}), qt.DeepEquals, []string{"first"}, qt.Commentf("other instances must learn of it"))
		c.Assert(q.Check([]string{"dead"}) != nil, qt.IsTrue)
		time.Sleep(servedMemory)
		served, _ = q.SplitServed([]string{"first"})
		c.Assert(served, qt.HasLen, 0)
		time.Sleep(quarantineTime)
		c.Assert(q.Check([]string{"dead"}) == nil, qt.IsTrue)
		q.AddQuarantine([]string{"dead"})
		c.Assert(q.Check([]string{"dead"}) != nil, qt.IsTrue)
	})
}

package plan_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/plan"
)

func TestMergeAppliesBothSides(t *testing.T) {
	c := qt.New(t)
	base, mine, theirs := loadDocument(c, "glasnet"), loadDocument(c, "glasnet"), loadDocument(c, "glasnet")
	mine.Callers[0].Weight = 7
	mine.Services = append(mine.Services, plan.Service{Name: "extra"})
	theirs.Callers[1].Weight = 9
	theirs.Callers = theirs.Callers[:2]
	merged, conflicts := plan.Merge(base, mine, theirs)
	c.Assert(conflicts, qt.HasLen, 0)
	lines := []string{}
	for _, change := range plan.Diff(base, merged) {
		lines = append(lines, string(change.Kind)+" "+change.Entry+" "+change.Field)
	}
	c.Assert(lines, qt.DeepEquals, []string{
		"added services/extra ",
		"changed callers/atelier-dommel weight",
		"changed callers/atelier-vecht weight",
		"removed callers/counter ",
	})
}

func TestMergeReportsConflicts(t *testing.T) {
	c := qt.New(t)
	base, mine, theirs := loadDocument(c, "glasnet"), loadDocument(c, "glasnet"), loadDocument(c, "glasnet")
	mine.Callers[0].Weight = 7
	theirs.Callers[0].Weight = 8
	mine.Callers[2].Weight = 5
	theirs.Callers = theirs.Callers[:2]
	mine.Callers[1].Weight, theirs.Callers[1].Weight = 6, 6
	merged, conflicts := plan.Merge(base, mine, theirs)
	c.Assert(conflicts, qt.DeepEquals, []string{"callers/atelier-vecht", "callers/counter"})
	c.Assert(plan.Diff(mine, merged), qt.HasLen, 0)
}

func TestFetchEarlierDocument(t *testing.T) {
	c := qt.New(t)
	records := publishedRecords(c, 3)
	log := newFakeLog(1)
	log.latency = 0
	for _, record := range records {
		log.appendRecord(record.Payload)
	}
	history := replay(records).Snapshot().History
	earlier, err := plan.Fetch(context.Background(), log, history, history[1].Digest)
	c.Assert(err, qt.IsNil)
	c.Assert(earlier.Digest(), qt.Equals, history[1].Digest)
	log.oldest = 2
	_, err = plan.Fetch(context.Background(), log, history, history[1].Digest)
	c.Assert(err, qt.ErrorMatches, ".*no longer in the log")
	_, err = plan.Fetch(context.Background(), log, history, "unknown")
	c.Assert(err, qt.IsNotNil)
}

package plan_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/plan"
)

const promiseNeverReverts = "never reverts"

// runProof runs body in virtual time, once for each seed.
func runProof(t *testing.T, failures string, seeds int, body func(c *qt.C, seed uint64)) {
	prooftest.Run(t, prooftest.Row{
		Promise:  promiseNeverReverts,
		Failures: failures,
	}, seeds, func(c *qt.C, seed uint64) {
		synctest.Test(testingT(c), func(t *testing.T) { body(qt.New(t), seed) })
	})
}

// publishAttempt is one publication with its outcome.
type publishAttempt struct {
	document plan.Document
	outcome  plan.Outcome
}

// publishConcurrently publishes n different documents on the same base.
func publishConcurrently(f *fleet, base string, n, firstWeight int, within time.Duration) []*publishAttempt {
	var wg sync.WaitGroup
	attempts := make([]*publishAttempt, n)
	members := f.list()
	for i := range attempts {
		attempt := &publishAttempt{document: document(firstWeight + i).WithBase(base)}
		attempts[i] = attempt
		publisher := plan.NewPublisher(f.log, members[i%len(members)].follower)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), within)
			defer cancel()
			attempt.outcome = publisher.Publish(ctx, attempt.document)
		})
	}
	wg.Wait()
	return attempts
}

// checkOutcomes compares the outcome of each attempt with the log, resumes
// unresolved attempts, and returns the number of published documents.
func checkOutcomes(c *qt.C, f *fleet, attempts []*publishAttempt) int {
	c.Helper()
	published := 0
	for _, attempt := range attempts {
		outcome := attempt.outcome
		if unresolved, ok := outcome.(plan.Unresolved); ok {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			outcome = plan.NewPublisher(f.log, f.list()[0].follower).Resume(ctx, unresolved.RecordID, attempt.document)
			cancel()
		}
		switch outcome := outcome.(type) {
		case plan.Published:
			published++
			c.Assert(isAccepted(f, outcome.RecordID), qt.IsTrue)
		case plan.Refused:
			c.Assert(isAccepted(f, outcome.RecordID), qt.IsFalse, qt.Commentf("%+v", outcome.Reason))
		default:
			c.Fatalf("still unresolved: %#v", outcome)
		}
	}
	return published
}

func isAccepted(f *fleet, recordID string) bool {
	for _, accepted := range f.log.acceptedDocuments() {
		if accepted.RecordID == recordID {
			return true
		}
	}
	return false
}

func TestProofOneOfRacingOperatorsWins(t *testing.T) {
	runProof(t, "operators racing on one base; answers lost before and after the effect, appends that land late", 40, func(c *qt.C, seed uint64) {
		log := newFakeLog(seed)
		f := newFleet(c, log, 3)
		defer f.stop()
		first := mustPublish(c, f.list()[0].follower, log, 0)
		f.waitForVersion(first.Version)
		log.update(func(l *fakeLog) { l.lossRate = 0.6 })
		attempts := publishConcurrently(f, first.Digest, 5, 10, 20*time.Second)
		log.update(func(l *fakeLog) { l.lossRate = 0 })
		time.Sleep(10 * time.Second)
		c.Assert(checkOutcomes(c, f, attempts), qt.Equals, 1)
		f.checkAgainstLog()
	})
}

func TestProofDocumentSurvivesOutages(t *testing.T) {
	runProof(t, "platform down before, during and after a publication; instances restarted in the outage", 10, func(c *qt.C, seed uint64) {
		log := newFakeLog(seed)
		f := newSlowFleet(c, log, 4)
		defer f.stop()
		first := mustPublish(c, f.list()[0].follower, log, 0)
		f.waitForVersion(first.Version)

		log.update(func(l *fakeLog) { l.down = true })
		refused, ok := publish(f.list()[0].follower, log, document(1), 5*time.Second).(plan.Refused)
		c.Assert(ok, qt.IsTrue)
		c.Assert(refused.Reason, qt.Equals, plan.RefusedUnavailable)
		f.stopMember(f.list()[0])
		fresh := f.start()
		f.waitForVersion(first.Version)
		c.Assert(fresh.follower.Current().Accepted, qt.Equals, first)
		time.Sleep(20 * time.Minute)

		log.update(func(l *fakeLog) { l.down = false })
		time.Sleep(30 * time.Second)
		second := mustPublish(c, fresh.follower, log, 2)
		// Only one instance has read the second document when the platform
		// becomes unavailable. The others must get it from that instance.
		log.update(func(l *fakeLog) { l.down = true })
		f.waitForVersion(second.Version)
		f.checkAgainstLog()
	})
}

func TestProofDocumentOutlivesRetention(t *testing.T) {
	runProof(t, "retention passes the newest document; all instances replaced one after the other; two keepers", 10, func(c *qt.C, seed uint64) {
		log := newFakeLog(seed)
		log.retention = 40 * time.Minute
		f := newSlowFleet(c, log, 3)
		defer f.stop()
		first := mustPublish(c, f.list()[0].follower, log, 0)
		for range 8 {
			time.Sleep(time.Duration(10+seed%10) * time.Minute)
			f.stopMember(f.list()[0])
			f.start()
			f.waitForVersion(first.Version)
		}
		// An instance without peers must get the document from the log.
		alone := newSlowFleet(c, log, 1)
		defer alone.stop()
		alone.waitForVersion(first.Version)
		c.Assert(log.oldest > 0, qt.IsTrue)
		f.checkAgainstLog()
		alone.checkAgainstLog()
	})
}

func TestProofOldRecordsChangeNothing(t *testing.T) {
	runProof(t, "old documents and snapshots appended again, bad documents in the log, a keeper that was paused, a snapshot racing a publication", 8, func(c *qt.C, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		log := newFakeLog(seed)
		log.retention = time.Hour
		f := newSlowFleet(c, log, 3)
		defer f.stop()
		for i := range 12 {
			mustPublish(c, f.list()[0].follower, log, i)
			time.Sleep(time.Duration(rng.IntN(20)) * time.Minute)
			base := f.list()[0].follower.State().Newest().Digest
			log.update(func(l *fakeLog) {
				for range 1 + rng.IntN(3) {
					l.appendRecord(l.appended[rng.IntN(len(l.appended))].Payload)
				}
				l.appendRecord([]byte("not a record"))
				invalid := document(i).WithBase(base)
				invalid.Callers[0].Weight = -1
				payload, err := plan.EncodeProposal("invalid", invalid)
				c.Check(err, qt.IsNil)
				l.appendRecord(payload)
			})
			if rng.IntN(3) == 0 {
				f.stopMember(f.list()[0])
				f.start()
			}
			time.Sleep(30 * time.Second)
			f.checkAgainstLog()
		}
		c.Assert(len(log.acceptedDocuments()), qt.Equals, 12)
	})
}

func TestProofGapIsBridged(t *testing.T) {
	runProof(t, "an instance cut off from log and peers for longer than the retention", 6, func(c *qt.C, seed uint64) {
		log := newFakeLog(seed)
		log.retention = 30 * time.Minute
		f := newSlowFleet(c, log, 2)
		defer f.stop()
		first := mustPublish(c, f.list()[0].follower, log, 0)
		unavailable := &fakeLog{latency: time.Millisecond}
		switcher := &switchLog{log: log}
		isolated := newSlowFleet(c, log, 0)
		defer isolated.stop()
		m := isolated.startIn("", switcher)
		isolated.waitForVersion(first.Version)
		f.waitForVersion(first.Version)

		unavailable.down = true
		switcher.set(unavailable)
		for i := range 6 {
			mustPublish(c, f.list()[0].follower, log, i+1)
			time.Sleep(20 * time.Minute)
		}
		c.Assert(m.follower.Current().Accepted, qt.Equals, first)
		switcher.set(log)
		time.Sleep(30 * time.Second)
		isolated.checkAgainstLog()
		f.checkAgainstLog()
	})
}

func TestProofInForceEverywhere(t *testing.T) {
	const limit = 5 * time.Second
	var worst time.Duration
	runProof(t, "9 instances, a publication at any moment, a tenth of the answers lost, every other run without peers", 20, func(c *qt.C, seed uint64) {
		log := newFakeLog(seed)
		log.lossRate = 0.1
		f := newFleet(c, log, 0)
		f.noHeartbeats = seed%2 == 0
		for range 9 {
			f.start()
		}
		defer f.stop()
		for i := range 5 {
			time.Sleep(time.Duration(seed*137%2000) * time.Millisecond)
			accepted := mustPublish(c, f.list()[0].follower, log, i)
			f.waitForVersion(accepted.Version)
			log.mu.Lock()
			at := log.appended[accepted.Version].At
			log.mu.Unlock()
			for _, m := range f.list() {
				m.mu.Lock()
				delay := m.activatedAt[accepted.Version].Sub(at)
				m.mu.Unlock()
				worst = max(worst, delay)
				c.Assert(delay < limit, qt.IsTrue, qt.Commentf("%s after %v", m.name, delay))
			}
		}
	})
	t.Logf("longest time from append to activation: %v", worst)
}

func TestNewReaderReadsOnlyTail(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	bytesAfter := func(documents int) (bytes int) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			log := newFakeLog(1)
			f := newSlowFleet(c, log, 1)
			defer f.stop()
			for i := range documents {
				mustPublish(c, f.list()[0].follower, log, i)
				time.Sleep(100 * time.Second)
			}
			log.update(func(l *fakeLog) { l.bytesRead = 0 })
			fresh := newSlowFleet(c, log, 0)
			fresh.noHeartbeats = true
			defer fresh.stop()
			fresh.start()
			fresh.checkAgainstLog()
			bytes = log.bytesRead
		})
		return bytes
	}
	few, many := bytesAfter(50), bytesAfter(400)
	t.Logf("a new reader reads %d bytes after 50 documents, %d after 400", few, many)
	c.Assert(many < 2*few, qt.IsTrue)
}

// twoRegions is a fleet with two members in each of two regions. The members in
// the coast region reach the platform through link, which can be cut.
type twoRegions struct {
	*fleet
	link     *switchLog
	interior *member
	coast    *member
}

func newTwoRegions(c *qt.C, log *fakeLog) *twoRegions {
	r := &twoRegions{
		fleet: newFleet(c, log, 0),
		link:  &switchLog{log: log},
	}
	r.interior = r.startIn("interior", log)
	r.startIn("interior", log)
	r.coast = r.startIn("coast", r.link)
	r.startIn("coast", r.link)
	return r
}

// checkActivationTime checks that a version becomes active on all members
// within 5 s.
func (r *twoRegions) checkActivationTime(version plan.Version) {
	r.c.Helper()
	start := time.Now()
	r.waitForVersion(version)
	r.c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

func TestProofDocumentInCutOffs(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "a region cut from the platform, then from the other region too, for an hour, and joined up again",
	}, 5, func(c *qt.C, seed uint64) {
		synctest.Test(testingT(c), func(t *testing.T) {
			c := qt.New(t)
			log := newFakeLog(seed)
			r := newTwoRegions(c, log)
			defer r.stop()
			first := mustPublish(c, r.interior.follower, log, 0)
			r.checkActivationTime(first.Version)

			// Only the link to the platform is cut: the coast gets documents
			// from the other region.
			unavailable := &fakeLog{down: true}
			r.link.set(unavailable)
			second := mustPublish(c, r.interior.follower, log, 1)
			r.checkActivationTime(second.Version)
			refused, ok := publish(r.coast.follower, r.link, document(9), 5*time.Second).(plan.Refused)
			c.Assert(ok, qt.IsTrue)
			c.Assert(refused.Reason, qt.Equals, plan.RefusedUnavailable)

			// The coast is cut off from the platform and the other region for
			// an hour. The last document stays active, also on an instance that
			// starts meanwhile.
			r.setPartition("interior", "coast", true)
			third := mustPublish(c, r.interior.follower, log, 2)
			r.startIn("coast", r.link)
			time.Sleep(time.Hour)
			for _, m := range r.list() {
				want := third
				if m.region == "coast" {
					want = second
				}
				c.Assert(m.follower.Current().Accepted, qt.Equals, want)
			}

			// The connection to the peers returns first, then the one to the
			// platform.
			r.setPartition("interior", "coast", false)
			r.checkActivationTime(third.Version)
			r.link.set(log)
			time.Sleep(5 * time.Second)
			fourth := mustPublish(c, r.coast.follower, r.link, 3)
			r.checkActivationTime(fourth.Version)
			r.checkAgainstLog()
		})
	})
}

func TestRestoreAfterTotalLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := newFakeLog(1)
		log.retention = time.Hour
		f := newFleet(c, log, 2)
		first := mustPublish(c, f.list()[0].follower, log, 0)
		f.waitForVersion(first.Version)
		restore := func(f *fleet) plan.Outcome {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			return plan.NewPublisher(log, f.list()[0].follower).Restore(ctx, document(5))
		}
		_, ok := restore(f).(plan.Refused)
		c.Assert(ok, qt.IsTrue)

		f.stop()
		time.Sleep(2 * time.Hour)
		fresh := newFleet(c, log, 3)
		defer fresh.stop()
		time.Sleep(5 * time.Second)
		c.Assert(fresh.list()[0].follower.Current(), qt.IsNil)
		refused, ok := publish(fresh.list()[0].follower, log, document(1), time.Minute).(plan.Refused)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", refused))

		log.update(func(l *fakeLog) { l.lossRate = 1 })
		outcome := restore(fresh)
		log.update(func(l *fakeLog) { l.lossRate = 0 })
		if _, ok := outcome.(plan.Published); !ok {
			time.Sleep(10 * time.Second)
			outcome = restore(fresh)
		}
		time.Sleep(5 * time.Second)
		for _, m := range fresh.list() {
			c.Assert(m.follower.Current().Document.Callers[0].Weight, qt.Equals, 6, qt.Commentf("%+v", outcome))
		}
		next := mustPublish(c, fresh.list()[0].follower, log, 6)
		fresh.waitForVersion(next.Version)
	})
}

func TestNewReaderWithSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := newFakeLog(1)
		for _, record := range publishedRecords(c, 60) {
			log.appendRecord(record.Payload)
		}
		log.latency = 900 * time.Millisecond
		f := newFleet(c, log, 1)
		defer f.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Assert(f.list()[0].follower.Wait(ctx, 59), qt.IsNil)
	})
}

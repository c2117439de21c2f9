package plan

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestSourceOfReader(t *testing.T) {
	c := qt.New(t)
	var s Source
	c.Assert(s.Next(true), qt.Equals, ReadStep(ReadNewestCopy{}))
	s = s.WithCopies(0, 0)
	c.Assert(s.Next(true), qt.Equals, ReadStep(ReadNewestDocument{}))
	s = s.WithDocuments(1, 1)
	c.Assert(s.Next(true), qt.Equals, ReadStep(AwaitDocument{From: 1}))
	s = s.WithDocuments(2, 6)
	c.Assert(s.Next(true), qt.Equals, ReadStep(ReadDocument{Offset: 5}), qt.Commentf("replaced documents are not skipped"))
	s = s.WithoutDocuments()
	c.Assert(s.Next(true), qt.Equals, ReadStep(ReadNewestDocument{}))
}

func TestSourceOfOthersReadsCopies(t *testing.T) {
	c := qt.New(t)
	s := Source{}.WithCopies(4, 4).WithCopyOf(7)
	c.Assert(s.Next(false), qt.Equals, ReadStep(CheckEnd{}), qt.Commentf("the newest copy at the start may be old"))
	s = s.WithEnd(8)
	c.Assert(s.Next(false), qt.Equals, ReadStep(AwaitCopy{From: 4}))
	s = s.WithCopies(5, 9).WithCopyOf(8)
	c.Assert(s.Next(false), qt.Equals, ReadStep(AwaitCopy{From: 8}), qt.Commentf("replaced copies are not skipped"))
	s = s.WithCopies(9, 9).WithoutNewCopy()
	c.Assert(s.Next(false), qt.Equals, ReadStep(CheckEnd{}))
	s = s.WithEnd(11)
	c.Assert(s.Next(false), qt.Equals, ReadStep(AwaitCopy{
		From:   9,
		Urgent: true,
	}))
	s = s.WithoutNewCopy()
	c.Assert(s.Next(false), qt.Equals, ReadStep(ReadDocument{Offset: 10}), qt.Commentf("the copy does not appear"))
	c.Assert(s.WithFailedDocument().Next(false), qt.Equals, ReadStep(AwaitCopy{
		From:   9,
		Urgent: true,
	}))
	s = s.WithDocuments(11, 11)
	c.Assert(s.Next(false), qt.Equals, ReadStep(AwaitCopy{From: 9}))
	c.Assert(s.WithCopies(10, 10).WithCopyOf(3).Next(false), qt.Equals, ReadStep(CheckEnd{}), qt.Commentf("an old copy counts as none"))
}

// Whatever the reads find, an instance that keeps reading arrives at the last document, whether copies
// appear or not.
func TestSourceReachesLastDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := uint64(1)
		var copies []uint64
		s := Source{}
		applied := uint64(0)
		reader := rapid.Bool().Draw(t, "reader")
		for step := 0; step < 60; step++ {
			calm := step > 40
			if !calm && rapid.Bool().Draw(t, "publish") {
				documents++
			}
			if !calm && rapid.Bool().Draw(t, "copied") {
				copies = append(copies, documents-1)
			}
			if !calm && rapid.IntRange(0, 3).Draw(t, "failure") == 0 {
				s = s.WithFailedDocument()
				continue
			}
			if !calm && rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				reader = !reader
			}
			end := uint64(len(copies))
			switch next := s.Next(reader).(type) {
			case ReadNewestCopy:
				s = s.WithCopies(end, end)
				if end > 0 {
					s = s.WithCopyOf(copies[end-1])
					applied = max(applied, copies[end-1]+1)
				}
			case AwaitCopy:
				if next.From >= end {
					s = s.WithCopies(next.From, end).WithoutNewCopy()
					break
				}
				s = s.WithCopies(next.From+1, end).WithCopyOf(copies[next.From])
				applied = max(applied, copies[next.From]+1)
			case CheckEnd:
				s = s.WithEnd(documents)
			case ReadNewestDocument:
				s, applied = s.WithDocuments(documents, documents), documents
			case AwaitDocument:
				if next.From < documents {
					s, applied = s.WithDocuments(next.From+1, documents), max(applied, next.From+1)
				}
			case ReadDocument:
				s, applied = s.WithDocuments(next.Offset+1, documents), max(applied, next.Offset+1)
			}
		}
		if applied != documents {
			t.Fatalf("the last document is %d, in force is %d", documents, applied)
		}
	})
}

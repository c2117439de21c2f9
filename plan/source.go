package plan

// ReadStep is the next read of an instance that follows the configuration. It is one of ReadNewestCopy,
// AwaitCopy, CheckEnd, ReadNewestDocument, AwaitDocument and ReadDocument.
type ReadStep interface{ isReadStep() }

// ReadNewestCopy reads the newest compressed copy of the document.
type ReadNewestCopy struct{}

// AwaitCopy waits for a copy at the offset From of the log of copies. If Urgent is set, a newer document
// is known to exist, and the wait must be short.
type AwaitCopy struct {
	From   uint64
	Urgent bool
}

// CheckEnd reads the end of the log of documents, but no document.
type CheckEnd struct{}

// ReadNewestDocument reads the newest document without knowing its offset.
type ReadNewestDocument struct{}

// AwaitDocument waits for a document at the offset From.
type AwaitDocument struct{ From uint64 }

// ReadDocument reads the document at Offset.
type ReadDocument struct{ Offset uint64 }

func (ReadNewestCopy) isReadStep()     {}
func (AwaitCopy) isReadStep()          {}
func (CheckEnd) isReadStep()           {}
func (ReadNewestDocument) isReadStep() {}
func (AwaitDocument) isReadStep()      {}
func (ReadDocument) isReadStep()       {}

// Source decides from where an instance reads the next version of the configuration. It answers the load
// of versions in quick succession on a link that many instances share: a few readers read the documents
// themselves and append compressed copies to a log of their own, and the others read the copies. An
// instance reads the document itself if its copy does not appear. Documents that a newer one has
// replaced are skipped.
//
// Source is an immutable value; the zero value has read nothing.
type Source struct {
	// era is the era of the logs in which the offsets are valid. A log that was restored from a copy begins
	// another one.
	era uint64
	// copies and documents are the offsets from which the logs are read on. They are valid if the
	// matching flag is set.
	copies         uint64
	documents      uint64
	knowsCopies    bool
	knowsDocuments bool
	// copiesEnd and documentsEnd are the highest ends of the logs seen so far.
	copiesEnd    uint64
	documentsEnd uint64
	// checkDue means that a wait for a copy has ended without one. urgentDone means that this happened
	// although a newer document exists.
	checkDue   bool
	urgentDone bool
}

// Next returns the next read. reader reports whether this instance is one of the readers.
func (s Source) Next(reader bool) ReadStep {
	behind := s.documentsEnd > s.documents
	switch {
	case !s.knowsCopies:
		return ReadNewestCopy{}
	case !s.knowsDocuments:
		return ReadNewestDocument{}
	case behind && (reader || s.urgentDone):
		return ReadDocument{Offset: s.documentsEnd - 1}
	case reader:
		return AwaitDocument{From: s.documents}
	case s.checkDue && !behind:
		return CheckEnd{}
	}
	return AwaitCopy{
		From:   max(s.copies, lastOffset(s.copiesEnd)),
		Urgent: behind,
	}
}

// Era returns the era of the logs in which the positions are valid.
func (s Source) Era() uint64 { return s.era }

// WithEra returns s after a read in an era of the logs. If it is another one, nothing has been read in it yet.
func (s Source) WithEra(era uint64) Source {
	if era == s.era {
		return s
	}
	return Source{era: era}
}

// Position returns the offset after the document that was read last.
func (s Source) Position() uint64 { return s.documents }

// lastOffset returns the offset of the last record of a log, or 0 if it is empty.
func lastOffset(end uint64) uint64 {
	if end == 0 {
		return 0
	}
	return end - 1
}

// WithCopies returns s after a read of the log of copies, from which the next one continues at next. end
// is the end of the log.
func (s Source) WithCopies(next, end uint64) Source {
	s.knowsCopies = true
	s.copies = next
	s.copiesEnd = max(end, next)
	return s
}

// WithCopyOf returns s after a copy of the document at offset was read. A copy of an older document than
// the last one counts as none.
func (s Source) WithCopyOf(offset uint64) Source {
	if s.knowsDocuments && offset < s.documents {
		return s.WithoutNewCopy()
	}
	s.checkDue = !s.knowsDocuments
	s.urgentDone = false
	s.knowsDocuments = true
	s.documents = offset + 1
	s.documentsEnd = max(s.documentsEnd, s.documents)
	return s
}

// WithoutNewCopy returns s after a wait for a copy that ended without one.
func (s Source) WithoutNewCopy() Source {
	s.urgentDone = s.documentsEnd > s.documents
	s.checkDue = !s.urgentDone
	return s
}

// WithDocuments returns s after a read of the log of documents, from which the next one continues at
// next. end is the end of the log.
func (s Source) WithDocuments(next, end uint64) Source {
	s.knowsDocuments = true
	s.documents = next
	s.documentsEnd = max(end, next)
	s.checkDue = false
	s.urgentDone = false
	return s
}

// WithEnd returns s after a check which found that the log of documents ends at end.
func (s Source) WithEnd(end uint64) Source {
	s.documentsEnd = max(end, s.documents)
	s.checkDue = false
	return s
}

// WithFailedDocument returns s after a document could not be read. Its copy may have appeared since.
func (s Source) WithFailedDocument() Source {
	s.urgentDone = false
	return s
}

// WithoutCopies returns s after the position in the log of copies became invalid.
func (s Source) WithoutCopies() Source {
	s.knowsCopies = false
	return s
}

// WithoutDocuments returns s after the position in the log of documents became invalid.
func (s Source) WithoutDocuments() Source {
	s.knowsDocuments = false
	return s
}

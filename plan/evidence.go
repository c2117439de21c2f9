package plan

// LogRead is what a read showed of the log of documents, a sealed interface: DocumentsRead, EndRead,
// CopyRead, ReportRead or HistoryLost.
type LogRead interface{ isLogRead() }

// DocumentsRead is a read of the log of documents from the offset From up to Next, or of its newest
// documents, which then counts as a read from 0.
type DocumentsRead struct {
	From uint64
	Next uint64
	// End is the end of the log at the time of the read.
	End uint64
	// Newest is what became of the newest document that was read, and Offset its offset.
	Newest DocumentState
	Offset uint64
}

// EndRead is a read of the end of the log.
type EndRead struct{ End uint64 }

// CopyRead is a read of a copy of the document at Offset, which was decoded.
type CopyRead struct{ Offset uint64 }

// ReportRead is the report of another instance whose read reached the end of the log: nothing has changed
// from the offset Changed up to Checked.
type ReportRead struct {
	Changed uint64
	Checked uint64
}

// HistoryLost is a read which found the log shorter than what was read before.
type HistoryLost struct{}

func (DocumentsRead) isLogRead() {}
func (EndRead) isLogRead()       {}
func (CopyRead) isLogRead()      {}
func (ReportRead) isLogRead()    {}
func (HistoryLost) isLogRead()   {}

// DocumentState is what became of the newest document of a read.
type DocumentState int

// The states of a document.
const (
	// DocumentNone means that the read found no document.
	DocumentNone DocumentState = iota
	// DocumentInForce means that the table in force is that of the document.
	DocumentInForce
	// DocumentOutdated means that the table in force has a higher version.
	DocumentOutdated
	// DocumentInvalid means that the document could not be decoded, or that it was deleted.
	DocumentInvalid
)

// Evidence decides which reads prove that no newer document exists than the one that the table in force
// was made from. It is an immutable value; the zero value has read nothing.
type Evidence struct {
	// covered is the offset before which the newest document has been taken into account, and newest the
	// offset after that document.
	covered uint64
	newest  uint64
	// known means that the newest document before covered is known. valid means that the table in force is
	// that of this document, or a newer one.
	known bool
	valid bool
	// lost means that the log became shorter. Documents may then be missing, and the offsets of copies and
	// reports may be those of the former log.
	lost bool
	// reached means that the last read showed that the log ends at covered.
	reached bool
}

// With returns e after a read. What the read proves is true as of its beginning.
func (e Evidence) With(read LogRead) Evidence {
	e.reached = false
	switch r := read.(type) {
	case DocumentsRead:
		return e.withDocuments(r)
	case EndRead:
		if r.End < e.covered {
			return e.With(HistoryLost{})
		}
		e.reached = e.known && r.End == e.covered
	case CopyRead:
		// A copy of an older document than the newest one shows nothing.
		if !e.lost && r.Offset+1 >= e.newest {
			e.newest = r.Offset + 1
			e.covered = max(e.covered, e.newest)
			e.known = true
			e.valid = true
		}
	case ReportRead:
		e.reached = e.known && !e.lost && r.Changed <= e.covered && e.covered <= r.Checked
	case HistoryLost:
		return Evidence{lost: true}
	}
	return e
}

func (e Evidence) withDocuments(r DocumentsRead) Evidence {
	if r.End < e.covered {
		e = Evidence{lost: true}
	}
	if r.Newest == DocumentNone {
		return e.withoutDocument(r)
	}
	if r.Offset+1 < e.newest {
		if r.From > 0 {
			return e
		}
		// The document that was newest is gone.
		e = Evidence{lost: true}
	}
	e.newest = r.Offset + 1
	e.covered = max(e.covered, r.Next, e.newest)
	e.known = true
	e.valid = r.Newest == DocumentInForce || r.Newest == DocumentOutdated && !e.lost
	if e.valid {
		e.lost = false
	}
	e.reached = r.End <= e.covered
	return e
}

// withoutDocument returns e after a read that found no document.
func (e Evidence) withoutDocument(r DocumentsRead) Evidence {
	if r.From > e.covered || r.Next < e.covered {
		return e
	}
	e.covered = r.Next
	if r.From == 0 {
		// The log holds no document, or none any more. An earlier one proves nothing.
		e.newest = r.Next
		e.known = true
		e.valid = false
	}
	e.reached = e.known && r.End <= e.covered
	return e
}

// Proves reports whether the last read proves that the table in force is that of the newest document.
func (e Evidence) Proves() bool { return e.reached && e.valid && !e.lost }

// ReachedEnd reports whether the last read showed that every document up to the end of the log has been taken
// into account.
func (e Evidence) ReachedEnd() bool { return e.reached }

// IsLost reports whether the log became shorter and no document has been found since that is in force. Copies
// show nothing then.
func (e Evidence) IsLost() bool { return e.lost }

// Report returns what the last read allows to report to other instances, or false if it did not reach the
// end of the log.
func (e Evidence) Report() (report ReportRead, ok bool) {
	return ReportRead{
		Changed: e.newest,
		Checked: e.covered,
	}, e.reached && !e.lost
}

var (
	_ LogRead = DocumentsRead{}
	_ LogRead = EndRead{}
	_ LogRead = CopyRead{}
	_ LogRead = ReportRead{}
	_ LogRead = HistoryLost{}
)

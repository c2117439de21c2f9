package allotment

import "time"

// Source is where a child's amounts come from, a sealed interface: FromParent, OwnPart,
// SmallPart or Nothing.
type Source interface{ isSource() }

// FromParent means that the parent answers.
type FromParent struct{}

// OwnPart means that the child creates a fraction of the limits, which its parent keeps
// back.
type OwnPart struct{ Fraction float64 }

// SmallPart means that an instance creates a part of the tolerance. Known is the number of
// instances it knows of, or 0.
type SmallPart struct{ Known int }

// Nothing means that a distributor creates nothing.
type Nothing struct{}

func (FromParent) isSource() {}
func (OwnPart) isSource()    {}
func (SmallPart) isSource()  {}
func (Nothing) isSource()    {}

// Link is what a child knows of its parent.
type Link struct {
	distributor bool
	// answeredAt is when the last request that was answered was sent, or zero.
	answeredAt time.Time
	// failing is set if a request after that one got no answer.
	failing  bool
	leftAt   time.Time
	part     float64
	all      int
	siblings []Sibling
}

// NewLink returns the link of a child that has had no parent yet.
func NewLink(distributor bool) Link { return Link{distributor: distributor} }

// Answered records the answer to a request.
func (l *Link) Answered(reply Reply, sentAt time.Time) {
	// A parent may have received the last request after a request that was sent earlier.
	if !sentAt.After(l.answeredAt) || !sentAt.After(l.leftAt) {
		return
	}
	l.answeredAt = sentAt
	l.failing = false
	l.all = reply.All
	l.siblings = reply.Siblings
	if reply.Part > 0 {
		l.part = reply.Part
	}
}

// Failed records that a request got no answer.
func (l *Link) Failed(sentAt time.Time) {
	if sentAt.After(l.answeredAt) {
		l.failing = true
	}
}

// Leave forgets the parent, so that the child creates its own part no more.
func (l *Link) Leave(now time.Time) {
	*l = Link{
		distributor: l.distributor,
		leftAt:      now,
	}
}

// Age returns the age of the last answer, or a negative value if there was none.
func (l *Link) Age(now time.Time) time.Duration {
	if l.answeredAt.IsZero() {
		return -1
	}
	return now.Sub(l.answeredAt)
}

// Part returns the fraction of the limits that the child may create without its parent.
func (l Link) Part() float64 { return l.part }

// Siblings returns the children of the issuer as of its last answer.
func (l Link) Siblings() []Sibling { return l.siblings }

// Source returns where amounts come from.
func (l *Link) Source(now time.Time) Source {
	memory := instanceMemory
	if l.distributor {
		memory = distributorMemory
	}
	age := l.Age(now)
	switch {
	case age >= 0 && !l.failing:
		return FromParent{}
	case age >= ownAfter && age < memory-ownReserve && l.part > 0:
		return OwnPart{Fraction: l.part}
	case l.distributor:
		return Nothing{}
	}
	return SmallPart{Known: l.all}
}

var (
	_ Source = FromParent{}
	_ Source = OwnPart{}
	_ Source = SmallPart{}
	_ Source = Nothing{}
)

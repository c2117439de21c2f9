package allotment

import (
	"maps"
	"slices"
	"time"
)

// child is what a parent knows of a child.
type child struct {
	seenAt  time.Time
	members int
	// part and absent are those of its last request. assigned is the part of the last reply,
	// which the child may not have received before it sent the request.
	part     float64
	assigned float64
	absent   float64
	// answerAge is the age of its last answer that it has reported.
	answerAge time.Duration
	// creates is set if the child has reported that it creates its part.
	creates bool
}

// children are the children of a parent by name.
type children struct {
	// memory is how long the part of a silent child is kept back.
	memory time.Duration
	byName map[string]*child
}

func newChildren(memory time.Duration) children {
	return children{
		memory: memory,
		byName: map[string]*child{},
	}
}

// record stores a request.
func (c children) record(r Request, now time.Time) {
	if r.Leaves {
		delete(c.byName, r.Child)
		return
	}
	assigned := 0.0
	if before := c.byName[r.Child]; before != nil {
		assigned = before.assigned
	}
	c.byName[r.Child] = &child{
		seenAt:    now,
		members:   max(r.Members, 1),
		part:      r.Part,
		assigned:  assigned,
		absent:    r.Absent,
		answerAge: r.AnswerAge,
		creates:   r.Creates,
	}
}

// assignPart returns the part that a child is assigned: its share, but no more than the others leave
// of the whole. Those that were assigned more before may not know of a change yet. With 0, the
// child keeps the part that it has.
func (c children) assignPart(name string, share, whole float64) float64 {
	known := c.byName[name]
	if known == nil {
		return 0
	}
	known.assigned = max(min(share, whole-c.totalPart()+known.largestPart()), 0)
	return known.assigned
}

// totalPart returns the sum of the parts that the children may create.
func (c children) totalPart() float64 {
	total := 0.0
	for _, known := range c.byName {
		total += known.largestPart()
	}
	return total
}

// largestPart returns the largest part that the child may create.
func (c *child) largestPart() float64 { return max(c.part, c.assigned, c.absent) }

// sweep forgets the children whose parts are no longer kept back.
func (c children) sweep(now time.Time) {
	maps.DeleteFunc(c.byName, func(_ string, known *child) bool { return now.Sub(known.seenAt) > c.memory })
}

// withheld returns the fraction of the limits that is kept back.
func (c children) withheld(now time.Time) float64 {
	c.sweep(now)
	kept := 0.0
	for _, known := range c.byName {
		if known.mayCreatePart(now) {
			kept += known.largestPart()
		} else {
			kept += known.absent
		}
	}
	return kept
}

// mayCreatePart reports whether the child may create its part, or may begin to before its next
// request arrives.
func (c *child) mayCreatePart(now time.Time) bool {
	silence := now.Sub(c.seenAt)
	return c.creates || silence > silentAfter || c.part > 0 && (c.answerAge > silentAfter || silence+c.answerAge > ownPartAfter)
}

// members returns the number of instances that the children stand for.
func (c children) members() int {
	n := 0
	for _, known := range c.byName {
		n += known.members
	}
	return n
}

// siblings returns the children in the order of their names.
func (c children) siblings() []Sibling {
	var list []Sibling
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		list = append(list, Sibling{
			Name:    name,
			Members: c.byName[name].members,
			Part:    c.byName[name].largestPart(),
		})
	}
	return list
}

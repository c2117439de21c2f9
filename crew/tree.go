package crew

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/common/rendezvous"
)

// tree is the topology of one wave: a permutation of the instances of the data centre,
// derived from the number of the wave, in which position p sends to position
// (p-1)/fanOut. Because each wave uses another permutation, all instances carry the
// same load over time, and a failed instance disturbs only single waves.
type tree struct {
	members  []*Instance
	position int
	fanOut   int
}

func newTree(v *View, number uint64, fanOut int) tree {
	t := tree{
		fanOut: fanOut,
	}
	weights := map[string]uint64{}
	for _, i := range v.index.instances[v.self.DataCentre] {
		if i.State == StateGone {
			continue
		}
		t.members = append(t.members, i)
		weights[i.ID] = rendezvous.Mix(xxhash.Sum64String(i.ID), rendezvous.Mix(number, 1))
	}
	slices.SortFunc(t.members, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(weights[a.ID], weights[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	t.position = slices.IndexFunc(t.members, func(i *Instance) bool { return i.ID == v.self.ID })
	return t
}

// parent returns the instance to send to, or nil for the root.
func (t tree) parent() *Instance {
	if t.position <= 0 {
		return nil
	}
	return t.members[(t.position-1)/t.fanOut]
}

// children returns the keys of the instances that send to this one.
func (t tree) children() map[uint32]bool {
	keys := map[uint32]bool{}
	if t.position < 0 {
		return keys
	}
	first := t.position*t.fanOut + 1
	for p := first; p < min(first+t.fanOut, len(t.members)); p++ {
		keys[Key(t.members[p].ID)] = true
	}
	return keys
}

// height returns the number of levels below this instance.
func (t tree) height() int {
	height := 0
	for p := t.position*t.fanOut + 1; p > 0 && p < len(t.members); p = p*t.fanOut + 1 {
		height++
	}
	return height
}

// membersSum returns a checksum of the members' keys. It is equal for instances that
// expect the same members.
func (t tree) membersSum() uint32 {
	var sum uint32
	for _, i := range t.members {
		sum ^= Key(i.ID)
	}
	return sum
}

package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func nodeNames(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	return names
}

// Top must return the same nodes as a full sort by weight, for any order of the nodes.
func TestTopIsSortedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodeNames(rapid.IntRange(0, 20).Draw(t, "nodes"))
		n := rapid.IntRange(1, 6).Draw(t, "n")
		key := rapid.String().Draw(t, "key")
		want := slices.Clone(nodes)
		slices.SortFunc(want, func(a, b string) int {
			if Weight(key, a) > Weight(key, b) {
				return -1
			}
			return 1
		})
		want = want[:min(n, len(want))]
		shuffled := rapid.Permutation(nodes).Draw(t, "order")
		got := Top(key, shuffled, n)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if len(nodes) > 0 && Owner(key, shuffled) != want[0] {
			t.Fatalf("owner %s, want %s", Owner(key, shuffled), want[0])
		}
	})
}

// Removing a node must reassign only its own keys, and the keys must be distributed evenly.
func TestDistribution(t *testing.T) {
	c := qt.New(t)
	const keys = 2000
	nodes := nodeNames(10)
	keysOf := map[string]int{}
	for i := range keys {
		key := fmt.Sprint(i)
		owner := Owner(key, nodes)
		keysOf[owner]++
		if owner != nodes[3] {
			c.Assert(Owner(key, slices.Concat(nodes[:3], nodes[4:])), qt.Equals, owner)
		}
	}
	for _, node := range nodes {
		c.Assert(keysOf[node] > keys/20 && keysOf[node] < keys/5, qt.IsTrue, qt.Commentf("%s: %d", node, keysOf[node]))
	}
}

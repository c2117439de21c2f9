// Package rendezvous implements rendezvous hashing, also called highest random weight
// hashing. Keys are distributed evenly over nodes. If a node joins or leaves, only the
// keys that it owns are reassigned.
//
// # Usage
//
//	pollers := rendezvous.Top("decode-07", instances, 2)
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key. The node with the highest weight owns
// the key.
func Weight(key, node string) uint64 {
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(node))
}

// Mix combines the 64-bit hashes of a key and a node into a weight.
func Mix(key, node uint64) uint64 {
	const (
		factor1 = 0xff51afd7ed558ccd
		factor2 = 0xc4ceb9fe1a85ec53
		shift   = 33
	)
	h := key ^ (node + factor2)
	h ^= h >> shift
	h *= factor1
	h ^= h >> shift
	h *= factor2
	return h ^ h>>shift
}

// Top returns the n nodes with the highest weights, highest first, or all nodes if there
// are fewer. The nodes must be distinct. Their order doesn't matter.
func Top(key string, nodes []string, n int) []string {
	hash := xxhash.Sum64String(key)
	top := make([]string, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, node := range nodes {
		w := Mix(hash, xxhash.Sum64String(node))
		i := len(top)
		for i > 0 && (w > weights[i-1] || (w == weights[i-1] && node < top[i-1])) {
			i--
		}
		if i == n {
			continue
		}
		top = slices.Insert(top, i, node)
		weights = slices.Insert(weights, i, w)
		top = top[:min(n, len(top))]
		weights = weights[:len(top)]
	}
	return top
}

// Rank returns the index of a node in Top(key, nodes, n), or -1 if it is not in it.
func Rank(key string, nodes []string, n int, node string) int {
	return slices.Index(Top(key, nodes, n), node)
}

// Owner returns the node with the highest weight, or "" if there are no nodes.
func Owner(key string, nodes []string) string {
	hash := xxhash.Sum64String(key)
	var owner string
	var highest uint64
	for _, node := range nodes {
		w := Mix(hash, xxhash.Sum64String(node))
		if owner == "" || w > highest || (w == highest && node < owner) {
			owner = node
			highest = w
		}
	}
	return owner
}

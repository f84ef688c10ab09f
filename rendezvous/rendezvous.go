// Package rendezvous selects members of a set for a key by highest random
// weight. All participants with the same set select the same members, and a
// change of the set moves few keys.
//
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashMultiplier is the 64-bit golden ratio, used to mix two hashes.
const hashMultiplier = 0x9E3779B97F4A7C15

// Weight returns the weight of a member for a key.
func Weight(key, member string) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(member))
}

func mix(keyHash, memberHash uint64) uint64 {
	mixed := keyHash ^ (memberHash * hashMultiplier)
	mixed ^= mixed >> 32
	mixed *= hashMultiplier
	mixed ^= mixed >> 29
	mixed *= hashMultiplier
	return mixed ^ mixed>>32
}

// Set is an immutable set of members with precomputed hashes.
type Set struct {
	members []string
	hashes  []uint64
}

// NewSet returns a set of the given members. The caller must not change the
// slice afterwards.
func NewSet(members []string) Set {
	set := Set{members: members, hashes: make([]uint64, len(members))}
	for i, member := range members {
		set.hashes[i] = xxhash.Sum64String(member)
	}
	return set
}

// Len returns the number of members.
func (s Set) Len() int { return len(s.members) }

// Owner returns the member with the highest weight, or "" for an empty set.
func (s Set) Owner(key string) string {
	keyHash := xxhash.Sum64String(key)
	owner := ""
	var best uint64
	for i, hash := range s.hashes {
		weight := mix(keyHash, hash)
		if owner == "" || weight > best {
			owner, best = s.members[i], weight
		}
	}
	return owner
}

// Top returns up to count members in descending order of weight.
func (s Set) Top(key string, count int) []string {
	type weighted struct {
		member string
		weight uint64
	}
	keyHash := xxhash.Sum64String(key)
	all := make([]weighted, len(s.members))
	for i, member := range s.members {
		all[i] = weighted{member, mix(keyHash, s.hashes[i])}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	if count > len(all) {
		count = len(all)
	}
	top := make([]string, count)
	for i := range top {
		top[i] = all[i].member
	}
	return top
}

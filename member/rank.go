package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns the members, sorted by Before for a duty.
func Ranked(members []Member, duty string) []Member {
	type ranked struct {
		index int
		hash  uint64
	}
	order := make([]ranked, len(members))
	for i := range members {
		order[i] = ranked{i, dutyHash(&members[i], duty)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		first, second := &members[a.index], &members[b.index]
		return cmp.Or(cmp.Compare(second.Weight, first.Weight), cmp.Compare(a.hash, b.hash), strings.Compare(first.Name, second.Name))
	})
	sorted := make([]Member, 0, len(members))
	for _, one := range order {
		sorted = append(sorted, members[one.index])
	}
	return sorted
}

// Rank returns how many members precede self in the order of Before for a duty.
func Rank(self *Member, members []Member, duty string) int {
	own, rank := dutyHash(self, duty), 0
	for i := range members {
		other := &members[i]
		heavier := other.Weight > self.Weight
		if other.Name != self.Name && (heavier || other.Weight == self.Weight && dutyHash(other, duty) < own) {
			rank++
		}
	}
	return rank
}

func dutyHash(m *Member, duty string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(duty)
	_, _ = digest.WriteString(m.Name)
	return digest.Sum64()
}

package member

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets in the digest of the members. A message carries at
	// most this many; see foldedBuckets.
	digestBuckets = 256
	// membersPerBucket is the approximate number of members that share a bucket in a message.
	membersPerBucket = 4
)

// digest is an order-independent checksum of the known members and back ends. Suspicions and deaths
// are left out: suspicions are short-lived, and dead members are removed at different times on
// different daemons.
type digest struct {
	// buckets are the sums over the members whose names hash to them.
	buckets  [digestBuckets]uint32
	backEnds uint64
}

// replace subtracts the old entry of a member and adds the new one; either may be nil.
func (g *digest) replace(before, after *Member) {
	for _, known := range []*Member{before, after} {
		if known == nil || known.State == Dead {
			continue
		}
		sum := uint32(memberDigest(known))
		if known == before {
			sum = -sum
		}
		g.buckets[bucketOf(known.Name)] += sum
	}
}

// replaceBackEnd subtracts the old entry of a back end, if there is one, and adds the new one.
func (g *digest) replaceBackEnd(before, after *BackEnd) {
	if before != nil {
		g.backEnds -= backEndDigest(before)
	}
	g.backEnds += backEndDigest(after)
}

// sum combines all buckets and the back ends into one number.
func (g *digest) sum() uint64 {
	total := g.backEnds
	for index, bucket := range g.buckets {
		total += uint64(bucket) * (2*uint64(index) + 1)
	}
	return total
}

// foldedBuckets returns the sums folded into the number of buckets that suits the group size.
func (g *digest) foldedBuckets(groupSize int) []uint32 {
	count := min(digestBuckets, 1<<bits.Len(uint(groupSize/membersPerBucket)))
	folded := make([]uint32, count)
	for index, bucket := range g.buckets {
		folded[index%count] += bucket
	}
	return folded
}

// differing returns the indices of the buckets whose sums differ from those of another daemon.
func (g *digest) differing(other []uint32) map[int]bool {
	if len(other) == 0 || digestBuckets%len(other) != 0 {
		return nil
	}
	differingBuckets := map[int]bool{}
	own := make([]uint32, len(other))
	for index, bucket := range g.buckets {
		own[index%len(other)] += bucket
	}
	for index := range own {
		if own[index] != other[index] {
			differingBuckets[index] = true
		}
	}
	return differingBuckets
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

func memberDigest(m *Member) uint64 {
	return xxhash.Sum64String(m.Name + " " + strconv.FormatUint(m.Incarnation, 36) + " " + strconv.FormatBool(m.Leaving))
}

func backEndDigest(b *BackEnd) uint64 {
	return xxhash.Sum64String(b.Name + " " + b.Boot + " " + strconv.FormatUint(b.Change, 36) + " " + strconv.Itoa(int(b.State)))
}

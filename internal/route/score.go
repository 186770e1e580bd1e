package route

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of an organisation and a session.
type Key uint64

// NewKey returns the key of an organisation's session.
func NewKey(organisation, session string) Key {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(organisation)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(session)
	return Key(digest.Sum64())
}

// HashName returns the hash of an upstream's or a box's name for rendezvous hashing.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Fixed-point formats: a logarithm has logBits fraction bits, and an inverse weight is inverseOne
// divided by the weight.
const (
	logBits    = 20
	tableBits  = 8
	inverseOne = 1 << 34
	// weightUnit is the number of units of effective weight per unit of table weight, because slow
	// start needs fractions.
	weightUnit = 100
)

// logTable holds log2(1+i/256) in fixed point, with an extra entry for interpolation. Integer
// arithmetic keeps the order of engines the same on every processor.
var logTable = newLogTable()

func newLogTable() [1<<tableBits + 1]uint32 {
	var table [1<<tableBits + 1]uint32
	for i := range table {
		table[i] = uint32(math.Round(math.Log2(1+float64(i)/(1<<tableBits)) * (1 << logBits)))
	}
	return table
}

// negativeLog returns -log2(h/2^64) in fixed point, for h > 0.
func negativeLog(h uint64) uint64 {
	zeros := bits.LeadingZeros64(h)
	fraction := h << (zeros + 1)
	index := fraction >> (64 - tableBits)
	remainder := (fraction << tableBits) >> (64 - logBits)
	low, high := uint64(logTable[index]), uint64(logTable[index+1])
	logarithm := low + (high-low)*remainder>>logBits
	return uint64(zeros+1)<<logBits - logarithm
}

// Score returns the score of a member for a key in unweighted rendezvous hashing. First and Rank
// prefer the smallest score. Package mesh chooses the owner with the largest score; all boxes must
// use the same order.
func Score(key Key, member uint64) uint64 { return mix(uint64(key) ^ member) }

// mix spreads the bits of a combined hash. It is the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// score returns the score of a member for a key in weighted rendezvous hashing. The smallest score
// ranks first, and a member ranks first for a fraction of all keys in proportion to its weight. The
// weight must not be 0.
func score(key Key, member uint64, weight int) uint64 {
	return negativeLog(mix(uint64(key)^member)|1) * (inverseOne / uint64(weight))
}

// First returns the position of the highest ranked of equally weighted members for a key, or -1 if
// there are none.
func First(key Key, members []uint64) int {
	first, best := -1, uint64(0)
	for i, member := range members {
		s := mix(uint64(key) ^ member)
		if first < 0 || s < best || s == best && member < members[first] {
			first, best = i, s
		}
	}
	return first
}

// Rank returns the positions of equally weighted members in their order for a key, highest ranked
// first.
func Rank(key Key, members []uint64) []int {
	order := make([]int, len(members))
	scores := make([]uint64, len(members))
	for i, member := range members {
		order[i] = i
		scores[i] = Score(key, member)
	}
	sortByScore(order, scores, members)
	return order
}

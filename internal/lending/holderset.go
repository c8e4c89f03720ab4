package lending

// HolderSet identifies a set of holders: the sum of a hash of each member's incarnation. Sets
// that differ have the same sum with a probability of about 2^-64.
type HolderSet uint64

// setOf returns the set with one member. The hash is the finalizer of SplitMix64: sums of
// incarnations as they are would be equal for many sets of small numbers.
func setOf(incarnation uint64) HolderSet {
	z := incarnation + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return HolderSet(z ^ z>>31)
}

// covers reports whether this holder belongs to a set and hears all of it. A set that lacks
// one of the holders that are heard is recognized by the difference; one that lacks several
// is not, and counts as not covered, which is safe. Holders notice a failure at slightly
// different times, so the sets of those that hear each other usually differ by one at most.
func (p *Pool) covers(set HolderSet) bool {
	missing := p.heard - set
	if missing == 0 || set == 0 {
		return true
	}
	for _, other := range p.peers {
		if other.heard && setOf(other.incarnation) == missing {
			return true
		}
	}
	return false
}

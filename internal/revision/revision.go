// Package revision orders the states of a revisioned key-value store, also of one that is
// restored from an older copy.
package revision

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Revision is a point in the history of a store.
//
// A restoration brings the store back to an older state, and the numbers that were given
// out since then are given out again, for other changes. So a number means nothing without
// the generation of the store that it belongs to, and numbers of two generations do not
// tell which of two values is newer.
//
// The zero value is before all changes.
type Revision struct {
	// Generation counts the restorations of the store. It is 0 if the store does not tell.
	Generation uint64 `json:"generation,omitempty"`
	// Number is the revision number within the generation.
	Number uint64 `json:"number"`
}

// IsZero reports whether r is before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare orders revisions by generation and then by number. It returns -1, 0 or 1.
//
// Within a generation it is the order of the changes. Across generations it only tells
// which process has heard of the store last: a change may have been lost and repeated.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Generation, o.Generation), cmp.Compare(r.Number, o.Number))
}

// After reports whether r comes after o in the order of Compare.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// SameGeneration reports whether both revisions belong to one generation of the store.
func (r Revision) SameGeneration(o Revision) bool { return r.Generation == o.Generation }

// separator stands between generation and number in the text of a revision.
const separator = "."

// String returns GENERATION.NUMBER, or the number alone in generation 0.
func (r Revision) String() string {
	if r.Generation == 0 {
		return strconv.FormatUint(r.Number, 10)
	}
	return strconv.FormatUint(r.Generation, 10) + separator + strconv.FormatUint(r.Number, 10)
}

// Parse reads the text that String returns.
func Parse(text string) (Revision, error) {
	generation, number, ok := strings.Cut(text, separator)
	if !ok {
		generation, number = "0", text
	}
	var r Revision
	var err error
	if r.Generation, err = strconv.ParseUint(generation, 10, 64); err != nil {
		return Revision{}, errors.Wrapf(err, "revision %q: write GENERATION.NUMBER", text)
	}
	if r.Number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return Revision{}, errors.Wrapf(err, "revision %q: write GENERATION.NUMBER", text)
	}
	return r, nil
}

// fenceNumberBits is the number of bits of a fencing token that hold the number of the
// revision. The others hold the generation.
const fenceNumberBits = 40

// maxFenceGeneration keeps fencing tokens below 2^53, above which JSON numbers are not
// exact everywhere.
const maxFenceGeneration = 1<<(53-fenceNumberBits) - 1

// ErrNoFence reports a revision from which no fencing token can be made.
var ErrNoFence = errors.New("the generation or the number of the store's revision is too large for a fencing token")

// Fence returns a fencing token that grows with the revision, over restorations too.
func (r Revision) Fence() (uint64, error) {
	if r.Generation > maxFenceGeneration || r.Number >= 1<<fenceNumberBits {
		return 0, errors.Wrapf(ErrNoFence, "revision %s", r)
	}
	return r.Generation<<fenceNumberBits | r.Number, nil
}

package revision

import (
	"math"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against a change after a restoration that counts as older than one before it.
func TestOrder(t *testing.T) {
	ordered := []Revision{{}, {Number: 7}, {Number: 900}, {Generation: 1, Number: 3}, {Generation: 1, Number: 4}, {Generation: 2, Number: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.After(b) != (i > j) {
				t.Errorf("%v after %v: %v", a, b, a.After(b))
			}
			fenceA, errA := a.Fence()
			fenceB, errB := b.Fence()
			if errA != nil || errB != nil || (fenceA > fenceB) != (i > j) {
				t.Errorf("fences of %v and %v: %d (%v), %d (%v)", a, b, fenceA, errA, fenceB, errB)
			}
		}
	}
}

// Guards against a fencing token that goes back because its parts overflow.
func TestFenceOfLargeRevisions(t *testing.T) {
	for _, r := range []Revision{{Generation: math.MaxUint64, Number: 1}, {Generation: 1 << 13, Number: 1}, {Number: 1 << 40}} {
		if fence, err := r.Fence(); !errors.Is(err, ErrNoFence) {
			t.Errorf("%v: fence %d, error %v", r, fence, err)
		}
	}
}

// FuzzParse guards against a text that does not name the revision that it was made from.
func FuzzParse(f *testing.F) {
	f.Add("7")
	f.Add("2.145")
	f.Add("0.3")
	f.Add("-1.x")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		if again, err := Parse(r.String()); err != nil || again != r {
			t.Errorf("%q is %v, and %q is %v (%v)", text, r, r.String(), again, err)
		}
	})
}

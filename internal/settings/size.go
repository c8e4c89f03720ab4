package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Size is a number of bytes. In YAML it is written with a unit: B, KB, MB or GB (powers
// of 1000), or KiB, MiB or GiB (powers of 1024).
type Size int64

// Units of Size.
const (
	Byte     Size = 1
	Kilobyte Size = 1000
	Megabyte Size = 1000 * Kilobyte
	Gigabyte Size = 1000 * Megabyte
	Kibibyte Size = 1024
	Mebibyte Size = 1024 * Kibibyte
	Gibibyte Size = 1024 * Mebibyte
)

type sizeUnit struct {
	suffix string
	size   Size
}

// sizeUnits lists B last, because the suffixes of all other units end in B.
var sizeUnits = []sizeUnit{
	{"KiB", Kibibyte}, {"MiB", Mebibyte}, {"GiB", Gibibyte},
	{"KB", Kilobyte}, {"MB", Megabyte}, {"GB", Gigabyte},
	{"B", Byte},
}

var errInvalidSize = errors.New("write a whole number with a unit, such as 512KB, 2MB or 1GiB")

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSuffix(digits, " "), 10, 63)
		if err != nil || n > uint64(math.MaxInt64/int64(u.size)) {
			return errInvalidSize
		}
		*s = Size(n) * u.size
		return nil
	}
	return errInvalidSize
}

// String returns the size in the largest unit that divides it without remainder.
func (s Size) String() string {
	largest := sizeUnit{"B", Byte}
	for _, u := range sizeUnits {
		if s != 0 && s%u.size == 0 && u.size > largest.size {
			largest = u
		}
	}
	return strconv.FormatInt(int64(s/largest.size), 10) + largest.suffix
}

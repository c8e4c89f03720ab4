package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Size is a number of bytes. In YAML it has a unit: B, KB, MB, GB (powers of
// 1000) or KiB, MiB, GiB (powers of 1024).
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

// sizeUnits lists B last, because the other units end in it.
var sizeUnits = []sizeUnit{
	{"KiB", Kibibyte}, {"MiB", Mebibyte}, {"GiB", Gibibyte},
	{"KB", Kilobyte}, {"MB", Megabyte}, {"GB", Gigabyte},
	{"B", Byte},
}

var errSize = errors.New("write a whole number with a unit, such as 512KB, 2MB or 1GiB")

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSuffix(digits, " "), 10, 63)
		if err != nil || n > uint64(math.MaxInt64/int64(u.size)) {
			return errSize
		}
		*s = Size(n) * u.size
		return nil
	}
	return errSize
}

// String returns the size with the largest unit that divides it.
func (s Size) String() string {
	best := sizeUnit{"B", Byte}
	for _, u := range sizeUnits {
		if s != 0 && s%u.size == 0 && u.size > best.size {
			best = u
		}
	}
	return strconv.FormatInt(int64(s/best.size), 10) + best.suffix
}

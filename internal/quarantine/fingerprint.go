package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Fingerprint is a hash of what the upstreams run: of the parts of a whole request, or
// of a part of a prompt that many requests share.
type Fingerprint [16]byte

// partMark ends the fingerprint of a prompt part and distinguishes it from that of a
// request.
var partMark = []byte("part")

// FingerprintOf returns the fingerprint of a request that consists of the given
// parts.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		// The length prefix distinguishes parts whose concatenations are equal.
		size := len(p)
		h.Write([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		h.Write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// PartFingerprint returns the fingerprint of a prompt part that a model processes.
func PartFingerprint(model, part string) Fingerprint {
	f := FingerprintOf([]byte(model), []byte(part))
	copy(f[len(f)-len(partMark):], partMark)
	return f
}

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return bytes.HasSuffix(f[:], partMark) }

// Compare orders fingerprints by their bytes.
func (f Fingerprint) Compare(other Fingerprint) int { return bytes.Compare(f[:], other[:]) }

// String returns the hexadecimal form that is used in logs and keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return errors.Errorf("fingerprint %q: want %d hex digits", text, 2*len(f))
	}
	copy(f[:], raw)
	return nil
}

package account

// Credential is what a request presents to name its account.
type Credential struct {
	// Key is the digest of the key. It is valid if Problem is empty.
	Key KeyDigest
	// Problem says why the request presents no usable key.
	Problem string
}

// MaxKeyBytes limits the length of a key. Longer ones are refused without being hashed.
const MaxKeyBytes = 256

// Problems of keys.
const (
	ProblemRepeated     = "the key is given more than once"
	ProblemTooLong      = "the key is too long"
	ProblemNotPrintable = "the key has bytes that are not printable ASCII"
)

// NewCredential returns the credential of a request with the given keys, of which there
// should be one.
func NewCredential(keys []string) Credential {
	switch {
	case len(keys) == 0:
		return Credential{Problem: "the key is missing"}
	case len(keys) > 1:
		return Credential{Problem: ProblemRepeated}
	case keys[0] == "":
		return Credential{Problem: "the key is empty"}
	case len(keys[0]) > MaxKeyBytes:
		return Credential{Problem: ProblemTooLong}
	case !isPrintable(keys[0]):
		return Credential{Problem: ProblemNotPrintable}
	}
	return Credential{Key: Digest(keys[0])}
}

// isPrintable reports whether the text consists of printable ASCII characters other than
// space.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

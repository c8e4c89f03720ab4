package reqhead

import (
	"strings"

	"github.com/fescueslip/fescueslip/internal/account"
)

// part is the place in the bytes of a connection that a scanner has reached.
type part uint8

const (
	inMethod part = iota
	inTarget
	inVersion
	atLineStart
	inName
	inValue
	// afterCR is behind a CR at the end of a line, and afterLastCR behind one in the empty
	// line that ends the head.
	afterCR
	afterLastCR
	inBody
	// lost means that nothing is known of the bytes that follow, until the connection ends:
	// the head has a fault, or the end of the body cannot be found without its chunks.
	lost
)

// field is the meaning of the header line that a scanner reads.
type field uint8

const (
	otherField field = iota
	keyField
	lengthField
)

const (
	// maxName is longer than any name that a scanner compares.
	maxName = 64
	// maxLength keeps lengths of bodies from overflowing.
	maxLength = 1 << 50
	// versionPrefix is followed by 0 or 1.
	versionPrefix = "HTTP/1."
)

// scanner follows the request heads on a connection in constant memory. It accepts less
// than net/http, so that it never blames the key for a fault that comes before it.
type scanner struct {
	keyHeader string
	part      part

	// head is the number of bytes of the head so far.
	head int
	// keys and keyBytes count the lines of the key header and the bytes of their values
	// other than spaces.
	keys, keyBytes int
	// invalidKey is set if the first fault of the head is a byte of a key.
	invalidKey bool

	// partBytes is the number of bytes in the method, target, version or name so far.
	partBytes int
	// hexDigits is the number of digits that an escape in the target still needs.
	hexDigits int
	inQuery   bool
	// firstLine is set until the first header line begins, which can't continue another one.
	firstLine bool
	name      [maxName]byte
	field     field

	// hasLength means that the head has a Content-Length, and lengthEnded that a space ended its
	// digits. chunked means that it has a Transfer-Encoding.
	hasLength, lengthEnded, chunked bool
	// body is the number of bytes of the body that have not been read.
	body int64
}

// beginHead makes the next byte the first one of a head.
func (s *scanner) beginHead() { *s = scanner{keyHeader: s.keyHeader} }

// scan reads the next bytes of the connection.
func (s *scanner) scan(p []byte) {
	for len(p) > 0 && s.part != lost {
		if s.part == inBody {
			n := min(int64(len(p)), s.body)
			p = p[n:]
			if s.body -= n; s.body == 0 {
				s.beginHead()
			}
			continue
		}
		// The valid bytes of values that have no meaning here are skipped at once.
		n := 1
		if s.part == inValue && s.field == otherField {
			n = max(1, validBytes(p))
		}
		s.head += n
		s.read(p[n-1])
		p = p[n:]
	}
}

// read reads one byte of a head.
func (s *scanner) read(b byte) {
	switch s.part {
	case inMethod:
		s.readMethod(b)
	case inTarget:
		s.readTarget(b)
	case inVersion:
		s.readVersion(b)
	case atLineStart:
		s.readLineStart(b)
	case inName:
		s.readName(b)
	case inValue:
		s.readValue(b)
	case afterCR:
		if b != '\n' {
			s.invalidByte() // the CR is part of the value
			return
		}
		s.part = atLineStart
	case afterLastCR:
		if b != '\n' {
			s.part = lost
			return
		}
		s.endHead()
	}
}

// enter begins a part of the head.
func (s *scanner) enter(p part) { s.part, s.partBytes = p, 0 }

func (s *scanner) readMethod(b byte) {
	switch {
	case b == ' ' && s.partBytes > 0:
		s.enter(inTarget)
	case isTokenByte(b):
		s.partBytes++
	default:
		s.part = lost
	}
}

// readTarget accepts a path and a query. net/http checks the escapes of the path only.
func (s *scanner) readTarget(b byte) {
	s.partBytes++
	switch {
	case s.partBytes == 1 && b != '/', s.hexDigits > 0 && !isHex(b):
		s.part = lost
	case b == ' ':
		s.firstLine = true
		s.enter(inVersion)
	case b < ' ', b == 0x7f:
		s.part = lost
	case s.hexDigits > 0:
		s.hexDigits--
	case b == '%' && !s.inQuery:
		s.hexDigits = 2
	case b == '?':
		s.inQuery = true
	}
}

func (s *scanner) readVersion(b byte) {
	i := s.partBytes
	s.partBytes++
	switch {
	case i < len(versionPrefix) && b == versionPrefix[i]:
	case i == len(versionPrefix) && (b == '0' || b == '1'):
	case i > len(versionPrefix) && b == '\r':
		s.part = afterCR
	case i > len(versionPrefix) && b == '\n':
		s.part = atLineStart
	default:
		s.part = lost
	}
}

func (s *scanner) readLineStart(b byte) {
	switch {
	case b == '\r':
		s.part = afterLastCR
	case b == '\n':
		s.endHead()
	case isSpace(b) && (s.firstLine || s.field == lengthField):
		s.part = lost
	case isSpace(b):
		s.part = inValue // the line continues the one before
	default:
		s.firstLine, s.field = false, otherField
		s.enter(inName)
		s.readName(b)
	}
}

func (s *scanner) readName(b byte) {
	switch {
	case b == ':' && s.partBytes > 0:
		s.beginValue()
	case !isTokenByte(b):
		s.part = lost
	default:
		if s.partBytes < maxName {
			s.name[s.partBytes] = b
		}
		s.partBytes++
	}
}

// beginValue begins the value of the header line whose name was read.
func (s *scanner) beginValue() {
	s.part = inValue
	if s.partBytes > maxName {
		return
	}
	name := s.name[:s.partBytes]
	switch {
	case strings.EqualFold(string(name), s.keyHeader):
		s.field = keyField
		s.keys++
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		s.chunked = true
	case !strings.EqualFold(string(name), "Content-Length"):
	case s.hasLength:
		s.part = lost
	default:
		s.field, s.hasLength, s.lengthEnded = lengthField, true, false
		s.partBytes = 0
	}
}

func (s *scanner) readValue(b byte) {
	switch {
	case b == '\n':
		s.part = atLineStart
	case b == '\r':
		s.part = afterCR
	case !isValueByte(b):
		s.invalidByte()
	case s.field == keyField && !isSpace(b):
		s.keyBytes++
	case s.field == lengthField:
		s.readLength(b)
	}
}

// invalidByte ends the scan at a byte that no header value may have.
func (s *scanner) invalidByte() {
	s.invalidKey = s.field == keyField
	s.part = lost
}

// readLength reads a byte of the length of the body. Spaces around the digits are allowed.
func (s *scanner) readLength(b byte) {
	switch {
	case isSpace(b):
		s.lengthEnded = s.partBytes > 0
	case b < '0' || b > '9' || s.lengthEnded || s.body > maxLength:
		s.part = lost
	default:
		s.partBytes++
		s.body = 10*s.body + int64(b-'0')
	}
}

// endHead ends the head. A body follows it, or the next head.
func (s *scanner) endHead() {
	switch {
	case s.chunked:
		s.part = lost
	case s.body > 0:
		s.part = inBody
	default:
		s.beginHead()
	}
}

// excess returns the problem of the key if it makes the head too large: it is longer than
// any key, and the rest of the head that was read is within limit bytes. Otherwise it
// returns an empty string.
func (s *scanner) excess(limit int) string {
	switch {
	case s.part == lost, s.keyBytes <= account.MaxKeyBytes, s.head-s.keyBytes > limit:
		return ""
	case s.keys > 1:
		return account.ProblemRepeated
	default:
		return account.ProblemTooLong
	}
}

// invalid returns the problem of the key if the first fault of the head is in it, or an
// empty string.
func (s *scanner) invalid() string {
	if !s.invalidKey {
		return ""
	}
	return account.ProblemNotPrintable
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' }

func isHex(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

// isValueByte reports whether the value of a header may have the byte.
func isValueByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// validBytes returns the number of bytes before the first one that ends a value.
func validBytes(p []byte) int {
	for i, b := range p {
		if !isValueByte(b) {
			return i
		}
	}
	return len(p)
}

// tokenBytes are the bytes that a method or the name of a header may have.
var tokenBytes = func() (t [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[b] = true
	}
	return t
}()

func isTokenByte(b byte) bool { return tokenBytes[b] }

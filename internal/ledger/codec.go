package ledger

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// The encoding is binary because a head is written many times a second: an
// intent without an answer takes about 60 bytes.

var errCorrupt = errors.New("ledger value is corrupt; restore the key-value service from its backup")

const (
	headVersion = 1
	heldFlag    = 1 << 7
	// noAnswerBytes is the size of an encoded intent without an answer, rounded up.
	noAnswerBytes = 64
)

func appendIntent(b []byte, i Intent) []byte {
	b = append(b, i.Key[:]...)
	b = append(b, i.Digest[:]...)
	b = append(b, i.Attempt[:]...)
	state := byte(i.State)
	if i.Answer.BodyKept {
		state |= heldFlag
	}
	b = append(b, state)
	b = binary.AppendUvarint(b, uint64(i.CommittedAt))
	b = binary.AppendUvarint(b, uint64(i.MaxRunTime.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(i.Answer.Status))
	b = appendBytes(b, []byte(i.Answer.ContentType))
	return appendBytes(b, i.Answer.Body)
}

func appendBytes(b, v []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

// reader decodes and remembers the first failure.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.failed = true
		r.b = nil
		return make([]byte, min(n, 64))
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		r.b = nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte { return r.take(r.uvarint()) }

func (r *reader) intent() Intent {
	var i Intent
	copy(i.Key[:], r.take(uint64(len(i.Key))))
	copy(i.Digest[:], r.take(uint64(len(i.Digest))))
	copy(i.Attempt[:], r.take(uint64(len(i.Attempt))))
	state := r.take(1)[0]
	i.State = State(state &^ heldFlag)
	i.Answer.BodyKept = state&heldFlag != 0
	i.CommittedAt = Clock(r.uvarint())
	i.MaxRunTime = time.Duration(r.uvarint()) * time.Millisecond
	i.Answer.Status = int(r.uvarint())
	i.Answer.ContentType = string(r.bytes())
	i.Answer.Body = append([]byte(nil), r.bytes()...)
	return i
}

func (r *reader) err() error {
	if r.failed {
		return errCorrupt
	}
	return nil
}

// operation is one write to a shard, as it travels to the preferred writer.
type operation struct {
	// settles tells a settlement from a commit.
	settles bool
	// proves demands a write even when nothing changes: the index moves, so
	// that no earlier write with the same attempt can take effect any more.
	proves bool
	intent Intent
}

// The kinds of an encoded operation.
const (
	opCommit = iota
	opSettle
	opProve
)

func (o operation) encode() []byte {
	kind := byte(opCommit)
	switch {
	case o.proves:
		kind = opProve
	case o.settles:
		kind = opSettle
	}
	return appendIntent([]byte{kind}, o.intent)
}

func decodeOperation(b []byte) (operation, error) {
	r := reader{b: b}
	kind := r.take(1)[0]
	o := operation{settles: kind != opCommit, proves: kind == opProve, intent: r.intent()}
	return o, r.err()
}

// outcome is the result of an operation; intent is the one in force.
type outcome struct {
	verdict Verdict
	intent  Intent
	// disputed is set when another writer may still be writing the operation,
	// with another result. It stays in this process.
	disputed bool
}

func (o outcome) encode() []byte { return appendIntent([]byte{byte(o.verdict)}, o.intent) }

func decodeOutcome(b []byte) (outcome, error) {
	r := reader{b: b}
	o := outcome{verdict: Verdict(r.take(1)[0])}
	o.intent = r.intent()
	return o, r.err()
}

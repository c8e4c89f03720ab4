package ledger

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// Values use a compact binary encoding because a head is written many times a
// second. An intent without an answer takes about 60 bytes.

var errCorrupt = errors.New("ledger value is corrupt; restore the key-value service from its backup")

const (
	headVersion  = 1
	bodyKeptFlag = 1 << 7
	// baseIntentBytes is the encoded size of an intent without an answer, rounded
	// up.
	baseIntentBytes = 64
)

func appendIntent(b []byte, i Intent) []byte {
	b = append(b, i.Key[:]...)
	b = append(b, i.Digest[:]...)
	b = append(b, i.Attempt[:]...)
	state := byte(i.State)
	if i.Answer.BodyKept {
		state |= bodyKeptFlag
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

// decoder reads encoded values and remembers whether any read failed.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) next(n uint64) []byte {
	if n > uint64(len(d.b)) {
		d.failed = true
		d.b = nil
		return make([]byte, min(n, 64))
	}
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.failed = true
		d.b = nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte { return d.next(d.uvarint()) }

func (d *decoder) intent() Intent {
	var i Intent
	copy(i.Key[:], d.next(uint64(len(i.Key))))
	copy(i.Digest[:], d.next(uint64(len(i.Digest))))
	copy(i.Attempt[:], d.next(uint64(len(i.Attempt))))
	state := d.next(1)[0]
	i.State = State(state &^ bodyKeptFlag)
	i.Answer.BodyKept = state&bodyKeptFlag != 0
	i.CommittedAt = Clock(d.uvarint())
	i.MaxRunTime = time.Duration(d.uvarint()) * time.Millisecond
	i.Answer.Status = int(d.uvarint())
	i.Answer.ContentType = string(d.bytes())
	i.Answer.Body = append([]byte(nil), d.bytes()...)
	return i
}

func (d *decoder) err() error {
	if d.failed {
		return errCorrupt
	}
	return nil
}

// operation is one write to a shard, in the form that is sent to the preferred
// writer.
type operation struct {
	// isSettlement distinguishes a settlement from a commit.
	isSettlement bool
	// forcesWrite demands a write even when nothing changes. The index of the head
	// then advances, so that an earlier write of the head that is still on its way
	// cannot take effect.
	forcesWrite bool
	intent      Intent
}

// The kinds of an encoded operation.
const (
	opCommit = iota
	opSettle
	opForcedSettle
)

func (o operation) encode() []byte {
	kind := byte(opCommit)
	switch {
	case o.forcesWrite:
		kind = opForcedSettle
	case o.isSettlement:
		kind = opSettle
	}
	return appendIntent([]byte{kind}, o.intent)
}

func decodeOperation(b []byte) (operation, error) {
	d := decoder{b: b}
	kind := d.next(1)[0]
	o := operation{isSettlement: kind != opCommit, forcesWrite: kind == opForcedSettle, intent: d.intent()}
	return o, d.err()
}

// opResult is the result of an operation. Its intent is the one in force.
type opResult struct {
	verdict Verdict
	intent  Intent
	// contested is set when another writer may still be writing the operation,
	// with a different result. It is not encoded.
	contested bool
}

func (o opResult) encode() []byte { return appendIntent([]byte{byte(o.verdict)}, o.intent) }

func decodeOutcome(b []byte) (opResult, error) {
	d := decoder{b: b}
	res := opResult{verdict: Verdict(d.next(1)[0])}
	res.intent = d.intent()
	return res, d.err()
}

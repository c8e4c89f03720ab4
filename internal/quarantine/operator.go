package quarantine

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// maxLiftAttempts limits the attempts to write the record against concurrent
// writers.
const maxLiftAttempts = 10

// ReadRecord reads the record from the key-value service.
func ReadRecord(ctx context.Context, kv kvservice.KV) (*Record, error) {
	e, err := kv.Get(ctx, Key)
	if err != nil {
		return nil, errors.Wrap(err, "read quarantine record")
	}
	return decode(e.Value)
}

// Lift removes a fingerprint from the stored record, so that its request may run
// again. It reports whether the record contained the fingerprint. A write whose
// acknowledgement was lost is repeated, which is safe because removing is
// idempotent.
func Lift(ctx context.Context, kv kvservice.KV, f Fingerprint) (bool, error) {
	var last error
	for range maxLiftAttempts {
		e, err := kv.Get(ctx, Key)
		if err != nil {
			return false, errors.Wrap(err, "read quarantine record")
		}
		r, err := decode(e.Value)
		if err != nil {
			return false, err
		}
		i := r.find(f)
		if i < 0 {
			return last != nil, nil
		}
		r.Crashes = slices.Delete(r.Crashes, i, i+1)
		value, err := r.encode()
		if err != nil {
			return false, err
		}
		ok, err := kv.CompareAndSwap(ctx, Key, value, e.Index)
		if ok && err == nil {
			return true, nil
		}
		last = err
	}
	if last == nil {
		last = errors.New("other writers changed the record during every attempt; run the command again")
	}
	return false, errors.Wrap(last, "write quarantine record")
}

package quarantine

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// liftTries bounds the attempts against concurrent writers of the record.
const liftTries = 10

// ReadRecord returns the record as stored in the key-value service.
func ReadRecord(ctx context.Context, kv kvservice.KV) (*Record, error) {
	e, err := kv.Get(ctx, Key)
	if err != nil {
		return nil, errors.Wrap(err, "read quarantine record")
	}
	return decode(e.Value)
}

// Lift removes a fingerprint from the stored record, so that its request may
// run again. It reports whether the fingerprint was there. A write whose
// acknowledgement is lost is repeated; removing twice is harmless.
func Lift(ctx context.Context, kv kvservice.KV, f Fingerprint) (bool, error) {
	var last error
	for range liftTries {
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
		last = errors.New("other writers were faster; run the command again")
	}
	return false, errors.Wrap(last, "write quarantine record")
}

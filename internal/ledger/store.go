package ledger

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// storeTimeout limits one call to the key-value service, which normally answers
// within milliseconds.
const storeTimeout = time.Second

// store accesses the values of one shard in the key-value service.
type store struct {
	kv    kvservice.KV
	shard int
}

func (s store) headKey() string { return fmt.Sprintf("fescueslip/ledger/%d/head", s.shard) }

func (s store) segmentKey(id segmentID) string {
	return fmt.Sprintf("fescueslip/ledger/%d/%s", s.shard, hex.EncodeToString(id[:]))
}

func (s store) get(ctx context.Context, key string) (kvservice.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.kv.Get(ctx, key)
}

func (s store) swap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.kv.CompareAndSwap(ctx, key, value, index)
}

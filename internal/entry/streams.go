package entry

import (
	"sync"
	"sync/atomic"
)

// streamCounter counts the requests in progress per caller and in total.
type streamCounter struct {
	byCaller sync.Map // string → *atomic.Int64
	total    atomic.Int64
}

// acquire counts one more request of the caller, unless the caller already has
// limit requests in progress. The returned function ends the request. A limit of
// 0 means no limit.
func (c *streamCounter) acquire(caller string, limit int) (release func(), ok bool) {
	p, _ := c.byCaller.LoadOrStore(caller, new(atomic.Int64))
	count := p.(*atomic.Int64)
	if n := count.Add(1); limit > 0 && n > int64(limit) {
		count.Add(-1)
		return nil, false
	}
	c.total.Add(1)
	return func() {
		count.Add(-1)
		c.total.Add(-1)
	}, true
}

// Package configstore stores the configuration in the key-value service.
//
// Objects are divided into buckets by the hash of their kind and name. Each bucket is
// stored as one page. A page is immutable, and its key is the hash of its content. An
// additional page holds the records of recent tickets. It is needed only to accept
// tickets, so it is not distributed to other processes. A single value, the head,
// lists the revision and the hashes of the current pages. To accept a ticket, a
// process writes the pages that the ticket changes and then replaces the head by one
// compare-and-swap, so that readers see either all of the ticket or none of it.
package configstore

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// Keys in the key-value service.
const (
	HeadKey    = "fescueslip/config/head"
	PagePrefix = "fescueslip/config/pages/"
)

const (
	headFormat = 1
	// MaxPageBytes is the largest size of a page of objects. If a page would be
	// larger, the number of buckets is doubled.
	MaxPageBytes = 256 << 10
	// When the average page would exceed maxAveragePageBytes, the number of buckets is
	// doubled until the average is at most targetPageBytes. The sizes balance two
	// costs: a ticket for one object rewrites one page and the head, and every watch
	// that ends transfers the head again, whether it changed or not. The head has 25
	// bytes per page. With 18,000 callers there are 128 pages of 21 KB and a head of
	// 3.3 KB, so that a watcher receives 2.6 KB/s while nothing changes.
	maxAveragePageBytes = 32 << 10
	targetPageBytes     = 24 << 10
	// maxBuckets limits the size of the head to 256 KB.
	maxBuckets = 8192
	// maxTicketRecords is the number of recent tickets whose records are kept.
	maxTicketRecords = 64
	pageHashBytes    = 16
)

// Head lists the pages of one revision. It is the value that every accepted ticket
// replaces by a compare-and-swap.
type Head struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
	// Pages holds the hash of each bucket's page, or "" for an empty bucket. Its length
	// is the number of buckets, which is a power of two.
	Pages []string `json:"pages"`
	// Tickets is the hash of the page that holds the records of recent tickets.
	Tickets string `json:"tickets,omitempty"`
	// Replaced lists pages of the previous revision that this revision does not use.
	// The next ticket clears them, so that slow readers of the previous revision can
	// still read them until then.
	Replaced []string `json:"replaced,omitempty"`
}

// objectPage is the stored form of a bucket. It contains its bucket number, so that
// pages of different buckets never have the same hash. Within one bucket, ticket
// numbers only grow. Together these ensure that a page that was replaced, and may
// have been cleared, never becomes current again under the same hash.
type objectPage struct {
	Buckets int             `json:"buckets"`
	Bucket  int             `json:"bucket"`
	Objects []config.Object `json:"objects"`
}

// ticketsPage is the stored form of the records of recent tickets. It contains the
// revision, so that the pages of two revisions never have the same hash.
type ticketsPage struct {
	Revision uint64 `json:"revision"`
	// Tickets are the most recent tickets, oldest first.
	Tickets []config.TicketRecord `json:"tickets"`
}

// DecodeHead decodes a head. Empty data stands for the head before the first ticket.
func DecodeHead(data []byte) (*Head, error) {
	if len(data) == 0 {
		return &Head{Format: headFormat}, nil
	}
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, errors.Wrap(err, "decode configuration head")
	}
	if h.Format != headFormat {
		return nil, errors.Errorf("configuration head has format %d, expected %d; upgrade this process", h.Format, headFormat)
	}
	if n := len(h.Pages); n&(n-1) != 0 || n > maxBuckets {
		return nil, errors.Errorf("configuration head has %d pages, expected a power of two up to %d", n, maxBuckets)
	}
	return &h, nil
}

// Encode returns the stored form of the head.
func (h *Head) Encode() ([]byte, error) { return json.Marshal(h) }

// pageHashes returns the hashes of all pages that the head refers to.
func (h *Head) pageHashes() []string {
	hashes := append(slices.Clone(h.Pages), h.Tickets)
	return slices.DeleteFunc(hashes, func(hash string) bool { return hash == "" })
}

// PageHash returns the hash that identifies a page and is part of its key.
func PageHash(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:pageHashBytes])
}

// MissingPages returns the hashes of those pages of objects in head for which have
// reports false.
func MissingPages(head *Head, have func(hash string) bool) []string {
	var missing []string
	for _, hash := range head.Pages {
		if hash != "" && !have(hash) {
			missing = append(missing, hash)
		}
	}
	return missing
}

// bucketOf returns the bucket of the object that ref names.
func bucketOf(ref config.Ref, buckets int) int {
	return int(xxhash.Sum64String(ref.String()) % uint64(buckets))
}

func groupByBucket(objects []config.Object, buckets int) [][]config.Object {
	groups := make([][]config.Object, buckets)
	for _, o := range objects {
		b := bucketOf(o.Ref, buckets)
		groups[b] = append(groups[b], o)
	}
	return groups
}

// encodedState is a new head with those of its pages that have to be written.
type encodedState struct {
	head  *Head
	pages map[string][]byte
}

// encodeNext encodes the configuration next, which results from applying t to old. It
// encodes only the pages of buckets that hold an object of the ticket, unless the
// number of buckets grows.
func encodeNext(old *State, next *config.Configuration, t *config.Ticket, records []config.TicketRecord) (encodedState, error) {
	objects := next.Objects()
	buckets := max(len(old.Head.Pages), 1)
	if len(old.Head.Pages) == 0 || old.objectPageBytes()+estimateTicketBytes(t) > buckets*maxAveragePageBytes {
		buckets = bucketCountFor(objects, buckets)
	}
	for ; buckets <= maxBuckets; buckets *= 2 {
		result, fits, err := encodePages(old.Head, objects, buckets, t)
		if err != nil {
			return encodedState{}, err
		}
		if fits {
			return result, result.finishHead(old.Head, next.Revision(), records)
		}
	}
	return encodedState{}, &config.Refusal{Kind: config.RefusalTooLarge, Ticket: t.Number, Object: t.Objects[0].Ref,
		Message: "the configuration would not fit into the key-value service",
		Remedy:  "shorten the longest specs of the ticket"}
}

// encodePages encodes the objects into the given number of buckets. It reports false
// if a page would exceed MaxPageBytes.
func encodePages(old *Head, objects []config.Object, buckets int, t *config.Ticket) (e encodedState, fits bool, err error) {
	e = encodedState{head: &Head{Format: headFormat, Pages: make([]string, buckets)}, pages: make(map[string][]byte)}
	changed := make(map[int]bool, len(t.Objects))
	for _, o := range t.Objects {
		changed[bucketOf(o.Ref, buckets)] = true
	}
	for bucket, group := range groupByBucket(objects, buckets) {
		if buckets == len(old.Pages) && !changed[bucket] {
			e.head.Pages[bucket] = old.Pages[bucket]
			continue
		}
		if len(group) == 0 {
			continue
		}
		content, err := json.Marshal(objectPage{Buckets: buckets, Bucket: bucket, Objects: group})
		if err != nil {
			return encodedState{}, false, errors.Wrap(err, "encode configuration page")
		}
		if len(content) > MaxPageBytes {
			return encodedState{}, false, nil
		}
		hash := PageHash(content)
		e.head.Pages[bucket] = hash
		e.pages[hash] = content
	}
	return e, true, nil
}

// finishHead sets the revision, adds the page of recent tickets and lists the pages of
// old that are replaced.
func (e *encodedState) finishHead(old *Head, revision uint64, records []config.TicketRecord) error {
	records = records[max(0, len(records)-maxTicketRecords):]
	content, err := json.Marshal(ticketsPage{Revision: revision, Tickets: records})
	if err != nil {
		return errors.Wrap(err, "encode recent tickets")
	}
	e.head.Revision = revision
	e.head.Tickets = PageHash(content)
	e.pages[e.head.Tickets] = content
	current := e.head.pageHashes()
	slices.Sort(current)
	for _, hash := range old.pageHashes() {
		if _, used := slices.BinarySearch(current, hash); !used {
			e.head.Replaced = append(e.head.Replaced, hash)
		}
	}
	return nil
}

// estimateTicketBytes estimates the encoded size of all objects of a ticket.
func estimateTicketBytes(t *config.Ticket) int {
	total := 0
	for _, o := range t.Objects {
		total += estimateObjectBytes(o)
	}
	return total
}

// estimateObjectBytes estimates the encoded size of an object.
func estimateObjectBytes(o config.Object) int {
	const perObjectOverhead = 60
	return perObjectOverhead + len(o.Kind) + len(o.Name) + len(o.Spec)
}

// bucketCountFor returns the lowest power-of-two multiple of minBuckets for which the
// average page has at most targetPageBytes, bounded by maxBuckets.
func bucketCountFor(objects []config.Object, minBuckets int) int {
	total := 0
	for _, o := range objects {
		total += estimateObjectBytes(o)
	}
	buckets := minBuckets
	for buckets < maxBuckets && total > buckets*targetPageBytes {
		buckets *= 2
	}
	return buckets
}

func pageKey(hash string) string { return PagePrefix + hash }

// headFits reports whether an encoded head is within the size limit of the key-value
// service. maxBuckets and maxTicketRecords keep the head far below that limit.
func headFits(data []byte) bool { return len(data) <= kvservice.MaxValueBytes }

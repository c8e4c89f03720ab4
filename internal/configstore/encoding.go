// Package configstore keeps the configuration in the key-value service.
//
// Objects are stored in pages. An object belongs to the page that the hash of
// its kind and name selects; a page is immutable and is stored under the hash of
// its content. One head lists the hashes of the current pages, the revision and
// the recent tickets. A ticket is accepted by writing the pages that it changes
// and then replacing the head by one compare-and-swap, so that readers see
// either the whole ticket or nothing of it.
package configstore

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/platform"
)

// Keys of the key-value service.
const (
	HeadKey    = "fescueslip/config/head"
	PagePrefix = "fescueslip/config/pages/"
)

const (
	headFormat = 1
	// MaxPageBytes bounds a page; a fuller one doubles the number of pages.
	MaxPageBytes = 256 << 10
	// maxAveragePage and targetPage decide when and how far the number of
	// pages grows. A ticket for one object rewrites one page and the head, which
	// has 25 bytes per page; pages of about 10 KB keep the sum smallest at
	// 18,000 callers.
	maxAveragePage = 16 << 10
	targetPage     = 12 << 10
	// maxBuckets keeps the head within 256 KB.
	maxBuckets = 8192
	// maxRecords is how many recent tickets the head remembers.
	maxRecords = 64
	hashBytes  = 16
)

// Head is the one value that a ticket replaces.
type Head struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
	// Pages holds the hash of each bucket's page, or "" for an empty bucket. Its
	// length is the number of buckets, a power of two.
	Pages []string `json:"pages"`
	// Records are the most recent tickets, oldest first.
	Records []config.Record `json:"tickets"`
	// Replaced lists pages that this revision took out of use. They are blanked
	// by the next one, which leaves slow readers a whole revision of time.
	Replaced []string `json:"replaced,omitempty"`
}

// page names its bucket, so that a page taken out of use never comes back under
// the same hash: within one bucket the numbers of objects only grow.
type page struct {
	Buckets int             `json:"buckets"`
	Bucket  int             `json:"bucket"`
	Objects []config.Object `json:"objects"`
}

// DecodeHead decodes a head. Empty data is the head before the first ticket.
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

// Encode returns the head as it is stored.
func (h *Head) Encode() ([]byte, error) { return json.Marshal(h) }

// Record returns the record of a ticket, if the head still remembers it.
func (h *Head) Record(ticket uint64) (config.Record, bool) {
	i := slices.IndexFunc(h.Records, func(r config.Record) bool { return r.Ticket == ticket })
	if i < 0 {
		return config.Record{}, false
	}
	return h.Records[i], true
}

// PageHash returns the hash under which a page is stored.
func PageHash(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// MissingPages lists the pages of head for which have reports false, each once.
func MissingPages(head *Head, have func(hash string) bool) []string {
	var missing []string
	for _, hash := range head.Pages {
		if hash != "" && !have(hash) {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Assemble builds the snapshot of head. It checks the hash of every page, so
// pages may come from any peer.
func Assemble(head *Head, pages map[string][]byte) (*config.Snapshot, error) {
	var objects []config.Object
	for bucket, hash := range head.Pages {
		content, err := decodePage(head, bucket, hash, pages)
		if err != nil {
			return nil, err
		}
		objects = append(objects, content...)
	}
	return config.SnapshotOf(head.Revision, objects)
}

// PageError reports a page that is missing or damaged.
type PageError struct {
	Hash   string
	Reason string
}

// Error implements error.
func (e *PageError) Error() string {
	return "configuration page " + e.Hash + " " + e.Reason + "; read the head again or fetch the page from a peer"
}

func decodePage(head *Head, bucket int, hash string, pages map[string][]byte) ([]config.Object, error) {
	if hash == "" {
		return nil, nil
	}
	content, ok := pages[hash]
	if !ok {
		return nil, &PageError{Hash: hash, Reason: "is missing"}
	}
	if PageHash(content) != hash {
		return nil, &PageError{Hash: hash, Reason: "does not match its hash"}
	}
	var p page
	if err := json.Unmarshal(content, &p); err != nil {
		return nil, errors.Wrapf(err, "decode configuration page %s", hash)
	}
	if p.Buckets != len(head.Pages) || p.Bucket != bucket {
		return nil, &PageError{Hash: hash, Reason: "belongs to another bucket"}
	}
	return p.Objects, nil
}

func bucketOf(ref config.Ref, buckets int) int {
	return int(xxhash.Sum64String(ref.String()) % uint64(buckets))
}

func bucketed(objects []config.Object, buckets int) [][]config.Object {
	groups := make([][]config.Object, buckets)
	for _, o := range objects {
		b := bucketOf(o.Ref, buckets)
		groups[b] = append(groups[b], o)
	}
	return groups
}

// encoded is a new head with the pages that the service does not have yet.
type encoded struct {
	head  *Head
	pages map[string][]byte
}

// encodeNext encodes the configuration after a ticket. Only pages of buckets
// that hold an object of the ticket are encoded again, unless the number of
// buckets grows.
func encodeNext(old *Head, oldBytes int, next *config.Configuration, t *config.Ticket, record config.Record) (encoded, error) {
	objects := next.Objects()
	buckets := max(len(old.Pages), 1)
	if len(old.Pages) == 0 || oldBytes+ticketBytes(t) > buckets*maxAveragePage {
		buckets = bucketsFor(objects, buckets)
	}
	for ; buckets <= maxBuckets; buckets *= 2 {
		e, fits, err := encodePages(old, objects, buckets, t)
		if err != nil {
			return encoded{}, err
		}
		if fits {
			e.finish(old, next.Revision(), record)
			return e, nil
		}
	}
	return encoded{}, &config.Refusal{Kind: config.RefusalTooLarge, Ticket: t.Number, Object: t.Objects[0].Ref,
		Message: "the configuration would not fit into the key-value service",
		Remedy:  "shorten the longest specs of the ticket"}
}

func encodePages(old *Head, objects []config.Object, buckets int, t *config.Ticket) (e encoded, fits bool, err error) {
	e = encoded{head: &Head{Format: headFormat, Pages: make([]string, buckets)}, pages: make(map[string][]byte)}
	touched := make(map[int]bool, len(t.Objects))
	for _, o := range t.Objects {
		touched[bucketOf(o.Ref, buckets)] = true
	}
	for bucket, group := range bucketed(objects, buckets) {
		if buckets == len(old.Pages) && !touched[bucket] {
			e.head.Pages[bucket] = old.Pages[bucket]
			continue
		}
		if len(group) == 0 {
			continue
		}
		content, err := json.Marshal(page{Buckets: buckets, Bucket: bucket, Objects: group})
		if err != nil {
			return encoded{}, false, errors.Wrap(err, "encode configuration page")
		}
		if len(content) > MaxPageBytes {
			return encoded{}, false, nil
		}
		hash := PageHash(content)
		e.head.Pages[bucket] = hash
		e.pages[hash] = content
	}
	return e, true, nil
}

func (e *encoded) finish(old *Head, revision uint64, record config.Record) {
	e.head.Revision = revision
	e.head.Records = append(slices.Clone(old.Records), record)
	if extra := len(e.head.Records) - maxRecords; extra > 0 {
		e.head.Records = e.head.Records[extra:]
	}
	current := make(map[string]bool, len(e.head.Pages))
	for _, hash := range e.head.Pages {
		current[hash] = true
	}
	for _, hash := range old.Pages {
		if hash != "" && !current[hash] {
			e.head.Replaced = append(e.head.Replaced, hash)
		}
	}
}

func ticketBytes(t *config.Ticket) int {
	total := 0
	for _, o := range t.Objects {
		total += objectBytes(o)
	}
	return total
}

// objectBytes is about the encoded size of an object.
func objectBytes(o config.Object) int {
	const envelope = 60
	return envelope + len(o.Kind) + len(o.Name) + len(o.Spec)
}

func bucketsFor(objects []config.Object, atLeast int) int {
	total := 0
	for _, o := range objects {
		total += objectBytes(o)
	}
	buckets := atLeast
	for buckets < maxBuckets && total > buckets*targetPage {
		buckets *= 2
	}
	return buckets
}

func pageKey(hash string) string { return PagePrefix + hash }

// headFits guards the limit of the service; maxBuckets and maxRecords keep the
// head well below it.
func headFits(data []byte) bool { return len(data) <= platform.MaxValueBytes }

// Package configstore keeps the configuration in the key-value service.
//
// Objects are stored in pages. An object belongs to the page that the hash of
// its kind and name selects; a page is immutable and is stored under the hash of
// its content. One more page holds the recent tickets; only the acceptance of
// tickets needs it, so it is not spread to other processes. One head lists the
// hashes of the current pages and the revision. A ticket is accepted by writing
// the pages that it changes and then replacing the head by one compare-and-swap,
// so that readers see either the whole ticket or nothing of it.
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
	// pages grows. The head has 25 bytes per page. A ticket for one object
	// rewrites one page and the head, and each end of a watch transfers the head
	// again, changed or not. At 18,000 callers this makes 128 pages of 21 KB and
	// a head of 3.3 KB, which cost a watcher 2.6 KB/s at rest.
	maxAveragePage = 32 << 10
	targetPage     = 24 << 10
	// maxBuckets keeps the head within 256 KB.
	maxBuckets = 8192
	// maxRecords is how many recent tickets are remembered.
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
	// Tickets is the hash of the page with the recent tickets.
	Tickets string `json:"tickets,omitempty"`
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

// ticketsPage names its revision, so that no other page has the same content.
type ticketsPage struct {
	Revision uint64 `json:"revision"`
	// Tickets are the most recent tickets, oldest first.
	Tickets []config.TicketRecord `json:"tickets"`
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

// pageHashes lists all pages that the head refers to.
func (h *Head) pageHashes() []string {
	hashes := append(slices.Clone(h.Pages), h.Tickets)
	return slices.DeleteFunc(hashes, func(hash string) bool { return hash == "" })
}

// PageHash returns the hash under which a page is stored.
func PageHash(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// MissingPages lists the pages of objects for which have reports false.
func MissingPages(head *Head, have func(hash string) bool) []string {
	var missing []string
	for _, hash := range head.Pages {
		if hash != "" && !have(hash) {
			missing = append(missing, hash)
		}
	}
	return missing
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
func encodeNext(old *State, next *config.Configuration, t *config.Ticket, records []config.TicketRecord) (encoded, error) {
	objects := next.Objects()
	buckets := max(len(old.Head.Pages), 1)
	if len(old.Head.Pages) == 0 || old.objectBytes()+ticketBytes(t) > buckets*maxAveragePage {
		buckets = bucketsFor(objects, buckets)
	}
	for ; buckets <= maxBuckets; buckets *= 2 {
		e, fits, err := encodePages(old.Head, objects, buckets, t)
		if err != nil {
			return encoded{}, err
		}
		if fits {
			return e, e.finish(old.Head, next.Revision(), records)
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

// finish adds the page of recent tickets and lists the replaced pages.
func (e *encoded) finish(old *Head, revision uint64, records []config.TicketRecord) error {
	records = records[max(0, len(records)-maxRecords):]
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
func headFits(data []byte) bool { return len(data) <= kvservice.MaxValueBytes }

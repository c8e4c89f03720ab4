package configstore

import (
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
)

// Assemble builds the snapshot of head from its pages. It checks the hash of every
// page, so the pages may come from any peer. A process that assembles several heads
// in sequence should use an Assembler.
func Assemble(head *Head, pages map[string][]byte) (*config.Snapshot, error) {
	return NewAssembler().Assemble(head, pages)
}

// Assembler assembles snapshots and keeps the decoded pages of the last one, so that
// after a ticket only the pages that it changed are decoded. Snapshots share the
// objects of unchanged pages. An Assembler is safe for concurrent use.
type Assembler struct {
	mu sync.Mutex
	// decoded holds the objects of the last snapshot by the hash of their page.
	decoded map[string]config.DecodedObjects
}

// NewAssembler returns an assembler without decoded pages.
func NewAssembler() *Assembler { return &Assembler{} }

// Assemble builds the snapshot of head like the function Assemble does. Pages of the
// snapshot assembled last may be absent from pages.
func (a *Assembler) Assemble(head *Head, pages map[string][]byte) (*config.Snapshot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decoded := make(map[string]config.DecodedObjects, len(head.Pages))
	var all config.DecodedObjects
	for bucket, hash := range head.Pages {
		objects, known := a.decoded[hash]
		if !known {
			stored, err := decodePage(head, bucket, hash, pages)
			if err != nil {
				return nil, err
			}
			if objects, err = config.DecodeObjects(stored); err != nil {
				return nil, err
			}
		}
		decoded[hash] = objects
		all.Append(objects)
	}
	a.decoded = decoded
	return config.BuildSnapshot(head.Revision, all), nil
}

// PageError reports a page that is missing, damaged or in the wrong place.
type PageError struct {
	Hash   string
	Reason string
}

// Error implements error.
func (e *PageError) Error() string {
	return "configuration page " + e.Hash + " " + e.Reason + "; read the head again or fetch the page from a peer"
}

// decodePage returns the objects of a page after it has checked the page's hash and
// bucket. It returns none for the empty hash of an empty bucket.
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
	var p objectPage
	if err := json.Unmarshal(content, &p); err != nil {
		return nil, errors.Wrapf(err, "decode configuration page %s", hash)
	}
	if p.Buckets != len(head.Pages) || p.Bucket != bucket {
		return nil, &PageError{Hash: hash, Reason: "belongs to another bucket"}
	}
	return p.Objects, nil
}

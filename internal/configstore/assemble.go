package configstore

import (
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
)

// Assemble builds the snapshot of head. It checks the hash of every page, so
// pages may come from any peer. A process that assembles one head after the
// other uses an Assembler.
func Assemble(head *Head, pages map[string][]byte) (*config.Snapshot, error) {
	return NewAssembler().Assemble(head, pages)
}

// Assembler assembles snapshots and keeps the decoded pages of the last one, so
// that a ticket costs the decoding of the pages that it changed. Snapshots share
// the objects of unchanged pages. It is safe for concurrent use.
type Assembler struct {
	mu      sync.Mutex
	decoded map[string]config.DecodedObjects
}

// NewAssembler returns an assembler without decoded pages.
func NewAssembler() *Assembler { return &Assembler{} }

// Assemble builds the snapshot of head like the function Assemble. The content of
// pages decoded before need not be in pages.
func (a *Assembler) Assemble(head *Head, pages map[string][]byte) (*config.Snapshot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decoded := make(map[string]config.DecodedObjects, len(head.Pages))
	var all config.DecodedObjects
	for bucket, hash := range head.Pages {
		content, known := a.decoded[hash]
		if !known {
			objects, err := decodePage(head, bucket, hash, pages)
			if err != nil {
				return nil, err
			}
			if content, err = config.DecodeObjects(objects); err != nil {
				return nil, err
			}
		}
		decoded[hash] = content
		all.Append(content)
	}
	a.decoded = decoded
	return config.BuildSnapshot(head.Revision, all), nil
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

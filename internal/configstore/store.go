package configstore

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/platform"
)

const (
	// parallelCalls bounds concurrent page reads and writes.
	parallelCalls = 16
	// loadTries bounds how often a load starts again because the head changed
	// while its pages were read.
	loadTries = 5
)

// Store reads and changes the configuration in the key-value service. It is
// safe for concurrent use.
type Store struct {
	kv platform.KV

	mu sync.Mutex
	// pages caches the pages of the last head that was read.
	pages map[string][]byte
}

// Options configures a Store.
type Options struct {
	KV platform.KV
}

// New returns a store.
func New(o Options) *Store { return &Store{kv: o.KV} }

// State is the configuration as read from the service.
type State struct {
	// Index is the index of the head, for Watch; 0 before the first ticket.
	Index uint64
	// HeadBytes is the encoded head, as peers exchange it.
	HeadBytes []byte
	Head      *Head
	// Pages holds the content of each page of the head by its hash. It must not
	// be changed.
	Pages map[string][]byte
}

// Snapshot assembles the snapshot of the state.
func (s *State) Snapshot() (*config.Snapshot, error) { return Assemble(s.Head, s.Pages) }

// Configuration returns the aggregate of the state.
func (s *State) Configuration() (*config.Configuration, error) {
	var objects []config.Object
	for bucket, hash := range s.Head.Pages {
		content, err := decodePage(s.Head, bucket, hash, s.Pages)
		if err != nil {
			return nil, err
		}
		objects = append(objects, content...)
	}
	return config.NewConfiguration(s.Head.Revision, objects, s.Head.Records), nil
}

func (s *State) pageBytes() int {
	total := 0
	for _, content := range s.Pages {
		total += len(content)
	}
	return total
}

// Load reads the current configuration; pages that an earlier call has read are
// not read again.
func (s *Store) Load(ctx context.Context) (*State, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return s.complete(ctx, entry)
}

// Watch returns as soon as the head's index exceeds after, or with the
// unchanged state when the service ends the wait. Callers may call it in a loop.
func (s *Store) Watch(ctx context.Context, after uint64) (*State, error) {
	entry, err := s.kv.Watch(ctx, HeadKey, after)
	if err != nil {
		return nil, errors.Wrap(err, "watch configuration head")
	}
	return s.complete(ctx, entry)
}

// complete reads the pages of a head. A page that is missing or blank means that
// the head was replaced meanwhile, so the newer head is read.
func (s *Store) complete(ctx context.Context, entry platform.Entry) (*State, error) {
	var missing *PageError
	for range loadTries {
		state, err := s.fetchPages(ctx, entry)
		if err == nil || !errors.As(err, &missing) {
			return state, err
		}
		newer, err := s.kv.Get(ctx, HeadKey)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration head")
		}
		if newer.Index == entry.Index {
			break
		}
		entry = newer
	}
	return nil, errors.Wrap(missing, "read configuration pages")
}

func (s *Store) fetchPages(ctx context.Context, entry platform.Entry) (*State, error) {
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return nil, err
	}
	cached := s.cachedPages()
	missing := MissingPages(head, func(hash string) bool { _, ok := cached[hash]; return ok })
	fetched := make([][]byte, len(missing))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, hash := range missing {
		group.Go(func() error {
			content, err := s.fetchPage(groupCtx, hash)
			fetched[i] = content
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	pages := make(map[string][]byte, len(head.Pages))
	for _, hash := range head.Pages {
		if content, ok := cached[hash]; ok {
			pages[hash] = content
		}
	}
	for i, hash := range missing {
		pages[hash] = fetched[i]
	}
	s.remember(pages)
	return &State{Index: entry.Index, HeadBytes: entry.Value, Head: head, Pages: pages}, nil
}

func (s *Store) fetchPage(ctx context.Context, hash string) ([]byte, error) {
	entry, err := s.kv.Get(ctx, pageKey(hash))
	if err != nil {
		return nil, errors.Wrap(err, "read configuration page")
	}
	if len(entry.Value) == 0 {
		return nil, &PageError{Hash: hash, Reason: "is missing"}
	}
	if PageHash(entry.Value) != hash {
		return nil, &PageError{Hash: hash, Reason: "does not match its hash"}
	}
	return entry.Value, nil
}

func (s *Store) cachedPages() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pages
}

// remember replaces the cache; the maps it holds are never changed.
func (s *Store) remember(pages map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages = pages
}

// Tickets returns the recent tickets, newest first.
func (h *Head) Tickets() []config.Record {
	list := slices.Clone(h.Records)
	slices.Reverse(list)
	return list
}

func sortedHashes(pages map[string][]byte) []string {
	return slices.Sorted(maps.Keys(pages))
}

// Head reads the head only.
func (s *Store) Head(ctx context.Context) (*Head, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return DecodeHead(entry.Value)
}

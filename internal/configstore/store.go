package configstore

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

const (
	// maxParallelCalls bounds the concurrent page reads or writes of one operation.
	maxParallelCalls = 16
	// maxLoadAttempts bounds how often a load starts again because the head changed
	// while its pages were read.
	maxLoadAttempts = 5
)

// Store reads and changes the configuration in the key-value service. It is safe for
// concurrent use.
type Store struct {
	kv kvservice.KV

	mu sync.Mutex
	// cache holds the pages of the head that was read last. The map is never modified,
	// only replaced.
	cache map[string][]byte
}

// Options configures a Store.
type Options struct {
	KV kvservice.KV
}

// New returns a Store that uses the key-value service of o.
func New(o Options) *Store { return &Store{kv: o.KV} }

// State is the stored configuration as read from the key-value service.
type State struct {
	// Index is the index of the head in the key-value service, to be passed to Watch. It
	// is 0 before the first ticket.
	Index uint64
	// HeadBytes is the encoded head, which processes forward to their peers.
	HeadBytes []byte
	Head      *Head
	// Pages maps page hashes to page contents. It holds the pages that the call that
	// read the state asked for, and other pages of the head that were cached. It must
	// not be modified.
	Pages map[string][]byte
}

// Snapshot assembles the snapshot of the state, which must have been read with its
// pages of objects.
func (s *State) Snapshot() (*config.Snapshot, error) { return Assemble(s.Head, s.Pages) }

// Configuration returns the configuration of a state that LoadWithTickets has read.
func (s *State) Configuration() (*config.Configuration, error) {
	var objects []config.Object
	for bucket, hash := range s.Head.Pages {
		content, err := decodePage(s.Head, bucket, hash, s.Pages)
		if err != nil {
			return nil, err
		}
		objects = append(objects, content...)
	}
	records, err := s.Tickets()
	if err != nil {
		return nil, err
	}
	return config.NewConfiguration(s.Head.Revision, objects, records), nil
}

// Tickets returns the records of recent tickets, oldest first, of a state that
// LoadWithTickets or LoadTickets has read.
func (s *State) Tickets() ([]config.TicketRecord, error) {
	if s.Head.Tickets == "" {
		return nil, nil
	}
	content, ok := s.Pages[s.Head.Tickets]
	if !ok {
		return nil, &PageError{Hash: s.Head.Tickets, Reason: "is missing"}
	}
	var p ticketsPage
	if err := json.Unmarshal(content, &p); err != nil {
		return nil, errors.Wrap(err, "decode recent tickets")
	}
	return p.Tickets, nil
}

// objectPageBytes returns the total size of the pages of objects.
func (s *State) objectPageBytes() int {
	total := 0
	for _, hash := range s.Head.Pages {
		total += len(s.Pages[hash])
	}
	return total
}

// pageSelector returns the hashes of the pages of a head that a call needs.
type pageSelector func(*Head) []string

func selectObjectPages(h *Head) []string { return h.Pages }

func selectTicketsPage(h *Head) []string { return []string{h.Tickets} }

// Load reads the current configuration without the records of recent tickets. It does
// not read pages again that are cached.
func (s *Store) Load(ctx context.Context) (*State, error) { return s.load(ctx, selectObjectPages) }

// LoadWithTickets reads the current configuration and the records of recent tickets.
func (s *Store) LoadWithTickets(ctx context.Context) (*State, error) {
	return s.load(ctx, (*Head).pageHashes)
}

// LoadTickets reads only the head and the records of recent tickets.
func (s *Store) LoadTickets(ctx context.Context) (*State, error) {
	return s.load(ctx, selectTicketsPage)
}

func (s *Store) load(ctx context.Context, selectPages pageSelector) (*State, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return s.loadState(ctx, entry, selectPages)
}

// Head reads only the head. Its revision is 0 before the first ticket.
func (s *Store) Head(ctx context.Context) (*Head, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return DecodeHead(entry.Value)
}

// AddCachedPages adds pages to the cache that came from another source, such as a
// peer, so that the next Load or Watch does not read them from the key-value service.
func (s *Store) AddCachedPages(pages map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := maps.Clone(pages)
	maps.Copy(merged, s.cache)
	s.cache = merged
}

// Watch waits until the index of the head exceeds after and returns the same state as
// Load. If the key-value service ends the wait before that, Watch returns the
// unchanged state. It may be called in a loop.
func (s *Store) Watch(ctx context.Context, after uint64) (*State, error) {
	entry, err := s.kv.Watch(ctx, HeadKey, after)
	if err != nil {
		return nil, errors.Wrap(err, "watch configuration head")
	}
	return s.loadState(ctx, entry, selectObjectPages)
}

// loadState reads the selected pages of the head in entry. A page that is missing or
// cleared means that the head was replaced in the meantime, so loadState reads the
// newer head and tries again.
func (s *Store) loadState(ctx context.Context, entry kvservice.Entry, selectPages pageSelector) (*State, error) {
	var missing *PageError
	for range maxLoadAttempts {
		state, err := s.fetchPages(ctx, entry, selectPages)
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

// fetchPages decodes the head in entry and reads those of the selected pages that are
// not cached.
func (s *Store) fetchPages(ctx context.Context, entry kvservice.Entry, selectPages pageSelector) (*State, error) {
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return nil, err
	}
	pages := s.cachedPages(head)
	missing := slices.DeleteFunc(slices.Clone(selectPages(head)), func(hash string) bool {
		_, cached := pages[hash]
		return cached || hash == ""
	})
	fetched := make([][]byte, len(missing))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
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
	for i, hash := range missing {
		pages[hash] = fetched[i]
	}
	s.replaceCache(pages)
	return &State{Index: entry.Index, HeadBytes: entry.Value, Head: head, Pages: pages}, nil
}

// fetchPage reads one page and checks its hash.
func (s *Store) fetchPage(ctx context.Context, hash string) ([]byte, error) {
	entry, err := s.kv.Get(ctx, pageKey(hash))
	if err != nil {
		return nil, errors.Wrapf(err, "read configuration page %s", hash)
	}
	if len(entry.Value) == 0 {
		return nil, &PageError{Hash: hash, Reason: "is missing"}
	}
	if PageHash(entry.Value) != hash {
		return nil, &PageError{Hash: hash, Reason: "does not match its hash"}
	}
	return entry.Value, nil
}

// cachedPages returns a new map of those pages of the head that are cached.
func (s *Store) cachedPages(head *Head) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	pages := make(map[string][]byte, len(head.Pages)+1)
	for _, hash := range head.pageHashes() {
		if content, ok := s.cache[hash]; ok {
			pages[hash] = content
		}
	}
	return pages
}

// replaceCache replaces the cached pages. The caller must not modify the map
// afterwards.
func (s *Store) replaceCache(pages map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = pages
}

func sortedHashes(pages map[string][]byte) []string {
	return slices.Sorted(maps.Keys(pages))
}

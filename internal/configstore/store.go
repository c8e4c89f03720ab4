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
	// parallelCalls bounds concurrent page reads and writes.
	parallelCalls = 16
	// loadTries bounds how often a load starts again because the head changed
	// while its pages were read.
	loadTries = 5
)

// Store reads and changes the configuration in the key-value service. It is
// safe for concurrent use.
type Store struct {
	kv kvservice.KV

	mu sync.Mutex
	// pages caches the pages of the last head that was read.
	pages map[string][]byte
}

// Options configures a Store.
type Options struct {
	KV kvservice.KV
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
	// Pages holds the content of each page of objects by its hash, and the page of
	// recent tickets if it was asked for. It must not be changed.
	Pages map[string][]byte
}

// Snapshot assembles the snapshot of the state.
func (s *State) Snapshot() (*config.Snapshot, error) { return Assemble(s.Head, s.Pages) }

// Configuration returns the aggregate of a state read by LoadWithTickets.
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

// Tickets returns the recent tickets, oldest first, of a state read by
// LoadWithTickets or LoadTickets.
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

func (s *State) objectBytes() int {
	total := 0
	for _, hash := range s.Head.Pages {
		total += len(s.Pages[hash])
	}
	return total
}

// wanted lists the pages of a head that a caller needs.
type wanted func(*Head) []string

func objectPages(h *Head) []string { return h.Pages }

func ticketsOnly(h *Head) []string { return []string{h.Tickets} }

// Load reads the current configuration without the recent tickets. Pages that
// an earlier call has read are not read again.
func (s *Store) Load(ctx context.Context) (*State, error) { return s.load(ctx, objectPages) }

// LoadWithTickets reads the current configuration and the recent tickets.
func (s *Store) LoadWithTickets(ctx context.Context) (*State, error) {
	return s.load(ctx, (*Head).pageHashes)
}

// LoadTickets reads the head and the recent tickets only.
func (s *Store) LoadTickets(ctx context.Context) (*State, error) { return s.load(ctx, ticketsOnly) }

func (s *Store) load(ctx context.Context, pages wanted) (*State, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return s.complete(ctx, entry, pages)
}

// Head reads the head alone, which has revision 0 before the first ticket.
func (s *Store) Head(ctx context.Context) (*Head, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	return DecodeHead(entry.Value)
}

// AddCachedPages adds pages that came from elsewhere, so that the next Load or Watch does
// not read them from the service.
func (s *Store) AddCachedPages(pages map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := maps.Clone(pages)
	maps.Copy(known, s.pages)
	s.pages = known
}

// Watch returns what Load returns as soon as the head's index exceeds after, or
// with the unchanged state when the service ends the wait. Callers may call it in
// a loop.
func (s *Store) Watch(ctx context.Context, after uint64) (*State, error) {
	entry, err := s.kv.Watch(ctx, HeadKey, after)
	if err != nil {
		return nil, errors.Wrap(err, "watch configuration head")
	}
	return s.complete(ctx, entry, objectPages)
}

// complete reads the pages of a head. A page that is missing or blank means that
// the head was replaced meanwhile, so the newer head is read.
func (s *Store) complete(ctx context.Context, entry kvservice.Entry, pages wanted) (*State, error) {
	var missing *PageError
	for range loadTries {
		state, err := s.fetchPages(ctx, entry, pages)
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

func (s *Store) fetchPages(ctx context.Context, entry kvservice.Entry, wanted wanted) (*State, error) {
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return nil, err
	}
	pages := s.cachedPages(head)
	missing := slices.DeleteFunc(slices.Clone(wanted(head)), func(hash string) bool {
		_, cached := pages[hash]
		return cached || hash == ""
	})
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

// cachedPages returns a new map with those pages of the head that are cached.
func (s *Store) cachedPages(head *Head) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	pages := make(map[string][]byte, len(head.Pages)+1)
	for _, hash := range head.pageHashes() {
		if content, ok := s.pages[hash]; ok {
			pages[hash] = content
		}
	}
	return pages
}

// remember replaces the cache; the maps it holds are never changed.
func (s *Store) remember(pages map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages = pages
}

func sortedHashes(pages map[string][]byte) []string {
	return slices.Sorted(maps.Keys(pages))
}

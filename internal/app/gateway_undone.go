package app

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// undoneCheckInterval is how often a gateway looks for entries to write again.
	undoneCheckInterval = 500 * time.Millisecond
	// minUndoneSpread and undoneSpreadPerGateway are the time over which gateways spread
	// what they write again. With more gateways it takes longer, so that the others see
	// the first write before it is their turn, and the store's rate holds.
	minUndoneSpread        = 1500 * time.Millisecond
	undoneSpreadPerGateway = 20 * time.Millisecond
)

// noteUndone notes which suspensions and lifts in a view a restoration of the store undid:
// the copy keeps them under a revision of another generation.
func (w *suspensionWriter) noteUndone(view mirror.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.undone)
	for key, entry := range view.Entries {
		if strings.HasPrefix(key, suspensionsPrefix) && !entry.Revision.SameGeneration(view.Revision) {
			w.undone[key] = entry
		}
	}
}

// undoneEntries returns the entries to write again.
func (w *suspensionWriter) undoneEntries() []mirror.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []mirror.Entry
	for _, entry := range w.undone {
		list = append(list, entry)
	}
	return list
}

// isUndone reports whether nobody has written the key again yet.
func (w *suspensionWriter) isUndone(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.undone[key]
	return ok
}

// runUndone writes suspensions and lifts that a restoration undid again, so that gateways
// which start later learn of them. Every gateway knows them, and each waits a random time;
// usually one writes, and the others see it.
func (w *suspensionWriter) runUndone(ctx context.Context) error {
	for wait.For(ctx, undoneCheckInterval) {
		if len(w.undoneEntries()) == 0 {
			continue
		}
		spread := max(minUndoneSpread, time.Duration(w.gateways())*undoneSpreadPerGateway)
		if !wait.For(ctx, rand.N(spread)) {
			break
		}
		for _, entry := range w.undoneEntries() {
			if !w.isUndone(entry.Key) {
				continue
			}
			if err := w.writeAgain(ctx, entry); err != nil {
				w.log.Warn("suspension or lift that a restoration of the store undid not written again; it is tried again", "key", entry.Key, "err", err)
			}
		}
	}
	return nil
}

// errRestoredWhileWriting reports that the store was restored while an entry was written again.
var errRestoredWhileWriting = errors.New("the store was restored meanwhile")

// writeAgain writes an entry under a new lease, with the revision at which it was written
// first, unless another gateway has done so.
func (w *suspensionWriter) writeAgain(ctx context.Context, entry mirror.Entry) error {
	value, err := withWrittenAt(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, suspensionWriteTimeout)
	defer cancel()
	lease, err := w.grant(ctx)
	if err != nil {
		return err
	}
	generation := w.generation()
	at, written, err := w.creator.Create(ctx, entry.Key, value, lease)
	if err != nil {
		return err
	}
	if at.Generation != generation && written {
		return errRestoredWhileWriting
	}
	w.log.Info("entry that a restoration of the store undid", "key", entry.Key, "written_again", written, "store_revision", at)
	return nil
}

// withWrittenAt returns the value of a suspension or a lift with the revision at which it
// was written first.
func withWrittenAt(entry mirror.Entry) ([]byte, error) {
	fields := make(map[string]any)
	if err := json.Unmarshal(entry.Value, &fields); err != nil {
		return nil, errors.Wrapf(err, "decode the value of %s", entry.Key)
	}
	fields["written_at"] = writtenAt(entry)
	return json.Marshal(fields)
}

package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/revision"
)

// snapshotPath serves a gateway's copy of the store to gateways that cannot read
// the store. If afterParameter holds a revision, only a gateway that can read the
// store and has a newer revision responds with content.
const (
	snapshotPath   = "/snapshot"
	afterParameter = "after"
)

const (
	// maxSnapshotBytes limits the size of another gateway's response.
	maxSnapshotBytes = 8 << 20
	// snapshotTimeout limits the request to one gateway.
	snapshotTimeout = 300 * time.Millisecond
)

// snapshotMessage is the response body of snapshotPath.
type snapshotMessage struct {
	// Revision is the store revision of the snapshot, Generation the generation of the
	// store that it belongs to.
	Revision   uint64 `json:"revision"`
	Generation uint64 `json:"generation,omitempty"`
	// Current reports whether the gateway can read the store at the moment.
	Current bool            `json:"current"`
	Entries []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Generation is that of Revision. It is older than that of the snapshot if the entry
	// is kept although the store no longer shows it.
	Generation uint64 `json:"generation,omitempty"`
}

func snapshotHandler(lastView func() mirror.View) http.Handler {
	engine := gin.New()
	engine.GET(snapshotPath, func(c *gin.Context) {
		view := lastView()
		after, err := revision.Parse(c.DefaultQuery(afterParameter, "0"))
		if err != nil {
			c.String(http.StatusBadRequest, "%s: want a revision: %v", afterParameter, err)
			return
		}
		if !after.IsZero() && (!view.Current || !view.Revision.After(after)) {
			c.Status(http.StatusNoContent)
			return
		}
		msg := snapshotMessage{
			Revision: view.Revision.Number, Generation: view.Revision.Generation, Current: view.Current,
			Entries: make([]snapshotEntry, 0, len(view.Entries)),
		}
		for _, e := range view.Entries {
			msg.Entries = append(msg.Entries, snapshotEntry{Key: e.Key, Value: e.Value, Revision: e.Revision.Number, Generation: e.Revision.Generation})
		}
		c.JSON(http.StatusOK, msg)
	})
	return engine
}

// snapshotFetcher reads the store's content from other gateways.
type snapshotFetcher struct {
	pool       *exchange.Pool
	ownAddress string
	// seeds lists the control addresses of gateways, separated by commas.
	seeds string
	log   *log.Logger
}

// errNoNewerSnapshot is returned when no other gateway has a newer snapshot.
var errNoNewerSnapshot = errors.New("no other gateway has a newer snapshot of the store")

// fetchNewer asks all seeds at once and returns the first view that is newer than after.
// For the zero revision it waits for all answers and returns the newest view.
func (s snapshotFetcher) fetchNewer(ctx context.Context, after revision.Revision) (mirror.View, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, asked := s.askAll(ctx, after)
	var newest mirror.View
	for range asked {
		view := <-answers
		if len(view.Entries) == 0 {
			continue
		}
		if !after.IsZero() {
			return view, nil
		}
		if newest.Entries == nil || view.Revision.After(newest.Revision) {
			newest = view
		}
	}
	if newest.Entries == nil {
		return mirror.View{}, errNoNewerSnapshot
	}
	return newest, nil
}

// askAll requests the snapshot of each seed. The channel receives one view for each that
// was asked, which is empty if it gave none.
func (s snapshotFetcher) askAll(ctx context.Context, after revision.Revision) (answers <-chan mirror.View, asked int) {
	seeds := strings.Split(s.seeds, ",")
	views := make(chan mirror.View, len(seeds))
	for _, seed := range seeds {
		if seed == "" || seed == s.ownAddress {
			continue
		}
		asked++
		go func() {
			view, err := s.fetchFrom(ctx, seed, after)
			if err != nil {
				s.log.Debug("no snapshot of another gateway", "seed", seed, "err", err)
			}
			views <- view
		}()
	}
	return views, asked
}

func (s snapshotFetcher) fetchFrom(ctx context.Context, seed string, after revision.Revision) (mirror.View, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	target := snapshotPath + "?" + afterParameter + "=" + after.String()
	resp, err := s.pool.Do(ctx, &exchange.Request{Address: seed, Method: http.MethodGet, Target: target, Host: seed})
	if err != nil {
		return mirror.View{}, errors.Wrapf(err, "request the snapshot of gateway %s", seed)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.Status {
	case http.StatusOK:
	case http.StatusNoContent:
		return mirror.View{}, errNoNewerSnapshot
	default:
		return mirror.View{}, errors.Errorf("gateway %s answered the request for its snapshot with status %d", seed, resp.Status)
	}
	var msg snapshotMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshotBytes)).Decode(&msg); err != nil {
		return mirror.View{}, errors.Wrapf(err, "decode the snapshot of gateway %s", seed)
	}
	view := mirror.View{Revision: revision.Revision{Generation: msg.Generation, Number: msg.Revision}, Current: msg.Current, Entries: make(map[string]mirror.Entry, len(msg.Entries))}
	for _, e := range msg.Entries {
		view.Entries[e.Key] = mirror.Entry{Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: revision.Revision{Generation: e.Generation, Number: e.Revision}}}
	}
	return view, nil
}

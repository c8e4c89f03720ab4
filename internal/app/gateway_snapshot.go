package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

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
}

// errNoNewerSnapshot is returned when no other gateway has a newer snapshot.
var errNoNewerSnapshot = errors.New("no other gateway has a newer snapshot of the store")

// fetchNewer returns the view of the first gateway that has a newer revision than
// after.
func (s snapshotFetcher) fetchNewer(ctx context.Context, after revision.Revision) (mirror.View, error) {
	err := errNoNewerSnapshot
	for seed := range strings.SplitSeq(s.seeds, ",") {
		if seed == "" || seed == s.ownAddress {
			continue
		}
		var view mirror.View
		if view, err = s.fetchFrom(ctx, seed, after); err == nil && len(view.Entries) > 0 {
			return view, nil
		}
	}
	if err == nil {
		err = errNoNewerSnapshot
	}
	return mirror.View{}, err
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
	if resp.Status == http.StatusNoContent {
		return mirror.View{}, errNoNewerSnapshot
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

package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/mirror"
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
	// Revision is the store revision of the snapshot.
	Revision uint64 `json:"revision"`
	// Current reports whether the gateway can read the store at the moment.
	Current bool            `json:"current"`
	Entries []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func snapshotHandler(lastView func() mirror.View) http.Handler {
	engine := gin.New()
	engine.GET(snapshotPath, func(c *gin.Context) {
		view := lastView()
		after, err := strconv.ParseUint(c.DefaultQuery(afterParameter, "0"), 10, 64)
		if err != nil {
			c.String(http.StatusBadRequest, "%s: want a revision: %v", afterParameter, err)
			return
		}
		if after > 0 && (!view.Current || view.Revision <= after) {
			c.Status(http.StatusNoContent)
			return
		}
		msg := snapshotMessage{Revision: view.Revision, Current: view.Current, Entries: make([]snapshotEntry, 0, len(view.Entries))}
		for _, e := range view.Entries {
			msg.Entries = append(msg.Entries, snapshotEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
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
func (s snapshotFetcher) fetchNewer(ctx context.Context, after uint64) (mirror.View, error) {
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

func (s snapshotFetcher) fetchFrom(ctx context.Context, seed string, after uint64) (mirror.View, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	target := snapshotPath + "?" + afterParameter + "=" + strconv.FormatUint(after, 10)
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
	view := mirror.View{Revision: msg.Revision, Current: msg.Current, Entries: make(map[string]mirror.Entry, len(msg.Entries))}
	for _, e := range msg.Entries {
		view.Entries[e.Key] = mirror.Entry{Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}}
	}
	return view, nil
}

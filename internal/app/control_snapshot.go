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

// snapshotPath serves what a gateway knows of the store, for others that cannot
// read it. With a revision in afterParameter, only a gateway that reads the store
// and knows of later changes answers with content.
const (
	snapshotPath   = "/snapshot"
	afterParameter = "after"
)

const (
	// maxSnapshotBytes bounds the answer of another gateway.
	maxSnapshotBytes = 8 << 20
	// snapshotTimeout bounds the question to one gateway.
	snapshotTimeout = 300 * time.Millisecond
)

// snapshotMessage is what a gateway knows of the store.
type snapshotMessage struct {
	// Revision is the store's revision that the entries show.
	Revision uint64 `json:"revision"`
	// Current tells that the gateway reads the store at the moment.
	Current bool            `json:"current"`
	Entries []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func controlHandler(known func() mirror.View) http.Handler {
	engine := gin.New()
	engine.GET(snapshotPath, func(c *gin.Context) {
		s := known()
		after, err := strconv.ParseUint(c.DefaultQuery(afterParameter, "0"), 10, 64)
		if err != nil {
			c.String(http.StatusBadRequest, "%s: want a revision: %v", afterParameter, err)
			return
		}
		if after > 0 && (!s.Current || s.Revision <= after) {
			c.Status(http.StatusNoContent)
			return
		}
		out := snapshotMessage{Revision: s.Revision, Current: s.Current, Entries: make([]snapshotEntry, 0, len(s.Entries))}
		for _, e := range s.Entries {
			out.Entries = append(out.Entries, snapshotEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
		c.JSON(http.StatusOK, out)
	})
	return engine
}

// seedReader asks other gateways what they know of the store.
type seedReader struct {
	pool *exchange.Pool
	own  string
	// seeds are control addresses, separated by commas.
	seeds string
}

// errNothingNew is returned when no other gateway knows more.
var errNothingNew = errors.New("no other gateway knows more")

// read returns the view of the first gateway that knows more than the revision.
func (s seedReader) read(ctx context.Context, after uint64) (mirror.View, error) {
	err := errNothingNew
	for seed := range strings.SplitSeq(s.seeds, ",") {
		if seed == "" || seed == s.own {
			continue
		}
		var view mirror.View
		if view, err = s.ask(ctx, seed, after); err == nil && len(view.Entries) > 0 {
			return view, nil
		}
	}
	if err == nil {
		err = errNothingNew
	}
	return mirror.View{}, err
}

func (s seedReader) ask(ctx context.Context, seed string, after uint64) (mirror.View, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	target := snapshotPath + "?" + afterParameter + "=" + strconv.FormatUint(after, 10)
	resp, err := s.pool.Do(ctx, &exchange.Request{Address: seed, Method: http.MethodGet, Target: target, Host: seed})
	if err != nil {
		return mirror.View{}, errors.Wrap(err, "ask another gateway")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Status == http.StatusNoContent {
		return mirror.View{}, errNothingNew
	}
	var m snapshotMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshotBytes)).Decode(&m); err != nil {
		return mirror.View{}, errors.Wrap(err, "decode another gateway's snapshot")
	}
	out := mirror.View{Revision: m.Revision, Current: m.Current, Entries: make(map[string]mirror.Entry, len(m.Entries))}
	for _, e := range m.Entries {
		out.Entries[e.Key] = mirror.Entry{Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}}
	}
	return out, nil
}

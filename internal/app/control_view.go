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
)

// viewPath serves what a gateway knows of the store, for others that start
// while the store is away.
const viewPath = "/view"

const (
	// maxViewBytes bounds the answer of another gateway.
	maxViewBytes = 8 << 20
	// viewTimeout bounds the question to one gateway.
	viewTimeout = 300 * time.Millisecond
)

// viewEntry is one entry of the store as gateways tell it to each other.
type viewEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func controlHandler(m *mirror.Mirror) http.Handler {
	engine := gin.New()
	engine.GET(viewPath, func(c *gin.Context) {
		known := m.Known()
		out := make([]viewEntry, 0, len(known))
		for _, e := range known {
			out = append(out, viewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
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

// read returns the entries of the first gateway that knows any.
func (s seedReader) read(ctx context.Context) ([]mirror.Entry, error) {
	err := errors.New("no other gateway to ask")
	for seed := range strings.SplitSeq(s.seeds, ",") {
		if seed == "" || seed == s.own {
			continue
		}
		var entries []mirror.Entry
		if entries, err = s.ask(ctx, seed); err == nil && len(entries) > 0 {
			return entries, nil
		}
	}
	return nil, err
}

func (s seedReader) ask(ctx context.Context, seed string) ([]mirror.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	resp, err := s.pool.Do(ctx, &exchange.Request{Address: seed, Method: http.MethodGet, Target: viewPath, Host: seed})
	if err != nil {
		return nil, errors.Wrap(err, "ask another gateway")
	}
	defer func() { _ = resp.Body.Close() }()
	var list []viewEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxViewBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decode another gateway's view")
	}
	out := make([]mirror.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, mirror.Entry{Item: mirror.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}, Lapsed: true})
	}
	return out, nil
}

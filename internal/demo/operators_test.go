package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// runOperator applies tickets that conflict with those of other operators: all
// operators use the same ticket numbers and change the same object.
func (m *monitor) runOperator(ctx context.Context, name string, r *rand.Rand, tickets int, meanInterval time.Duration) error {
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: "http://" + m.cluster.kv.Addr().String(), Dial: m.cluster.network.Dial})
	if err != nil {
		return err
	}
	defer kv.Close()
	store := configstore.New(configstore.Options{KV: kv})
	for i := range tickets {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanInterval)))
		if err := m.applyTicket(ctx, store, uint64(10+i), name, 1+r.IntN(5)); err != nil {
			return err
		}
	}
	return nil
}

// applyTicket applies one ticket. It ignores a refusal or an unavailable store,
// because both are expected under races and faults.
func (m *monitor) applyTicket(ctx context.Context, store *configstore.Store, number uint64, name string, share int) error {
	text := fmt.Sprintf("ticket: %d\nobjects:\n  - kind: caller\n    name: raced\n    spec: {key_sha256: \"%064x\", share: %d}\n", number, len(name)*100+share, share)
	ticket, err := config.ParseTicket(name, []byte(text))
	if err != nil {
		return errors.Wrapf(err, "parse ticket %d of %s", number, name)
	}
	result, err := store.Accept(ctx, ticket)
	if err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acceptedTickets = append(m.acceptedTickets, acceptedTicket{number: number, revision: result.Revision, at: time.Now()})
	return nil
}

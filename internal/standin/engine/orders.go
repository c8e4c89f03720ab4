package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Kinds of orders.
const (
	orderSetRole     = "set_role"
	orderLoadModel   = "load_model"
	orderUnloadModel = "unload_model"
)

// order answers POST /v1/orders.
func (e *Engine) order(r *http.Request, in order) (orderReply, *apiError) {
	if err := in.check(); err != nil {
		return orderReply{}, err
	}
	if err := e.checkFencing(in); err != nil {
		return orderReply{}, err
	}
	if in.Kind == orderLoadModel && e.opts.WeightsURL != "" {
		if err := e.loadWeights(r.Context(), in); err != nil {
			return orderReply{}, fail(http.StatusBadGateway, "weights_failed", "%v", err)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A newer order may have arrived while the weights were read.
	if err := e.checkFencingLocked(in); err != nil {
		return orderReply{}, err
	}
	e.boot.applyLocked(in)
	return orderReply{Applied: true}, nil
}

func (in order) check() *apiError {
	switch in.Kind {
	case orderLoadModel, orderUnloadModel:
		return nil
	case orderSetRole:
		if in.Role == RolePrefill || in.Role == RoleDecode {
			return nil
		}
	}
	return fail(http.StatusBadRequest, "malformed", "order kind %q with role %q", in.Kind, in.Role)
}

func (e *Engine) checkFencing(in order) *apiError {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkFencingLocked(in)
}

func (e *Engine) checkFencingLocked(in order) *apiError {
	last := e.boot.order
	if e.opts.CheckFencing && last != nil && in.Fencing < last.Fencing {
		return fail(http.StatusConflict, "stale_fencing", "fencing token %d is older than %d", in.Fencing, last.Fencing)
	}
	return nil
}

// applyLocked puts an order into effect. Work in progress under the old role goes on.
func (b *boot) applyLocked(in order) {
	b.order = &in
	switch in.Kind {
	case orderSetRole:
		b.role = in.Role
	case orderLoadModel:
		if b.models != nil {
			b.models[in.Model] = true
		}
	case orderUnloadModel:
		delete(b.models, in.Model)
	}
}

func (e *Engine) loadWeights(ctx context.Context, in order) error {
	url := e.opts.WeightsURL + "/v1/weights/" + in.Model + "/" + in.Version
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	resp, err := e.client.Do(get)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("weight store answered %s", resp.Status)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "weight store")
	}
	return nil
}

func (e *Engine) currentOrder(*http.Request, struct{}) (order, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot.order == nil {
		return order{}, fail(http.StatusNotFound, "no_order", "no order since the start")
	}
	return *e.boot.order, nil
}

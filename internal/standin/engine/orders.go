package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// The kinds of orders.
const (
	orderSetRole     = "set_role"
	orderLoadModel   = "load_model"
	orderUnloadModel = "unload_model"
)

// handleOrder handles POST /v1/orders.
func (e *Engine) handleOrder(r *http.Request, in order) (orderResponse, *apiError) {
	if err := in.validate(); err != nil {
		return orderResponse{}, err
	}
	if err := e.checkFencing(in); err != nil {
		return orderResponse{}, err
	}
	if in.Kind == orderLoadModel && e.opts.WeightsURL != "" {
		if err := e.loadWeights(r.Context(), in); err != nil {
			return orderResponse{}, newAPIError(http.StatusBadGateway, "weights_failed", "%v", err)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A newer order may have arrived while the weights were read.
	if err := e.checkFencingLocked(in); err != nil {
		return orderResponse{}, err
	}
	e.boot.applyLocked(in)
	return orderResponse{Applied: true}, nil
}

func (in order) validate() *apiError {
	switch in.Kind {
	case orderLoadModel, orderUnloadModel:
		return nil
	case orderSetRole:
		if in.Role == RolePrefill || in.Role == RoleDecode {
			return nil
		}
	}
	return newAPIError(http.StatusBadRequest, "malformed", "order kind %q with role %q", in.Kind, in.Role)
}

func (e *Engine) checkFencing(in order) *apiError {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkFencingLocked(in)
}

func (e *Engine) checkFencingLocked(in order) *apiError {
	last := e.boot.currentOrder
	if e.opts.CheckFencing && last != nil && in.Fencing < last.Fencing {
		return newAPIError(http.StatusConflict, "stale_fencing", "fencing token %d is older than %d", in.Fencing, last.Fencing)
	}
	return nil
}

// applyLocked applies an order. Work in progress under the old role continues.
func (b *boot) applyLocked(in order) {
	b.currentOrder = &in
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

// loadWeights reads the weights of a model from the weight store and discards them.
// The texts of its errors are sent in the response of POST /v1/orders.
func (e *Engine) loadWeights(ctx context.Context, in order) error {
	url := e.opts.WeightsURL + "/v1/weights/" + in.Model + "/" + in.Version
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	resp, err := e.client.Do(req)
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

func (e *Engine) handleCurrentOrder(*http.Request, struct{}) (order, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot.currentOrder == nil {
		return order{}, newAPIError(http.StatusNotFound, "no_order", "no order since the start")
	}
	return *e.boot.currentOrder, nil
}

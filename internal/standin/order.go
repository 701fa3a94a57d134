package standin

import (
	"net/http"

	"godwitward.example/godwitward/internal/upstream"
)

// Kinds of orders.
const (
	orderSetRole     = "set_role"
	orderLoadModel   = "load_model"
	orderUnloadModel = "unload_model"
	orderLoadAdapter = "load_adapter"
)

// serveOrder responds when the order has been carried out.
func (e *engineState) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if !readJSON(w, r, &order) {
		return
	}
	if order.Kind == orderSetRole && order.Value != RolePrefill && order.Value != RoleDecode {
		writeError(w, http.StatusBadRequest, "unknown role")
		return
	}
	if highest, ok := e.checkFencing(order.FencingToken); !ok {
		writeJSON(w, http.StatusConflict, upstream.ErrorBody{
			Message: "a newer fencing token was seen", FencingToken: highest})
		return
	}
	switch order.Kind {
	case orderSetRole:
		e.mu.Lock()
		e.role = order.Value
		e.mu.Unlock()
	case orderUnloadModel:
		e.mu.Lock()
		delete(e.models, order.Value)
		e.mu.Unlock()
	case orderLoadModel, orderLoadAdapter:
		// The load goes on if the caller disconnects, as in a real engine.
		if sleep(e.ctx, e.faults.scale(e.settings.ModelLoadTime)) != nil {
			errStopping.write(w)
			return
		}
		e.mu.Lock()
		e.models[order.Value] = true
		e.mu.Unlock()
	default:
		writeError(w, http.StatusBadRequest, "unknown order")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// checkFencing records a fencing token, or returns false and the highest token
// seen if that is higher. Engines that do not check tokens accept every order.
func (e *engineState) checkFencing(fencingToken uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.ChecksFencing {
		return 0, true
	}
	if fencingToken < e.fencingToken {
		return e.fencingToken, false
	}
	e.fencingToken = fencingToken
	return fencingToken, true
}

package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine/wireform"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Handler serves e over HTTP: the OpenAI-compatible API, the usual LoRA adapter
// endpoints of such engines, and the endpoints defined by package wireform.
func Handler(e *Engine) http.Handler {
	h := httpHandler{e}
	r := mux.NewRouter()
	r.HandleFunc("/health", h.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", h.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", h.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/load_lora_adapter", h.adapterOrder(engine.OrderLoadAdapter)).Methods(http.MethodPost)
	r.HandleFunc("/v1/unload_lora_adapter", h.adapterOrder(engine.OrderUnloadAdapter)).Methods(http.MethodPost)
	r.HandleFunc(wireform.PathOrder, h.order).Methods(http.MethodPost)
	r.HandleFunc(wireform.PathDescribe, jsonHandler(h.Describe)).Methods(http.MethodGet)
	r.HandleFunc(wireform.PathLoad, jsonHandler(h.Load)).Methods(http.MethodGet)
	r.HandleFunc(wireform.PathHoldings, jsonHandler(h.Holdings)).Methods(http.MethodGet)
	r.HandleFunc(wireform.PathEvents, h.events).Methods(http.MethodGet)
	r.HandleFunc(wireform.PathCancel, h.cancel).Methods(http.MethodPost)
	r.HandleFunc(wireform.PathExport, h.exportKV).Methods(http.MethodPost)
	r.HandleFunc(wireform.PathImport, h.importKV).Methods(http.MethodPost)
	r.HandleFunc("/metrics", h.metrics).Methods(http.MethodGet)
	return r
}

type httpHandler struct{ *Engine }

func (h httpHandler) health(w http.ResponseWriter, r *http.Request) {
	if err := h.awaitAvailable(r.Context()); err != nil {
		writeError(w, err)
	}
}

func (httpHandler) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, false)
}

func (h httpHandler) models(w http.ResponseWriter, r *http.Request) {
	d, err := h.Describe(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	list := wireform.Models{Object: "list"}
	for _, name := range append(d.Models, d.Adapters...) {
		list.Data = append(list.Data, wireform.Model{ID: name, Object: "model"})
	}
	writeJSON(w, list)
}

func (h httpHandler) completions(w http.ResponseWriter, r *http.Request) {
	var c wireform.Completion
	if !readJSON(w, r, &c) {
		return
	}
	key := wireform.ParseKey(r.Header.Get(wireform.HeaderRequestID))
	stream, err := h.Generate(r.Context(), c.Work(key))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	if !h.relay(r.Context(), w, controller, stream) && c.Segment == nil {
		_ = h.Cancel(context.WithoutCancel(r.Context()), key)
	}
}

// relay writes stream to the client as server-sent events and reports whether it
// was complete.
func (h httpHandler) relay(ctx context.Context, w io.Writer, controller *http.ResponseController, stream engine.Stream) bool {
	generated := 0
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		generated += chunk.Tokens
		event, _ := json.Marshal(wireform.EventOf(chunk, generated))
		if _, err := w.Write([]byte("data: " + string(event) + "\n\n")); err != nil {
			return false
		}
		if chunk.Finish != engine.FinishNone {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
		if controller.Flush() != nil {
			return false
		}
	}
}

func (h httpHandler) adapterOrder(kind engine.OrderKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var a wireform.Adapter
		if !readJSON(w, r, &a) {
			return
		}
		fence, _ := strconv.ParseUint(r.Header.Get(wireform.HeaderFence), 10, 64)
		writeResult(w, h.Order(r.Context(), engine.Order{Kind: kind, Target: a.Name, Fence: fence}))
	}
}

func (h httpHandler) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if readJSON(w, r, &o) {
		writeResult(w, h.Order(r.Context(), o))
	}
}

func (h httpHandler) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, err := h.CacheEvents(r.Context(), after)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, events)
}

func (h httpHandler) cancel(w http.ResponseWriter, r *http.Request) {
	var k engine.Key
	if readJSON(w, r, &k) {
		writeResult(w, h.Cancel(r.Context(), k))
	}
}

func (h httpHandler) exportKV(w http.ResponseWriter, r *http.Request) {
	var k engine.Key
	if !readJSON(w, r, &k) {
		return
	}
	handle, err := h.Export(r.Context(), k)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, wireform.Transfer{Key: k, Handle: handle})
}

func (h httpHandler) importKV(w http.ResponseWriter, r *http.Request) {
	var t wireform.Transfer
	if readJSON(w, r, &t) {
		writeResult(w, h.Import(r.Context(), t.Key, t.Handle))
	}
}

func jsonHandler[T any](call func(context.Context) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := call(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, v)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, outcome.Refuse(outcome.CodeInvalidRequest, stepEngine, "invalid request body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func writeError(w http.ResponseWriter, err error) {
	failure := outcome.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(wireform.Status(failure))
	_ = json.NewEncoder(w).Encode(wireform.FailureOf(failure))
}

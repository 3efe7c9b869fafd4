package standin

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// maxBodyBytes is the maximum size of the body of a command.
const maxBodyBytes = 64 << 20

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// response is the reply to a command, before injected faults are applied.
type response struct {
	status      int
	contentType string
	runMS       int64 // run time of an answer; -1 for other replies
	refusal     endpoint.RefusalCode
	body        []byte
	abort       bool // close the connection without a reply
}

// commandFunc executes one command of the protocol on the current instance.
type commandFunc func(r *http.Request, body []byte) response

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/session", e.serve(e.session))
	mux.HandleFunc("POST /v1/attempts/{attempt}", e.serve(e.start))
	mux.HandleFunc("POST /v1/attempts/{attempt}/cancel", e.serve(e.cancel))
	mux.HandleFunc("POST /v1/attempts/{attempt}/checkpoint", e.serve(e.checkpoint))
	mux.HandleFunc("POST /v1/attempts/{attempt}/throttle", e.serve(e.throttle))
	e.addAdminHandlers(mux)
	return mux
}

// serve returns a handler that reads the body, applies the injected faults and
// executes the command.
func (e *Endpoint) serve(c commandFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		// A frozen process reads the command from its socket when it resumes, even if
		// the client has disconnected, so this doesn't wait on the request's context.
		e.freezeGate.wait(e.instance().ctx)
		if !e.hangGate.wait(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		resp := c(r, body)
		e.freezeGate.wait(e.instance().ctx)
		e.write(w, r, resp)
	}
}

// write sends the reply, subject to the injected faults.
func (e *Endpoint) write(w http.ResponseWriter, r *http.Request, resp response) {
	f := e.Faults()
	if f.DelayRepliesMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayRepliesMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if resp.abort || f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if resp.contentType != "" {
		h.Set("Content-Type", resp.contentType)
	}
	if resp.refusal != "" {
		h.Set(endpoint.HeaderRefusal, string(resp.refusal))
	}
	if resp.runMS >= 0 {
		h.Set(endpoint.HeaderRunMS, strconv.FormatInt(resp.runMS, 10))
	}
	w.WriteHeader(resp.status)
	if f.TruncateAnswers && len(resp.body) > 0 {
		_, _ = w.Write(resp.body[:len(resp.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(resp.body)
}

func (e *Endpoint) instance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *Endpoint) session(_ *http.Request, body []byte) response {
	var req endpoint.SessionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return e.refusal(endpoint.RefusalBadRequest, err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.current.now()
	if code := e.current.ledger.session(now, req); code != "" {
		return e.refusalLocked(code, "")
	}
	e.stats.Sessions++
	e.current.leaseTimer.Reset(e.cfg.LeaseTTL)
	return jsonResponse(e.current.ledger.report(now, e.faults.usageLag(e.cfg.UsageLag), string(e.cfg.Kind)))
}

func (e *Endpoint) start(r *http.Request, body []byte) response {
	req, w, err := e.parseStart(r, body)
	if err != nil {
		return e.refusal(endpoint.RefusalBadRequest, err.Error())
	}
	e.mu.Lock()
	in := e.current
	a, code := in.ledger.start(in.now(), req, w)
	if code != "" {
		defer e.mu.Unlock()
		return e.refusalLocked(code, "")
	}
	e.stats.Starts++
	e.logEffect(in, a, EffectStart)
	done := make(chan struct{})
	e.runs.Add(1)
	e.mu.Unlock()

	go func() {
		defer e.runs.Done()
		defer close(done)
		e.run(in, a)
	}()
	if e.cfg.Capacity.Slots == 0 {
		return response{status: http.StatusAccepted, runMS: -1}
	}
	<-done
	return e.answer(a)
}

// answer returns the reply of a runner to the start command of an ended attempt.
// If the attempt was stopped, the connection is closed without a reply; the
// report contains the end of the attempt.
func (e *Endpoint) answer(a *attempt) response {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.reason != EndDone && a.reason != EndFailed {
		return response{abort: true}
	}
	return response{
		status:      a.answer.Status,
		contentType: a.answer.ContentType,
		runMS:       (a.endedAt - a.startedAt).Milliseconds(),
		body:        a.answer.Body,
	}
}

func (e *Endpoint) parseStart(r *http.Request, body []byte) (endpoint.StartRequest, Work, error) {
	req := endpoint.StartRequest{
		Attempt:  model.AttemptID(r.PathValue("attempt")),
		Instance: r.Header.Get(endpoint.HeaderInstance),
		Template: r.Header.Get(endpoint.HeaderTemplate),
	}
	var err error
	if req.Token, err = strconv.ParseUint(r.Header.Get(endpoint.HeaderToken), 10, 64); err != nil {
		return req, Work{}, err
	}
	if req.StartBeforeMS, err = strconv.ParseInt(r.Header.Get(endpoint.HeaderStartBefore), 10, 64); err != nil {
		return req, Work{}, err
	}
	if v := r.Header.Get(endpoint.HeaderRunLimit); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return req, Work{}, err
		}
		req.RunLimit = time.Duration(ms) * time.Millisecond
	}
	if v := r.Header.Get(endpoint.HeaderResources); v != "" {
		if err := json.Unmarshal([]byte(v), &req.Resources); err != nil {
			return req, Work{}, err
		}
	}
	w, err := parseWork(r.Header.Get(HeaderWork), body, e.cfg.Defaults)
	return req, w, err
}

func (e *Endpoint) cancel(r *http.Request, _ []byte) response {
	token, id := commandArgs(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	started, code := e.current.ledger.cancel(e.current.now(), token, id)
	if code != "" {
		return e.refusalLocked(code, "")
	}
	return jsonResponse(endpoint.CancelReply{Started: started})
}

func (e *Endpoint) checkpoint(r *http.Request, _ []byte) response {
	token, id := commandArgs(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, code := e.current.ledger.checkpoint(e.current.now(), token, id); code != "" {
		return e.refusalLocked(code, "attempt is not running")
	}
	return jsonResponse(struct{}{})
}

func (e *Endpoint) throttle(r *http.Request, _ []byte) response {
	token, id := commandArgs(r)
	on := r.URL.Query().Get("on") != "false"
	e.mu.Lock()
	defer e.mu.Unlock()
	if code := e.current.ledger.throttle(e.current.now(), token, id, on); code != "" {
		return e.refusalLocked(code, "attempt is not running")
	}
	return jsonResponse(struct{}{})
}

// commandArgs returns the fencing token, or 0 if it is malformed, and the attempt.
func commandArgs(r *http.Request) (uint64, model.AttemptID) {
	token, _ := strconv.ParseUint(r.Header.Get(endpoint.HeaderToken), 10, 64)
	return token, model.AttemptID(r.PathValue("attempt"))
}

func (e *Endpoint) refusal(code endpoint.RefusalCode, detail string) response {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusalLocked(code, detail)
}

// refusalLocked counts and returns a refusal. The caller holds the mutex.
func (e *Endpoint) refusalLocked(code endpoint.RefusalCode, detail string) response {
	e.stats.Refusals[code]++
	r := jsonResponse(endpoint.RefusalBody{Code: code, Detail: detail})
	r.status = http.StatusConflict
	if code == endpoint.RefusalBadRequest {
		r.status = http.StatusBadRequest
	}
	r.refusal = code
	return r
}

func jsonResponse(v any) response {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't fail: all replies are plain structs
	}
	return response{status: http.StatusOK, contentType: "application/json", runMS: -1, body: raw}
}

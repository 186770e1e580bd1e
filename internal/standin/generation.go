package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
)

// generation is one answer that an engine generates. It continues when its connection
// breaks, so that the stream can be resumed, until it is cancelled.
type generation struct {
	id    string
	model string
	usage engine.Usage

	mu       sync.Mutex
	frames   []string
	tokens   []string
	done     bool
	appended chan struct{}
	cancel   context.CancelFunc
	readers  int
}

// abandonTimeoutMs is how long an engine continues an answer that has no readers.
const abandonTimeoutMs = 2 * clock.Second

const defaultMaxTokens = 16

// startGeneration starts an answer once a slot is free. It returns nil if the caller left the
// queue.
func (e *Engine) startGeneration(r *http.Request, chat *engine.Chat) *generation {
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if !e.acquireSlot(r.Context(), priority) {
		return nil
	}
	ctx, cancel := context.WithCancel(e.ctx)
	g := &generation{
		id: r.Header.Get(engine.HeaderRequestID), model: chat.Model, appended: make(chan struct{}), cancel: cancel,
	}
	hashes, promptTokens := prefixHashes(chat.Prompt())
	e.mu.Lock()
	cached := e.cache.use(hashes)
	e.streams[g.id] = g
	e.runs[g.id]++
	e.promptTokens += promptTokens
	e.cachedTokens += cached
	e.mu.Unlock()
	e.onRun(g.id)
	count := chat.MaxTokens
	if count <= 0 {
		count = defaultMaxTokens
	}
	g.usage = engine.Usage{
		PromptTokens: promptTokens, CompletionTokens: count, TotalTokens: promptTokens + count,
		Details: engine.UsageDetails{CachedTokens: cached},
	}
	e.spawn(func() { e.run(ctx, g, completionTokens(chat, count)) })
	return g
}

// completionTokens returns count tokens. Each holds its index and the first word of the last
// message, so that a caller can verify that an answer is complete and belongs to its request.
func completionTokens(chat *engine.Chat, count int) []string {
	mark := ""
	if words := strings.Fields(chat.Messages[len(chat.Messages)-1].Content); len(words) > 0 {
		mark = words[0]
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = mark + ":" + strconv.Itoa(i) + " "
	}
	return tokens
}

func (e *Engine) run(ctx context.Context, g *generation, tokens []string) {
	defer e.endGeneration(g)
	cold := g.usage.PromptTokens - g.usage.Details.CachedTokens
	if e.clock.Sleep(ctx, clock.Millis(cold/max(1, e.performance.PrefillTokensPerMs))) != nil {
		return
	}
	for i, token := range tokens {
		if i > 0 && e.clock.Sleep(ctx, e.performance.TokenMs) != nil {
			return
		}
		g.addToken(token)
	}
	g.finish()
}

// endGeneration releases the slot immediately and deletes the stream after abandonTimeoutMs.
func (e *Engine) endGeneration(g *generation) {
	e.releaseSlot()
	g.cancel()
	e.spawn(func() {
		_ = e.clock.Sleep(e.ctx, abandonTimeoutMs)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, g.id)
	})
}

func (g *generation) addToken(token string) {
	chunk, _ := json.Marshal(engine.Completion{
		ID: g.id, Object: "chat.completion.chunk", Model: g.model,
		Choices: []engine.Choice{{Delta: &engine.Message{Content: token}}},
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	g.appendFrame(string(chunk))
}

func (g *generation) appendFrame(data string) {
	g.frames = append(g.frames, eventFrame(int64(len(g.frames)), data))
	close(g.appended)
	g.appended = make(chan struct{})
}

func (g *generation) finish() {
	usage := g.usage
	finish := "stop"
	last, _ := json.Marshal(engine.Completion{
		ID: g.id, Object: "chat.completion.chunk", Model: g.model, Usage: &usage,
		Choices: []engine.Choice{{Delta: &engine.Message{}, FinishReason: &finish}},
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appendFrame(string(last))
	g.done = true
	g.appendFrame(engine.Done)
}

func (g *generation) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.tokens, "")
}

// frame returns the frame at index, or a channel that is closed when more frames exist, or
// neither at the end of the stream.
func (g *generation) frame(index int) (frame string, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if index < len(g.frames) {
		return g.frames[index], nil
	}
	if g.done {
		return "", nil
	}
	return "", g.appended
}

// wait waits for the end of the answer and reports whether it came before ctx ended.
func (g *generation) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		done, appended := g.done, g.appended
		g.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return false
		}
	}
}

func (g *generation) stop() { g.cancel() }

func (g *generation) addReaders(delta int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += delta
	return g.readers
}

// sendStream sends the events starting at an offset.
func (e *Engine) sendStream(ctx context.Context, w http.ResponseWriter, g *generation, from int) {
	g.addReaders(1)
	defer e.stopAbandoned(g)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for index := from; ; index++ {
		frame, wait := g.frame(index)
		for wait != nil {
			select {
			case <-wait:
			case <-ctx.Done():
				return
			}
			frame, wait = g.frame(index)
		}
		if frame == "" || !e.applyStreamFaults(ctx, index-from) {
			return
		}
		if _, err := w.Write([]byte(frame)); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// applyStreamFaults applies the faults that are due after the given number of sent events. It
// reports whether the stream goes on.
func (e *Engine) applyStreamFaults(ctx context.Context, sent int) bool {
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.CutAfter > 0 && sent >= faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.EndEarly > 0 && sent >= faults.EndEarly {
		return false
	}
	if faults.Stall > 0 && sent >= faults.Stall {
		<-ctx.Done()
		return false
	}
	return true
}

// stopAbandoned removes a reader, and cancels the generation if it has no readers after
// abandonTimeoutMs.
func (e *Engine) stopAbandoned(g *generation) {
	if g.addReaders(-1) > 0 {
		return
	}
	e.spawn(func() {
		_ = e.clock.Sleep(e.ctx, abandonTimeoutMs)
		if g.addReaders(0) == 0 {
			g.stop()
		}
	})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.streams[r.PathValue("id")]
	forget := e.faults.ForgetStreams
	e.mu.Unlock()
	if g == nil || forget {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.setAnswerHeaders(w, g.id)
	e.sendStream(r.Context(), w, g, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if g != nil {
		g.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

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

// generation is one answer that an engine makes. It goes on when its connection
// breaks, so that the stream can be taken up again, until it is cancelled.
type generation struct {
	id    string
	model string
	usage engine.Usage

	mu      sync.Mutex
	frames  []string
	tokens  []string
	done    bool
	grown   chan struct{}
	cancel  context.CancelFunc
	readers int
}

// abandonedMs is how long an engine goes on with an answer that nobody reads.
const abandonedMs = 2 * clock.Second

const defaultMaxTokens = 16

// generate starts an answer, or returns nil when the caller left the queue.
func (e *Engine) generate(r *http.Request, chat *engine.Chat) *generation {
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if !e.enter(r.Context(), priority) {
		return nil
	}
	ctx, cancel := context.WithCancel(e.ctx)
	g := &generation{
		id: r.Header.Get(engine.HeaderRequestID), model: chat.Model, grown: make(chan struct{}), cancel: cancel,
	}
	hashes, promptTokens := chain(chat.Prompt())
	e.mu.Lock()
	cached := e.cache.use(hashes)
	e.streams[g.id] = g
	e.runs[g.id]++
	e.prompt += promptTokens
	e.cached += cached
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
	e.spawn(func() { e.run(ctx, g, answerTokens(chat, count)) })
	return g
}

// answerTokens numbers the tokens and marks each with the last message's first
// word, so that a caller can tell that an answer is whole and its own.
func answerTokens(chat *engine.Chat, count int) []string {
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
	defer e.end(g)
	cold := g.usage.PromptTokens - g.usage.Details.CachedTokens
	if e.clock.Sleep(ctx, clock.Millis(cold/max(1, e.speed.PrefillTokensPerMs))) != nil {
		return
	}
	for i, token := range tokens {
		if i > 0 && e.clock.Sleep(ctx, e.speed.TokenMs) != nil {
			return
		}
		g.add(token)
	}
	g.finish()
}

// end frees the slot at once and forgets the stream a little later.
func (e *Engine) end(g *generation) {
	e.leave()
	g.cancel()
	e.spawn(func() {
		_ = e.clock.Sleep(e.ctx, abandonedMs)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, g.id)
	})
}

func (g *generation) add(token string) {
	chunk, _ := json.Marshal(engine.Completion{
		ID: g.id, Object: "chat.completion.chunk", Model: g.model,
		Choices: []engine.Choice{{Delta: &engine.Message{Content: token}}},
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	g.push(string(chunk))
}

func (g *generation) push(data string) {
	g.frames = append(g.frames, eventFrame(int64(len(g.frames)), data))
	close(g.grown)
	g.grown = make(chan struct{})
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
	g.push(string(last))
	g.done = true
	g.push(engine.Done)
}

func (g *generation) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.tokens, "")
}

// frame returns a frame, or a channel to wait on, or neither when there is none
// to come.
func (g *generation) frame(index int) (frame string, wait <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if index < len(g.frames) {
		return g.frames[index], nil
	}
	if g.done {
		return "", nil
	}
	return "", g.grown
}

// wait returns true when the whole answer is there.
func (g *generation) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		done, grown := g.done, g.grown
		g.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}

func (g *generation) stop() { g.cancel() }

func (g *generation) addReader(change int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += change
	return g.readers
}

// streamTo sends the events from an offset on.
func (e *Engine) streamTo(ctx context.Context, w http.ResponseWriter, g *generation, from int) {
	g.addReader(1)
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
		if frame == "" || !e.faultsAllow(ctx, index-from) {
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

// faultsAllow carries out the stream faults that are due after so many events.
func (e *Engine) faultsAllow(ctx context.Context, sent int) bool {
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

// stopAbandoned ends a generation that nobody has read for a while.
func (e *Engine) stopAbandoned(g *generation) {
	if g.addReader(-1) > 0 {
		return
	}
	e.spawn(func() {
		_ = e.clock.Sleep(e.ctx, abandonedMs)
		if g.addReader(0) == 0 {
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
	e.stamp(w, g.id)
	e.streamTo(r.Context(), w, g, from)
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

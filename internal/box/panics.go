package box

import (
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/guard"
)

// handlerPanicked counts and logs a panic in the handler of a request.
func (b *Box) handlerPanicked(trace string) {
	b.metrics.HandlerPanics.Add(1)
	b.panicLogger.Error("handler panicked", zap.String("box", b.settings.Box), zap.String("trace", trace))
}

// HandlePanic counts and logs a panic outside of the handlers of requests.
func (b *Box) HandlePanic(p guard.Panic) {
	b.metrics.PartPanics.Add(1)
	b.panicLogger.Error("part panicked", zap.String("box", b.settings.Box), zap.String("note", p.String()))
}

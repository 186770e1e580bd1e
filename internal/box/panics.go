package box

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/guard"
)

// Lines about panics: at most panicLines of one kind in panicLogInterval, because an input that causes one may come
// again and again.
const (
	panicLogInterval = 10 * time.Second
	panicLines       = 5
)

// limitedLogger returns a logger whose lines with the same message are limited.
func limitedLogger(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, panicLogInterval, panicLines, 0)
	}))
}

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
